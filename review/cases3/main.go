// Command cases3 plays the cases 11 to 15 of the third review. It starts the deployed programs as processes on
// loopback addresses, with stand-ins of the store and of the executors, and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case couldn't run.
//
// # Usage
//
//	TROUBLE=1 target/cases3 -case drain -out review/11
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxCaseTime bounds one case.
	maxCaseTime = 110 * time.Second
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(ctx context.Context, d *deployment, trouble bool) (bool, error)

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	play, ok := cases()[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	clock := clockwork.NewRealClock() //nolint:forbidigo // the cases run on the real clock
	record, err := newRecord(clock, filepath.Join(*out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	d, err := startDeployment(ctx, clock, record)
	if err != nil {
		record.add("the case couldn't run: %v", err)
		return exitFailed
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", *name, trouble)
	broken, err := play(ctx, d, trouble)
	for _, event := range d.recorder.Events() {
		record.addLine("executors: " + event)
	}
	switch {
	case err != nil:
		record.add("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		record.add("the rule was BROKEN")
		return exitBroken
	}
	record.add("the rule held")
	return exitHeld
}

func cases() map[string]caseFunc {
	return map[string]caseFunc{
		"drain":   playDrain,
		"foreign": playForeign,
		"memory":  playMemory,
		"rack":    playRack,
		"reserve": playReserve,
	}
}
