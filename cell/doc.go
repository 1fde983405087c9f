// Package cell holds the types of a cell, the unit that one scheduler manages: the operators' configuration, the
// records of the cell's log and the job state built from them. It does no I/O.
//
// # Usage
//
//	state := cell.NewState()
//	for _, record := range page.Records {
//		if err := state.Apply(record); err != nil { ... }
//	}
//	job, ok := state.Job(id)
package cell
