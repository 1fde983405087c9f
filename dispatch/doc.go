// Package dispatch decides what runs where in a cell. It is pure: reports, jobs and the time go in; orders,
// acknowledged ends and progress records come out. The caller stores the progress of a batch before the orders of
// that batch become visible.
//
// # Usage
//
//	board := dispatch.New(dispatch.Config{
//		Grant: 10 * time.Second,
//	})
//	board.SetJob(tracked, instant)
//	board.Report(report, instant)
//	board.Plan(instant)
//	batch := board.TakeBatch()
//	// append batch.Progress to the log, then:
//	board.Commit(batch.Number)
//	orders := board.Orders(agent, instant)
package dispatch
