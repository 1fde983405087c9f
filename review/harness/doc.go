// Package harness runs a small deployment for the cases under review: the project's own programs as separate processes,
// started with the settings templates of the deploy file, beside the simulated store and executors of package standin.
//
// # Usage
//
//	h, err := harness.Start(ctx, harness.Config{
//		Agents: 3,
//		Record: record,
//	})
//	defer h.Close()
//	h.PutConfig(config)
//	status, body := h.Call(ctx, http.MethodPost, 0, path, key, job)
package harness
