// Command demo runs the whole system on loopback: the stand-ins, three entries in three availability zones and four
// agents. It publishes a document, sends a small quote, a gang job and a job that can never run, takes an availability
// zone out of service and returns it, and prints what came of each.
//
// # Usage
//
//	go run ./demo -bin bin
//
// The exit code is 1 if an outcome is not the expected one.
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
	bin := flag.String("bin", "", "directory with the binaries radishpath and standin; they are built when it is empty")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := newScenario(ctx, clockwork.NewRealClock(), *bin)
	defer s.Close()
	err := s.Run(s.play)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "step\toutcome\ttime\tresult")
	for _, step := range s.steps {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", step.name, step.outcome, step.took, step.verdict())
		if step.problem != "" {
			err = errors.Join(err, fmt.Errorf("%s: %s", step.name, step.problem))
		}
	}
	_ = table.Flush()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	return 0
}
