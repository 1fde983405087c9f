package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
)

// player plays days with the users' bench.
type player struct {
	bench   string
	site    string
	reason  string
	freeCPU bool
}

// pair holds the outcomes of one day and seed with both versions.
type pair struct {
	base outcome
	head outcome
}

// playBoth plays a day with two versions at the same time, so that other work on the machine meets both.
func (p *player) playBoth(ctx context.Context, base, head, day string, seed int) (pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		outcome outcome
		err     error
	}
	baseResult := make(chan result, 1)
	go func() {
		played, err := p.play(ctx, base, day, seed)
		baseResult <- result{outcome: played, err: err}
	}()
	played, err := p.play(ctx, head, day, seed)
	if err != nil {
		cancel()
		<-baseResult
		return pair{}, err
	}
	other := <-baseResult
	return pair{base: other.outcome, head: played}, other.err
}

// play plays a day with the version in a directory.
func (p *player) play(ctx context.Context, dir, day string, seed int) (outcome, error) {
	report, err := os.CreateTemp("", "play-*.json")
	if err != nil {
		return outcome{}, fmt.Errorf("create report: %w", err)
	}
	defer func() { _ = os.Remove(report.Name()) }()
	if err = report.Close(); err != nil {
		return outcome{}, fmt.Errorf("create report: %w", err)
	}
	args, err := p.args(day, seed, report.Name())
	if err != nil {
		return outcome{}, err
	}
	command := exec.CommandContext(ctx, args[0], args[1:]...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	if err != nil {
		return outcome{}, fmt.Errorf("play %s, seed %d in %s: %w: %s", day, seed, dir, err, output)
	}
	content, err := os.ReadFile(report.Name())
	if err != nil {
		return outcome{}, fmt.Errorf("read report: %w", err)
	}
	return decodeOutcome(content)
}

// args returns the command line of a play. Paths are made absolute, since each version plays in its own directory.
func (p *player) args(day string, seed int, report string) ([]string, error) {
	paths := []string{p.bench, p.site, day}
	for i, path := range paths {
		if _, err := os.Stat(path); err != nil && i == len(paths)-1 {
			// The day is a name of the site file.
			break
		}
		absolute, err := filepath.Abs(path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		paths[i] = absolute
	}
	args := []string{
		paths[0], "run", paths[1], paths[2], "--seed", strconv.Itoa(seed), "--report", report, "--why", p.reason,
	}
	if p.freeCPU {
		args = append(args, "--no-cpu")
	}
	return args, nil
}

// outcome is what one play yields: the worth of the day, the share served and the worth by kind of request.
type outcome struct {
	worth  float64
	served float64
	kinds  map[string]float64
	// broken counts the broken rules by name, and details is what the bench says of the first ones.
	broken  map[string]int
	details string
}

func decodeOutcome(report []byte) (outcome, error) {
	content := struct {
		Worth   float64         `json:"G"`
		Served  float64         `json:"served"`
		Broken  map[string]int  `json:"breaks"`
		Details json.RawMessage `json:"first"`
		Classes []struct {
			Name  string  `json:"name"`
			Worth float64 `json:"worth"`
		} `json:"classes"`
	}{}
	if err := json.Unmarshal(report, &content); err != nil {
		return outcome{}, fmt.Errorf("decode report: %w", err)
	}
	result := outcome{
		worth:  content.Worth,
		served: content.Served,
		kinds:  map[string]float64{},
		broken: content.Broken,
	}
	if len(content.Broken) > 0 {
		result.details = string(content.Details)
	}
	for _, class := range content.Classes {
		result.kinds[class.Name] = class.Worth
	}
	return result, nil
}
