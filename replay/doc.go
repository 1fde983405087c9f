// Package replay drives the placement code with a recorded trace under a fake clock and measures what comes out. A task
// that is placed at t and needs r ends at t+r; there is no other model of a machine. Workers that fail everything and
// jobs that fail everywhere fail one second after their start, and a checkpoint takes two seconds; if the limit is
// shorter, the run is lost.
//
// # Usage
//
//	events, err := replay.Read(file)
//	outcome := replay.Run(events, replay.NewScheduler())
//	measures := replay.Measure(events, outcome)
//	difference := replay.Difference(events, outcome)
//
// A trace is a file of JSON lines with one-word keys, one Event each. FIFO and Shortest are the baselines.
package replay
