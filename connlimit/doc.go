// Package connlimit bounds the connections of a process's servers and the bytes of requests that they hold, so that
// clients which send without end or nothing at all take neither its memory nor the descriptors by which it reaches its
// peers and the store. At the bound, connections that haven't completed a request are closed, the oldest first, then
// idle ones. A request that was read whole is never given up for another one: if only such are left, the newcomer is
// refused.
//
// # Usage
//
//	limiter := connlimit.New(connlimit.Config{
//		Logger:   logger,
//		Metrics:  scope,
//		Clock:    clock,
//		MaxConns: 512,
//		MaxBytes: 16 << 20,
//	})
//	server := limiter.NewServer(connlimit.ServerConfig{
//		Name:    "callers",
//		Handler: handler,
//		MaxBody: 256 << 10,
//	})
//	err := server.Serve(limiter.Listen(listener))
package connlimit
