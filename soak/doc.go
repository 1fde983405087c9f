// Command soak starts the radishpath programs as separate processes against the simulated store and simulated
// executors, injects random faults from outside the processes, and checks the system's invariants from what callers and
// executors observe. Faults last for a random time and overlap: processes are killed, paused, shut down and restarted;
// the store rejects requests, doesn't respond, drops responses or resets connections, for one entry or for all; the
// store compacts its logs, which drops older records; a loopback proxy delays, resets or cuts connections to entries
// and executors in one or both directions; executors drain and restart; new revisions of the document are published.
//
// Some jobs can't be done: tasks that fail or crash their executors, and gangs whose members fail together. A gang may
// be shown as failed only after as many failed runs as its queue allows.
//
// # Usage
//
//	go build -o bin/radishpath .
//	go run ./soak -bin bin/radishpath -seed 7 -seconds 30 -agents 6
//
// A seed determines the sequence of faults and jobs. The timing between them depends on the machine.
package main
