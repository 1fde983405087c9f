// Package cell holds the types of a cell, the unit that one scheduler serves: the operators' configuration, the entries
// of the cell's log and the fold of that log into jobs. It does no I/O.
//
// # Usage
//
//	state := cell.NewState()
//	for _, entry := range page.Entries {
//		if err := state.Apply(entry); err != nil { ... }
//	}
//	job, ok := state.Job(id)
package cell
