// Package proof tests the radishpath programs as separate processes under failure: processes are killed, paused or shut
// down, the store doesn't respond, rejects requests or drops responses, executors drain or restart. The tests compare
// what callers were told with what the simulated executors recorded. docs/proofs.md lists the tests for each invariant.
//
// # Usage
//
//	go build -o bin/radishpath .
//	go test ./proof
package proof
