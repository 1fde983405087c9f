package harness

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime ends a case that takes too long.
const maxCaseTime = 110 * time.Second

// Host and keys of the configuration that all cases use.
const (
	Host        = "quotes.example"
	KeyHotels   = "key-hotels"
	KeyWeddings = "key-weddings"
)

// ErrNotRun means that a case couldn't run.
var ErrNotRun = errors.New("the case couldn't run")

// Case is a case under review.
type Case struct {
	// Folder is the case's folder, from the repository's root.
	Folder       string
	Agents       int
	Accelerators int64
	// Run runs the case on a deployment whose entries are ready. It reports whether the rule was broken. Trouble is false
	// if the case must leave out the disruption.
	Run func(ctx context.Context, h *Harness, trouble bool) (broken bool, err error)
}

// Main runs a case and returns the exit code. The flag -trouble=false leaves out the disruption.
func (c Case) Main() int {
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	clock := clockwork.NewRealClock() //nolint:forbidigo // a case runs on the real clock
	record := NewRecord(clock, c.Folder)
	broken, err := c.run(ctx, clock, record, *trouble)
	switch {
	case err != nil:
		record.Add("result: the case couldn't run: %v", err)
	case broken:
		record.Add("result: the rule was broken")
	default:
		record.Add("result: the rule held")
	}
	if saveErr := record.Save(); saveErr != nil {
		err = errors.Join(err, saveErr)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "Error:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// ReadFile returns a data file of the case.
func (c Case) ReadFile(name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(c.Folder, name))
	if err != nil {
		return nil, fmt.Errorf("read data file: %w", err)
	}
	return text, nil
}

func (c Case) run(ctx context.Context, clock clockwork.Clock, record *Record, trouble bool) (bool, error) {
	config, err := os.ReadFile(filepath.Join("review", "harness", "config.json"))
	if err != nil {
		return false, fmt.Errorf("read configuration: %w", err)
	}
	h, err := Start(ctx, Config{
		Clock:        clock,
		Agents:       c.Agents,
		Accelerators: c.Accelerators,
		Record:       record,
	})
	if err != nil {
		return false, err
	}
	defer h.Close()
	h.PutConfig(config)
	if !h.AwaitReady(ctx) {
		return false, fmt.Errorf("entries aren't ready: %w", ErrNotRun)
	}
	broken, err := c.Run(ctx, h, trouble)
	record.AddSilently("", "what the executors did:")
	record.AddSilently(h.Recorder.Events()...)
	return broken, err
}
