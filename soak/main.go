package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

func main() {
	bin := flag.String("bin", "bin/radishpath", "path of the radishpath binary under test")
	seed := flag.Uint64("seed", 1, "random seed for faults and jobs")
	seconds := flag.Int("seconds", 20, "duration of fault injection in seconds")
	agents := flag.Int("agents", 4, "number of executors, each with its own agent")
	crashingJobs := flag.Bool("crashing", true, "add jobs whose task crashes each executor that starts it")
	failingGangs := flag.Bool("failing-gangs", true, "add gangs whose members fail together, in the first run or in all")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	result, err := run(ctx, Config{
		BinaryPath:   *bin,
		Seed:         *seed,
		Duration:     time.Duration(*seconds) * time.Second,
		Agents:       *agents,
		CrashingJobs: *crashingJobs,
		FailingGangs: *failingGangs,
		Clock:        clockwork.NewRealClock(),
		Output:       os.Stdout,
	})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		os.Exit(1)
	}
	fmt.Println(result)
	if len(result.Violations) > 0 {
		os.Exit(1)
	}
}
