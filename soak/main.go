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
	bin := flag.String("bin", "bin/radishpath", "the program under test")
	seed := flag.Uint64("seed", 1, "seed of faults and jobs")
	seconds := flag.Int("seconds", 20, "seconds of faults")
	agents := flag.Int("agents", 4, "executors with an agent each")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	result, err := run(ctx, Config{
		Bin:    *bin,
		Seed:   *seed,
		Length: time.Duration(*seconds) * time.Second,
		Agents: *agents,
		Clock:  clockwork.NewRealClock(),
		Output: os.Stdout,
	})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "Error:", err)
		os.Exit(1)
	}
	fmt.Println(result)
	if len(result.Broken) > 0 {
		os.Exit(1)
	}
}
