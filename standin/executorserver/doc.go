// Package executorserver simulates the platform's executors. An Executor runs tasks under leases on its own clock,
// checks fences, reports running and ended tasks, writes checkpoints, lets a gang make progress only while all members
// run, and sends heartbeats to its agent. It restarts under its id or another one, crashes and stays down, leaves after
// an announcement, changes its capacity, takes its time to stop a run, and carries out calls late that got no response,
// also after a restart. A Recorder collects the starts and ends of the tasks of all executors and reports violated
// invariants, such as two concurrent runs of a task.
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
//	executor.SetFaults(executorserver.Faults{
//		LateStarts: 0.5,
//		StopGrace:  time.Second,
//	})
//	require.Empty(t, recorder.Violations())
//
// A task's spec defines its behavior: "200ms" runs for that long, "fail 200ms" fails afterwards, "save 5s" runs for 5 s
// and writes a checkpoint every 200 ms, "gpu 2 200ms" uses two accelerators, and "gang 3 200ms" belongs to a gang of
// three members. "crash" crashes its executor before the start is answered, and "crash 200ms" after that time.
//
// Of a gang that fails, as in "fail gang 3 200ms", one member fails and breaks the others. With "together", as in "fail
// together gang 3 200ms", all members fail by their own fault at the same time. With "failures 1" in place of "fail",
// only the first run of the gang fails, and later ones succeed.
package executorserver
