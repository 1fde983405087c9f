// Command bench replays the generated traces with the scheduler of package placement and with two baselines, and prints
// each metric with its target. It also compares alternative designs, and routing policies for small requests.
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
		if err := printTable(os.Stdout, d); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	printRequestTable(os.Stdout)
}

// printRequestTable prints the request latencies under the router and two baselines.
func printRequestTable(out io.Writer) {
	arrivals := replay.GenerateRequests(1)
	routed, fifo := replay.SimulateRouter(arrivals), replay.SimulateFIFO(arrivals)
	roundRobin := replay.SimulateRoundRobin(arrivals)
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(writer, "\nrequests, 11 servers of 8 slots\trouter\tFIFO\tround robin\ttarget\treached\n")
	for _, r := range []struct {
		name   string
		target string
		value  func(replay.RequestMetrics) float64
		ok     bool
	}{
		{
			name:   "small, p99 / run time, before the burst",
			target: "<= 1.2",
			value:  func(m replay.RequestMetrics) float64 { return m.Small },
			ok:     routed.Small <= 1.2,
		},
		{
			name:   "burst of large, small p99 s",
			target: "<= FIFO/10",
			value:  func(m replay.RequestMetrics) float64 { return m.SmallBurstLatency },
			ok:     routed.SmallBurstLatency <= fifo.SmallBurstLatency/10,
		},
		{
			name:   "large, p95 s",
			target: "<= FIFO",
			value:  func(m replay.RequestMetrics) float64 { return m.LargeLatency },
			ok:     routed.LargeLatency <= fifo.LargeLatency,
		},
	} {
		reached := "no"
		if r.ok {
			reached = "yes"
		}
		_, _ = fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%.2f\t%s\t%s\n",
			r.name, r.value(routed), r.value(fifo), r.value(roundRobin), r.target, reached)
	}
	_ = writer.Flush()
}

// metricRow is a line of the result table: a metric with its target.
type metricRow struct {
	name   string
	target string
	value  func(replay.Metrics) float64
	ok     func(actual, fifo replay.Metrics) bool
	// note is printed if the target is not met. It gives the cause and the page that explains it.
	note string
}

func metricRows() []metricRow {
	return []metricRow{
		{
			name:   "small, p99 / unloaded time, accelerator free",
			target: "<= 1.2",
			value:  func(m replay.Metrics) float64 { return m.SmallSlowdown },
			ok:     func(actual, _ replay.Metrics) bool { return actual.SmallSlowdown <= 1.2 },
		},
		{
			name:  "same, at any load",
			value: func(m replay.Metrics) float64 { return m.SmallSlowdownAnyLoad },
		},
		{
			name:   "burst of small, p99 s",
			target: "<= FIFO/10",
			value:  func(m replay.Metrics) float64 { return m.BurstCompletion },
			ok:     func(actual, fifo replay.Metrics) bool { return actual.BurstCompletion <= fifo.BurstCompletion/10 },
		},
		{
			name:   "large, p95 completion s",
			target: "<= FIFO",
			value:  func(m replay.Metrics) float64 { return m.LargeCompletion },
			ok:     func(actual, fifo replay.Metrics) bool { return actual.LargeCompletion <= fifo.LargeCompletion },
			note:   "the small jobs' guarantee, docs/decisions/guarantees.md",
		},
		{
			name:   "largest shape / offline packing",
			target: ">= 0.95",
			value:  func(m replay.Metrics) float64 { return m.PackingRatio },
			ok:     func(actual, _ replay.Metrics) bool { return actual.PackingRatio >= 0.95 },
			note:   "an offline packing moves everything, docs/decisions/fragmentation.md",
		},
		{
			name:   "work during zone outage / capacity",
			target: ">= 0.95",
			value:  func(m replay.Metrics) float64 { return m.OutageWorkRatio },
			ok:     func(actual, _ replay.Metrics) bool { return actual.OutageWorkRatio >= 0.95 },
		},
		{
			name:   "zone in use after its return, s",
			target: "<= 10",
			value:  func(m replay.Metrics) float64 { return m.ZoneRefillTime },
			ok:     func(actual, _ replay.Metrics) bool { return actual.ZoneRefillTime <= 10 },
		},
		{
			name:   "guarantees met within the limit",
			target: "1",
			value:  func(m replay.Metrics) float64 { return m.ReclaimedInTime },
			ok:     func(actual, _ replay.Metrics) bool { return actual.ReclaimedInTime >= 1 },
		},
		{
			name:   "urgent start, max s",
			target: "<= 1.3",
			value:  func(m replay.Metrics) float64 { return m.MaxUrgentWait },
			ok:     func(actual, _ replay.Metrics) bool { return actual.MaxUrgentWait <= 1.3 },
		},
		{
			name:   "jobs with an unexpected outcome",
			target: "0",
			value:  func(m replay.Metrics) float64 { return float64(len(m.UnexpectedOutcomes)) },
			ok:     func(actual, _ replay.Metrics) bool { return len(actual.UnexpectedOutcomes) == 0 },
		},
		{
			name:  "mean accelerators in use",
			value: func(m replay.Metrics) float64 { return m.MeanBusyAccelerators },
		},
		{
			name:  "evictions",
			value: func(m replay.Metrics) float64 { return float64(m.Evictions) },
		},
	}
}

// printAlternatives compares a central scheduler, several entries with optimistic concurrency control, and fixed
// cells. All place the shortest declared run time first, with best fit.
func printAlternatives(writer io.Writer, events []replay.Event, singleScheduler replay.Metrics) {
	optimistic := replay.NewOptimisticScheduler(3)
	result := replay.Run(events, optimistic)
	optimisticMetrics := replay.Measure(events, result)
	fixedCells := replay.Measure(events, replay.Run(events, replay.NewFixedCells()))
	attempts, conflicts, maxConflicts := 0, 0, 0
	for _, r := range result.Records {
		if r.Outcome == "done" {
			attempts += optimistic.Attempts[r.ID]
			conflicts += optimistic.Conflicts[r.ID]
			maxConflicts = max(maxConflicts, optimistic.Conflicts[r.ID])
		}
	}
	_, _ = fmt.Fprint(writer, "\nshortest best fit\tone scheduler\t3 entries\tfixed cells\n")
	for _, r := range metricRows() {
		_, _ = fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%.2f\n", r.name, r.value(singleScheduler), r.value(optimisticMetrics),
			r.value(fixedCells))
	}
	_, _ = fmt.Fprintf(writer, "attempts, conflicts, max conflicts of a completed job\t\t%d, %d, %d\n",
		attempts, conflicts, maxConflicts)
}

func printTable(out io.Writer, d replay.Deployment) error {
	events := replay.Generate(d)
	run := func(scheduler replay.Scheduler) replay.Metrics {
		return replay.Measure(events, replay.Run(events, scheduler))
	}
	actual, fifo, shortest := run(placement.New(placement.Config{})), run(replay.NewFIFO()), run(replay.NewShortestFirst())
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(writer, "%s\tplacement\tFIFO first fit\tshortest best fit\ttarget\treached\n", d.Name)
	for _, r := range metricRows() {
		reached := ""
		if r.ok != nil {
			reached = "no: " + r.note
			if r.ok(actual, fifo) {
				reached = "yes"
			}
		}
		_, _ = fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%.2f\t%s\t%s\n",
			r.name, r.value(actual), r.value(fifo), r.value(shortest), r.target, reached)
	}
	printAlternatives(writer, events, shortest)
	_, _ = fmt.Fprintln(writer)
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
