// Package proof tests the real binaries under failure: processes that are killed, paused, cut off or shut down, and a
// log that is unavailable, slow, or loses answers. What ran is judged by the records of the stand-ins.
//
// # Usage
//
//	go test ./proof
//
// A test starts a deployment with newSuite, publishes a document, submits jobs as a caller would and checks the
// workers' records with the invariants of package harness.
package proof
