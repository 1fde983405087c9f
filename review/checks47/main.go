package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case. The limit for a script is 120 s.
const maxDuration = 110 * time.Second

// settings are the command line and the environment of the program.
type settings struct {
	root    string
	number  int
	record  string
	trouble bool
}

func main() {
	parsed := settings{
		trouble: os.Getenv("TROUBLE") != "0",
	}
	flag.StringVar(&parsed.root, "root", ".", "root of the repository, built")
	flag.IntVar(&parsed.number, "case", 0, "number of the case")
	flag.StringVar(&parsed.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := play(ctx, parsed)
	stop()
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(ctx context.Context, parsed settings) int {
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	clock := clockwork.NewRealClock() //nolint:forbidigo // the program of the cases creates the real clock
	r, err := newRecord(clock, parsed.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		return exitNotRun
	}
	defer r.close()
	planned, ok := cases()[parsed.number]
	if !ok {
		r.line("there is no case %d", parsed.number)
		return exitNotRun
	}
	root, err := filepath.Abs(parsed.root)
	if err != nil {
		r.line("root: %v", err)
		return exitNotRun
	}
	planned.deployment.root = root
	r.line("case %d, trouble %t", parsed.number, parsed.trouble)
	broken, err := playCase(ctx, clock, r, planned, parsed.trouble)
	switch {
	case err != nil:
		r.line("the case couldn't run: %v", err)
		return exitNotRun
	case broken != "":
		r.line("BROKEN: %s", broken)
		return exitBroken
	}
	r.line("HELD")
	return exitHeld
}

// playCase starts the deployment of a case, plays the case and ends all processes.
func playCase(
	ctx context.Context, clock clockwork.Clock, r *record, planned plannedCase, trouble bool,
) (string, error) {
	d, err := startDeployment(ctx, clock, r, planned.deployment)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err = d.awaitReady(ctx); err != nil {
		return "", err
	}
	return planned.play(ctx, d, trouble)
}

// plannedCase is a case: what is deployed and what happens.
type plannedCase struct {
	deployment deploymentConfig
	// play returns how the rule was broken; empty if it held.
	play func(ctx context.Context, d *deployment, trouble bool) (string, error)
}
