package workerserver

import (
	"encoding/json"
	"net/http"
	"time"

	"radishpath.example/radishpath/backend"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/rest"
)

// maxBodyBytes bounds a task or request.
const maxBodyBytes = 4 << 20

func (s *Server) handleAction(w http.ResponseWriter, r *http.Request) {
	reply(w, s.act(rest.Variable(r, "id"), rest.Variable(r, "action")))
}

func (s *Server) handleDescribe(w http.ResponseWriter, _ *http.Request) {
	now := s.lock()
	usage := s.usage.report(now)
	s.mu.Unlock()
	rest.Answer(w, logservice.Description{
		ID:           s.config.ID,
		Zone:         s.config.Zone,
		Rack:         s.config.Rack,
		Accelerators: int32(s.config.Accelerators),
		Cores:        int32(s.config.Cores),
		Memory:       s.config.Memory,
		Slots:        int32(s.config.Slots),
		Usage:        usage,
	})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := parseFaults(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.setFaults(faults)
	s.config.Logger.Info("faults changed", "faults", faults)
	reply(w, nil)
}

func (s *Server) handleForget(w http.ResponseWriter, r *http.Request) {
	reply(w, s.forget(rest.Variable(r, "id")))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	rest.Answer(w, struct {
		Leaving bool `json:"leaving"`
	}{
		Leaving: s.currentFaults().Leaving,
	})
}

func (s *Server) handleLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.FormValue("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "invalid ttl", http.StatusBadRequest)
		return
	}
	s.lease(rest.Variable(r, "id"), ttl)
	reply(w, nil)
}

func (s *Server) handleListFaults(w http.ResponseWriter, _ *http.Request) {
	rest.Answer(w, s.currentFaults())
}

func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	s.lock()
	lines := s.record.lines
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	_, _ = w.Write(lines)
}

func (s *Server) handleRemove(w http.ResponseWriter, r *http.Request) {
	reply(w, s.remove(rest.Variable(r, "id")))
}

func (s *Server) handleRequests(w http.ResponseWriter, _ *http.Request) {
	rest.Answer(w, struct {
		Requests []backend.Status `json:"requests"`
	}{
		Requests: s.listRequests(),
	})
}

func (s *Server) handleServe(w http.ResponseWriter, r *http.Request) {
	description := backend.Request{}
	if !decode(w, r, &description) {
		return
	}
	served, refused := s.begin(description)
	if refused != nil {
		reply(w, refused)
		return
	}
	select {
	case <-served.ended:
		rest.Answer(w, served.status.Answer)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) handleStart(w http.ResponseWriter, r *http.Request) {
	description := logservice.Task{}
	if decode(w, r, &description) {
		reply(w, s.start(description))
	}
}

func (s *Server) handleTasks(w http.ResponseWriter, _ *http.Request) {
	rest.Answer(w, struct {
		Tasks []logservice.TaskStatus `json:"tasks"`
	}{
		Tasks: s.list(),
	})
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) setFaults(faults Faults) {
	s.lock()
	defer s.mu.Unlock()
	if faults.Leaving != s.faults.Leaving {
		state := "off"
		if faults.Leaving {
			state = "on"
		}
		s.note(Event{
			Event: EventLeaving,
			State: state,
		})
	}
	s.faults = faults
}

// takeLost reports whether the answer of this call is to be lost.
func (s *Server) takeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.faults.Lost != 0
	if s.faults.Lost > 0 {
		s.faults.Lost--
	}
	return lost
}

// withFaults delays or loses answers after the call took effect.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := newHeldAnswer()
		next.ServeHTTP(held, r)
		if delay := time.Duration(s.currentFaults().Delay); delay > 0 {
			<-s.config.Clock.After(delay)
		}
		if r.Method == http.MethodPost && s.takeLost() {
			panic(http.ErrAbortHandler)
		}
		held.release(w)
	})
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value); err != nil {
		http.Error(w, "decode: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, refused *refusal) {
	if refused != nil {
		http.Error(w, refused.reason, refused.code)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
