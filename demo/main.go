// Command demo runs a complete deployment on loopback: a simulated store and four simulated executors, with three
// entries and four agents in three availability zones. It publishes the document with the radishpath command, submits a
// small quote, a gang job, a job that fails and one that fits no executor, cancels a job, takes an availability zone
// out of service and returns it, kills an entry, and prints the outcome of each step.
//
// # Usage
//
//	go run ./demo -bin bin/radishpath
//
// The exit code is 1 if an outcome differs from the expected one.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"
)

func main() {
	os.Exit(run())
}

func run() int {
	bin := flag.String("bin", "bin/radishpath", "path of the radishpath binary")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := newScenario(ctx, clockwork.NewRealClock(), *bin)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	defer s.cluster.Close()
	s.runSteps(ctx)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "step\toutcome\ttime\tresult")
	for _, step := range s.steps {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", step.name, step.outcome, step.duration, step.result())
		if step.mismatch != "" {
			err = errors.Join(err, fmt.Errorf("%s: %s", step.name, step.mismatch))
		}
	}
	_ = table.Flush()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	return 0
}
