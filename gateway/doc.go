// Package gateway answers callers at an entry: it checks keys, stores jobs and cancellations, and tells states from
// what it follows. It answers success only for what is stored, and "not run" only for what never will be.
//
// # Usage
//
//	g := gateway.New(gateway.Config{
//		Mirror: m,
//		Append: topic.Append,
//	})
//	handler := platform.NewCallers(platform.CallersConfig{
//		Submit: g.Submit,
//		Lookup: g.Lookup,
//		Cancel: g.Cancel,
//	})
package gateway
