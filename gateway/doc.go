// Package gateway handles callers' requests at an entry: it authenticates them, appends jobs and cancellations to the
// cell's log, and reports job states from the state that the entry replicates. It reports success only after the record
// is stored, and "not run" only for a job that can never run.
//
// # Usage
//
//	g := gateway.New(gateway.Config{
//		Mirror: m,
//		Append: topic.Append,
//	})
//	handler := platform.NewCallerHandler(platform.CallerHandlerConfig{
//		Submit: g.Submit,
//		Lookup: g.Lookup,
//		Cancel: g.Cancel,
//	})
package gateway
