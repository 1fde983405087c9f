// Package scheduler elects and runs a cell's scheduler. Every entry is a candidate; the holder of the newest
// claim in the cell's log is the leader. Each decision is appended to the log under the leader's epoch before its
// orders are sent, so a scheduler that was replaced can't issue new orders.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{
//		Holder: "entry-1.k3x",
//		Mirror: m,
//		Append: topic.Append,
//	})
//	go func() { done <- s.Run(ctx) }()
//	orders, ok := s.Report(ctx, report)
package scheduler
