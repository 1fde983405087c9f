// Command bench replays the generated traces with the placement code and with two baselines, and prints each measure
// beside its target.
//
// # Usage
//
//	go run ./bench
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"radishpath.example/radishpath/placement"
	"radishpath.example/radishpath/replay"
)

func main() {
	for _, d := range []replay.Deployment{replay.Mauritius(), replay.Fiji()} {
		if err := table(os.Stdout, d); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	requests(os.Stdout)
}

// requests prints how small requests fare beside large ones, by the router and by two baselines.
func requests(w io.Writer) {
	arrivals := replay.Requests(1)
	routed, fifo := replay.RouteRequests(arrivals), replay.FIFORequests(arrivals)
	turns := replay.RoundRobinRequests(arrivals)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "\nrequests, 11 servers of 8 slots\trouter\tFIFO\tround robin\ttarget\treached\n")
	for _, r := range []struct {
		name   string
		target string
		value  func(replay.RequestMeasures) float64
		ok     bool
	}{
		{
			name:   "small, p99 / run time, before the burst",
			target: "<= 1.2",
			value:  func(m replay.RequestMeasures) float64 { return m.Small },
			ok:     routed.Small <= 1.2,
		},
		{
			name:   "burst of large, small p99 s",
			target: "<= FIFO/10",
			value:  func(m replay.RequestMeasures) float64 { return m.Burst },
			ok:     routed.Burst <= fifo.Burst/10,
		},
		{
			name:   "large, p95 s",
			target: "<= FIFO",
			value:  func(m replay.RequestMeasures) float64 { return m.Large },
			ok:     routed.Large <= fifo.Large,
		},
	} {
		reached := "no"
		if r.ok {
			reached = "yes"
		}
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%s\t%s\n",
			r.name, r.value(routed), r.value(fifo), r.value(turns), r.target, reached)
	}
	_ = table.Flush()
}

// row is one measure with its target.
type row struct {
	name   string
	target string
	value  func(replay.Measures) float64
	ok     func(own, fifo replay.Measures) bool
	// note names the page that gives the cause if the target is not reached.
	note string
}

func rows() []row {
	return []row{
		{
			name:   "small, p99 / unloaded time, room free",
			target: "<= 1.2",
			value:  func(m replay.Measures) float64 { return m.Small },
			ok:     func(own, _ replay.Measures) bool { return own.Small <= 1.2 },
		},
		{
			name:  "same, full cell included",
			value: func(m replay.Measures) float64 { return m.Calm },
		},
		{
			name:   "burst of small, p99 s",
			target: "<= FIFO/10",
			value:  func(m replay.Measures) float64 { return m.Burst },
			ok:     func(own, fifo replay.Measures) bool { return own.Burst <= fifo.Burst/10 },
		},
		{
			name:   "large, p95 completion s",
			target: "<= FIFO",
			value:  func(m replay.Measures) float64 { return m.Large },
			ok:     func(own, fifo replay.Measures) bool { return own.Large <= fifo.Large },
			note:   "the small jobs' guarantee, docs/decisions/guarantees.md",
		},
		{
			name:   "largest shape / offline packing",
			target: ">= 0.95",
			value:  func(m replay.Measures) float64 { return m.Packing },
			ok:     func(own, _ replay.Measures) bool { return own.Packing >= 0.95 },
			note:   "an offline packing moves everything, docs/decisions/fragmentation.md",
		},
		{
			name:   "work with a zone out / share",
			target: ">= 0.95",
			value:  func(m replay.Measures) float64 { return m.Outage },
			ok:     func(own, _ replay.Measures) bool { return own.Outage >= 0.95 },
		},
		{
			name:   "full after return, s",
			target: "<= 10",
			value:  func(m replay.Measures) float64 { return m.Return },
			ok:     func(own, _ replay.Measures) bool { return own.Return <= 10 },
		},
		{
			name:   "guarantee within its limit",
			target: "1",
			value:  func(m replay.Measures) float64 { return m.Reclaimed },
			ok:     func(own, _ replay.Measures) bool { return own.Reclaimed >= 1 },
		},
		{
			name:   "urgent start, max s",
			target: "<= 1.3",
			value:  func(m replay.Measures) float64 { return m.Urgent },
			ok:     func(own, _ replay.Measures) bool { return own.Urgent <= 1.3 },
		},
		{
			name:   "jobs not as stated",
			target: "0",
			value:  func(m replay.Measures) float64 { return float64(len(m.Wrong)) },
			ok:     func(own, _ replay.Measures) bool { return len(own.Wrong) == 0 },
		},
		{
			name:  "mean accelerators in use",
			value: func(m replay.Measures) float64 { return m.Work },
		},
		{
			name:  "evictions",
			value: func(m replay.Measures) float64 { return float64(m.Evictions) },
		},
	}
}

// choices compares alternatives under the same order, shortest declared first with best fit.
func choices(w io.Writer, events []replay.Event, one replay.Measures) {
	entries := replay.NewOptimistic(3)
	outcome := replay.Run(events, entries)
	three := replay.Measure(events, outcome)
	fixed := replay.Measure(events, replay.Run(events, replay.NewFixed()))
	holds, conflicts, most := 0, 0, 0
	for _, r := range outcome.Records {
		if r.Outcome == "done" {
			holds += entries.Holds[r.ID]
			conflicts += entries.Conflicts[r.ID]
			most = max(most, entries.Conflicts[r.ID])
		}
	}
	_, _ = fmt.Fprint(w, "\nshortest best fit\tone placer\t3 entries\tfixed cells\n")
	for _, r := range rows() {
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\n", r.name, r.value(one), r.value(three), r.value(fixed))
	}
	_, _ = fmt.Fprintf(w, "holds, conflicts, most retries of a job that was done\t\t%d, %d, %d\n", holds, conflicts, most)
}

func table(out io.Writer, d replay.Deployment) error {
	events := replay.Generate(d)
	run := func(p replay.Placer) replay.Measures {
		return replay.Measure(events, replay.Run(events, p))
	}
	own, fifo, shortest := run(placement.New(placement.Config{})), run(replay.NewFIFO()), run(replay.NewShortest())
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s\tplacement\tFIFO first fit\tshortest best fit\ttarget\treached\n", d.Name)
	for _, r := range rows() {
		reached := ""
		if r.ok != nil {
			reached = "no: " + r.note
			if r.ok(own, fifo) {
				reached = "yes"
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%s\t%s\n", r.name, r.value(own), r.value(fifo), r.value(shortest),
			r.target, reached)
	}
	choices(w, events, shortest)
	_, _ = fmt.Fprintln(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
