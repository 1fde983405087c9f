// Package executorserver simulates the platform's executors. An Executor runs tasks under leases on its own clock,
// checks fences, reports running and ended tasks, writes checkpoints, lets a gang make progress only while all members
// run, drains, restarts under the same id, and sends heartbeats to its agent. A Recorder collects the starts and ends
// of the tasks of all executors and reports violated invariants, such as two concurrent runs of a task.
//
// # Usage
//
//	recorder := executorserver.NewRecorder(clock)
//	executor := executorserver.New(executorserver.Config{
//		ID:       "i-1",
//		Recorder: recorder,
//	})
//	server := httptest.NewServer(executor)
//	go executor.Run(ctx)
//	go executor.SendHeartbeats(ctx, "http://127.0.0.1:7082")
//	require.Empty(t, recorder.Violations())
//
// A task's spec defines its behavior: "200ms" runs for that long, "fail 200ms" fails afterwards, "save 5s" runs for 5 s
// and writes a checkpoint every 200 ms, "gpu 2 200ms" uses two accelerators, and "gang 3 200ms" belongs to a gang of
// three members.
package executorserver
