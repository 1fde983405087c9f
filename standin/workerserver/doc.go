// Package workerserver is a worker and a backend server for tests, in one process and behind one address. As a worker
// it grants leases and runs tasks on accelerators; as a backend server it runs requests in slots. It records what it
// does, so that tests judge radishpath by this record.
//
// # Usage
//
//	server, err := workerserver.New(workerserver.Config{
//		Clock:        clock,
//		ID:           "w1",
//		Zone:         "suva",
//		Accelerators: 8,
//		Slots:        8,
//	})
//	http.Serve(listener, server.Handler())
//
// The payload of a task or request is JSON: how long it works, what it answers, and whether it fails.
//
//	{"work": "20ms", "answer": "...", "fail": false}
//
// If answer is empty, the answer is the job id and, after a space, the number of this run of the job here. A payload
// that is no such JSON makes the task or request fail.
//
// Statuses of the worker's calls: 409 for a task whose id is known; 412 for a task whose lease is not live; 423 for a
// task whose accelerators overlap with a running task's; 503 for a request without a free slot. None of them has an
// effect. A request with a known id is not run again: it is answered with the first run's answer.
//
// A checkpoint ends the task in state checkpointed and keeps the work done per job and member, in memory or in
// Config.Checkpoints, a directory that takes the place of the platform's shared store. A resumed task continues from
// there.
//
// PUT /faults replaces all switches by the ones in the body, so that an empty object turns every fault off:
//
//	{"fail": true, "delay": "500ms", "lost": 1, "leaving": true}
//
// See Faults for their meaning. GET /record returns the record as JSON lines, see Event.
package workerserver
