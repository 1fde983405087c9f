package executorserver

import "net/http"

// Paths of the calls.
const (
	holdPath  = "/v1/hold"
	startPath = "/v1/run-start"
	stopPath  = "/v1/run-stop"
)

// call is a request that the executor has received.
type call struct {
	path string
	// expectedID is the id of the incarnation that the request is for; empty means any.
	expectedID string
	body       []byte
	// late is set if the call is carried out after its connection was closed, so that nobody receives the response.
	late bool
}

// response is the response to a call.
type response struct {
	status int
	body   map[string]any
}

// badRequest returns the response to a request that can't be decoded.
func badRequest() response {
	return response{
		status: http.StatusBadRequest,
	}
}

// noResponse means that the executor crashed before it responded.
func noResponse() response {
	return response{}
}

// rejection returns a response with the reason why nothing was done.
func rejection(reason string) response {
	return response{
		status: http.StatusConflict,
		body: map[string]any{
			"reason": reason,
		},
	}
}

// success returns a response without content.
func success() response {
	return response{
		status: http.StatusOK,
		body:   map[string]any{},
	}
}
