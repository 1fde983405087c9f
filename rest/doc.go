// Package rest makes the HTTP+JSON calls of the platform and backend clients and separates calls that were
// definitely not carried out from calls with an unknown outcome.
//
// # Usage
//
//	client := rest.New(rest.Config{
//		Address:     "127.0.0.1:7100",
//		Connections: 60,
//	})
//	err := client.Do(ctx, http.MethodPost, "/tasks", body, &reply)
//
// An error that wraps ErrRejected means that the server did not carry out the call: no connection was available,
// or the server answered with 503 or a status of the 4xx range. After any other error the outcome is unknown.
package rest
