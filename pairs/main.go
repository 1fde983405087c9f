// Command pairs plays days of a deployment with two versions of the product and prints what changes for each kind of
// request. Single plays of a large deployment differ by more than most changes do, so each day is played with several
// seeds by both versions, two plays of one seed at the same time, and the spread of the differences is printed beside
// their mean.
//
// # Usage
//
// Each version is a directory with a checkout of the repository:
//
//	git worktree add ../base HEAD~1
//	go run ./pairs -bench fleetbench -site site.toml -base ../base -head . -days scale-1,trouble-1 -seeds 4
//
// A day is a name of the site file or a file of a day. The plays leave their journal entries in both directories. The
// exit code is 1 if a play fails.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

func main() {
	os.Exit(run())
}

func run() int {
	player := player{}
	flag.StringVar(&player.bench, "bench", "", "path of the users' bench")
	flag.StringVar(&player.site, "site", "", "path of the site file")
	flag.BoolVar(&player.freeCPU, "no-cpu", false, "don't count processor time")
	flag.StringVar(&player.reason, "why", "pairs of plays", "reason for the journal")
	base := flag.String("base", "", "directory of the version to compare with")
	head := flag.String("head", ".", "directory of the version to judge")
	days := flag.String("days", "", "days, separated by commas")
	seeds := flag.Int("seeds", 3, "number of seeds for each day")
	first := flag.Int("first", 1, "first seed")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	comparison := newComparison()
	for _, day := range strings.Split(*days, ",") {
		for seed := *first; seed < *first+*seeds; seed++ {
			played, err := player.playBoth(ctx, *base, *head, day, seed)
			if err != nil {
				_, _ = fmt.Fprintln(os.Stderr, "Error:", err)
				return 1
			}
			comparison.add(played)
			for _, details := range []string{played.base.details, played.head.details} {
				if details != "" {
					_, _ = fmt.Printf("%s, seed %d: broken rules: %s\n", day, seed, details)
				}
			}
			_, _ = fmt.Printf("%s, seed %d: worth %.3f and %.3f\n", day, seed, played.base.worth, played.head.worth)
		}
	}
	comparison.print(os.Stdout)
	return 0
}
