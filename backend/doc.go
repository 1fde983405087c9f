// Package backend is the client of a backend server, which runs small requests in a few slots.
//
// # Usage
//
//	server := backend.NewServer(backend.ServerConfig{
//		Address: "127.0.0.1:7200",
//	})
//	answer, err := server.Serve(ctx, backend.Request{
//		ID:      "quote-1.0",
//		Job:     "quote-1",
//		Payload: payload,
//	})
//
// An error that wraps ErrRejected means that the request was not run. After any other error it may have run or still
// be running; Requests tells, and a further Serve of the same id returns the answer of the first run and does not run
// the request again, as long as Forget was not called.
package backend
