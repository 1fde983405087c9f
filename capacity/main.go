// Command capacity measures on loopback what a process of each role costs as the deployment, the gang, the request
// rate and the publish rate grow, with the real binaries and the stand-ins. docs/CAPACITY.md works out the target size
// from its slopes.
//
// # Usage
//
//	go run ./capacity -bin bin
//	go run ./capacity -bin bin -markdown -sizes 8,24,48,96
//
// Bytes are those that TCP delivered on the sockets of a process, read from the kernel by NETLINK_SOCK_DIAG. The
// program ends all its processes and itself within 120 s; what it had no time for is named at the end.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/proof/harness"
)

// runLimit leaves 12 s of the 120 s to end the processes on a busy machine.
const runLimit = 108 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	bin := flag.String("bin", "", "directory with the binaries radishpath and standin; they are built when it is empty")
	sizes := flag.String("sizes", "8,24,48,96", "numbers of agents, ascending; each agent is two processes")
	window := flag.Duration("window", 3*time.Second, "time of one measurement")
	markdown := flag.Bool("markdown", false, "print the tables as Markdown")
	flag.Parse()
	counts, err := parseSizes(*sizes)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	study := newStudy(harness.NewProgram(ctx, "capacity"), clock, *bin, *window)
	started := clock.Now()
	before := loadAverage()
	err = study.Run(func() error { return study.play(counts) })
	after := loadAverage()
	study.Close()
	_, _ = fmt.Printf("sizes %s, window %s, load average %s before and %s after, %s in all\n\n", *sizes, *window, before,
		after, clock.Since(started).Round(time.Second))
	for _, s := range study.series {
		s.print(os.Stdout, *markdown)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
		return 1
	}
	return 0
}

// parseSizes reads at least three ascending numbers; 120 agents and what belongs to them are 244 processes.
func parseSizes(text string) ([]int, error) {
	const least, most = 3, 120
	var sizes []int
	for part := range strings.SplitSeq(text, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return nil, fmt.Errorf("read sizes: %w", err)
		}
		if size < 1 || size > most || len(sizes) > 0 && size <= sizes[len(sizes)-1] {
			return nil, fmt.Errorf("size %d: sizes must ascend and be at most %d", size, most)
		}
		sizes = append(sizes, size)
	}
	if len(sizes) < least {
		return nil, fmt.Errorf("%d sizes: a slope needs at least %d", len(sizes), least)
	}
	return sizes, nil
}
