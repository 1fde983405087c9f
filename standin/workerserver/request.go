package workerserver

import "radishpath.example/radishpath/backend"

// request is a request that runs or whose answer is kept.
type request struct {
	status  backend.Status
	payload Payload
	// run numbers the runs of the job on this server.
	run int
	// ended is closed when the answer is there.
	ended chan struct{}
}

func newRequest(description backend.Request, payload Payload) *request {
	return &request{
		status: backend.Status{
			Request: description,
			State:   backend.StateRunning,
		},
		payload: payload,
		ended:   make(chan struct{}),
	}
}

func (r *request) event(kind string) Event {
	return Event{
		Event:      kind,
		Kind:       KindRequest,
		ID:         r.status.ID,
		Job:        r.status.Job,
		Generation: r.status.Generation,
		Count:      r.status.Count,
		State:      r.status.State,
		Reason:     r.status.Answer.Reason,
	}
}

func (r *request) running() bool {
	return r.status.State == backend.StateRunning
}
