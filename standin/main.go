// Command standin runs simulations of the platform's store and executors as processes, to try out radishpath manually.
// It isn't part of a release.
//
// # Usage
//
//	standin store --listen 127.0.0.1:7070
//	standin executor --listen 127.0.0.1:8000 --agent 127.0.0.1:7082 --zone curepipe --rack r1
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run simulations of the platform's store and executors",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	clock := clockwork.NewRealClock()
	root.AddCommand(newStoreCmd(clock), newExecutorCmd(clock))
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		stop()
		os.Exit(1)
	}
}
