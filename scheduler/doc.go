// Package scheduler runs a cell's scheduler. Every entry runs one; the one whose claim stands in the cell's log
// decides. Each decision is stored under the scheduler's epoch before its orders leave, so a scheduler that was
// replaced can't order anything new.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{
//		Holder: "entry-1.k3x",
//		Mirror: m,
//		Append: topic.Append,
//	})
//	go func() { ended <- s.Run(ctx) }()
//	orders, ok := s.Report(ctx, report)
package scheduler
