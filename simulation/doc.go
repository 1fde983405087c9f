// Package simulation runs the scheduler, the agents and simulated executors in one process under virtual time and
// random faults, and checks that no task runs twice and that no job is shown as failed with attempts left. It contains
// only tests. The agents, schedulers, mirrors and log followers are the product's; the cell's log, the network and the
// executors are models. The checks use only what the executors have seen and the states of jobs in the log.
//
// A seed determines the jobs and the faults. The order of goroutines isn't determined, so that a seed may show a fault
// in only one of several runs.
//
// # Usage
//
//	go test ./simulation
//	go test ./simulation -run TestNoTaskRunsTwice/leaving -simulation.first 100 -simulation.seeds 300
//	go test ./simulation -run TestGangsKeepTheirAttempts/takeovers -simulation.seeds 50
//	go test ./simulation -simulation.faults late-holds,crash -simulation.first 17 -simulation.seeds 1
package simulation
