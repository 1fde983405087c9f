// Package logservice holds the clients of the platform's two services: the append-only log and the workers.
//
// # Usage
//
//	log := platform.NewLog(platform.LogConfig{
//		Address: "127.0.0.1:7100",
//		Clock:   clock,
//		Logger:  logger,
//	})
//	offset, err := log.Append(ctx, "jobs", data)
//	page, err := log.Read(ctx, "jobs", offset, 100, time.Second)
//
//	worker := platform.NewWorker(platform.WorkerConfig{
//		Address: "127.0.0.1:7200",
//	})
//	err = worker.Lease(ctx, "lease", time.Second)
//	err = worker.Start(ctx, task)
//
// An error that wraps ErrRejected means that the service definitely did not do what was asked. After any other error
// the outcome is unknown. Start wraps ErrExists when a task of that id was started before, by this call or another;
// such an error does not wrap ErrRejected. Every time limit comes from the context.
package logservice
