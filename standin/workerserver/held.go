package workerserver

import (
	"bytes"
	"maps"
	"net/http"
)

// heldAnswer keeps an answer until it is released.
type heldAnswer struct {
	bytes.Buffer
	code   int
	header http.Header
}

func newHeldAnswer() *heldAnswer {
	return &heldAnswer{
		code:   http.StatusOK,
		header: http.Header{},
	}
}

// Header returns the held header.
func (h *heldAnswer) Header() http.Header {
	return h.header
}

// WriteHeader holds the status.
func (h *heldAnswer) WriteHeader(code int) {
	h.code = code
}

// release writes the answer.
func (h *heldAnswer) release(w http.ResponseWriter) {
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.code)
	_, _ = h.WriteTo(w)
}
