// Package replay is a discrete-event simulation of the placement code. It replays a recorded trace on a simulated clock
// and computes metrics of the result. A task that starts at time t with a remaining run time r ends at t+r; machines
// are not modeled further. On a broken worker every task fails, and a job marked as failing fails on every worker, in
// both cases one second after its start. A checkpoint takes two seconds; if the eviction limit is shorter, the progress
// of the run is lost.
//
// The package also simulates small and large requests to backend servers that are selected by package routing.
//
// # Usage
//
//	events, err := replay.Read(file)
//	result := replay.Run(events, replay.NewScheduler())
//	metrics := replay.Measure(events, result)
//	difference := replay.FirstDifference(events, result)
//
// A trace is a file of JSON lines with one-word keys, one Event per line. NewFIFO and NewShortestFirst return the
// baselines.
package replay
