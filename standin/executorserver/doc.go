// Package executorserver is a model of the platform's executors: it runs tasks under leases on a clock of its own,
// keeps fences, lists runs and ends, and sends heartbeats to its agent. It records every start and end, and says
// which promises were broken.
//
// # Usage
//
//	log := executorserver.NewRecord()
//	executor := executorserver.New(executorserver.Config{
//		ID:     "i-1",
//		Record: log,
//	})
//	server := httptest.NewServer(executor)
//	go executor.Beat(ctx, "http://127.0.0.1:7082")
//	require.Empty(t, log.Broken())
//
// A task's spec says what it does: "200ms" runs for that long, "fail 200ms" fails after it.
package executorserver
