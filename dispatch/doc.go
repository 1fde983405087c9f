// Package dispatch assigns the tasks of a cell's jobs to executors. It performs no I/O and reads no clock: it takes
// reports, jobs and the current time, and returns orders, acknowledgements of ended runs and progress records. The
// caller must store the progress records of a batch before it makes that batch's orders visible.
//
// # Usage
//
//	planner := dispatch.New(dispatch.Config{
//		LeaseDuration: 10 * time.Second,
//	}, instant)
//	planner.SetJob(jobState, instant)
//	planner.Report(report, epoch, instant)
//	planner.Plan(instant)
//	batch := planner.TakeBatch()
//	// append batch.Progress to the log, then:
//	planner.Commit(batch.Number)
//	orders := planner.Orders(agent, instant)
package dispatch
