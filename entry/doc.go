// Package entry is the process that callers and operators talk to. It accepts jobs and owns them until they are
// answered, follows the document and job streams of the platform's log, confirms the newest document to agents, and
// takes its turn as the placer of the cell.
//
// An Entry keeps no state that lasts: jobs and documents are in the log, running work is announced by the agents,
// and the placer's plan is rebuilt from those announcements.
//
// # Usage
//
//	e := entry.New(entry.Config{
//		ID:      "entry-1",
//		Address: "127.0.0.1:7001",
//		Clock:   clock,
//		Log:     log,
//		Pool:    pool,
//		Logger:  logger,
//	})
//	err := e.Run(ctx)
//
// Run returns when ctx ends, after the jobs that it owned were handed to another entry. Submit, Lookup and Cancel
// serve callers; Publish, InEffect and the listing methods serve operators; Handle answers other processes.
package entry
