package caller

import (
	"context"
	"net/http"
)

// CloseAfterResponse returns a handler that closes each connection after its next response once ctx has ended, so that
// callers reconnect to another process. Idle connections stay open until the server shuts down: a call that is just
// being sent on one would otherwise end without an answer, and its caller would not know whether it ran.
func CloseAfterResponse(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
