package workerserver

import (
	"net/http"
	"sort"

	"radishpath.example/radishpath/backend"
)

// begin runs a request, or finds the one of that id, or refuses.
func (s *Server) begin(description backend.Request) (*request, *refusal) {
	s.lock()
	defer s.mu.Unlock()
	if known, ok := s.requests[description.ID]; ok {
		s.note(known.event(EventRepeat))
		return known, nil
	}
	r := newRequest(description, parsePayload(description.Payload))
	refused := s.serveRefusal(description)
	if refused != nil {
		event := r.event(EventRefusal)
		event.State = ""
		event.Reason = refused.reason
		s.note(event)
		return nil, refused
	}
	if s.faults.Fail {
		r.payload = failedWorker()
	}
	r.run = s.count(description.Job)
	s.requests[description.ID] = r
	s.note(r.event(EventStart))
	s.config.Clock.AfterFunc(r.payload.work(), func() { s.conclude(r) })
	return r, nil
}

// conclude ends a request whose work is done.
func (s *Server) conclude(r *request) {
	s.lock()
	defer s.mu.Unlock()
	r.status.State = backend.StateDone
	r.status.Answer.Body = r.payload.answer(r.status.Job, r.run)
	if r.payload.Fail {
		r.status.State = backend.StateFailed
		r.status.Answer = backend.Answer{
			Failed: true,
			Reason: r.payload.reason(),
		}
	}
	s.note(r.event(EventEnd))
	close(r.ended)
}

func (s *Server) forget(id string) *refusal {
	s.lock()
	defer s.mu.Unlock()
	r, ok := s.requests[id]
	if !ok {
		return refuse(http.StatusNotFound, "unknown request")
	}
	if r.running() {
		return refuse(http.StatusPreconditionFailed, "request is running")
	}
	delete(s.requests, id)
	return nil
}

// listRequests returns the requests in order of their ids.
func (s *Server) listRequests() []backend.Status {
	s.lock()
	defer s.mu.Unlock()
	statuses := []backend.Status{}
	for _, r := range s.requests {
		statuses = append(statuses, r.status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}

// serveRefusal returns why a request must not run, or nil.
func (s *Server) serveRefusal(description backend.Request) *refusal {
	running := 0
	for _, r := range s.requests {
		if r.running() {
			running++
		}
	}
	switch {
	case description.ID == "":
		return refuse(http.StatusBadRequest, "request without id")
	case running >= s.config.Slots:
		return refuse(http.StatusServiceUnavailable, "no free slot")
	default:
		return nil
	}
}
