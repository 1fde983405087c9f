package workerserver

import (
	"net/http"
	"sort"
	"time"

	"radishpath.example/radishpath/logservice"
)

// act checkpoints, stops or throttles a task. Acting on a task that has ended has no effect and is no error, except
// for a checkpoint of a task that ended in another way.
func (s *Server) act(id, action string) *refusal {
	now := s.lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok {
		return refuse(http.StatusNotFound, "unknown task")
	}
	switch action {
	case "checkpoint":
		return s.checkpoint(t, now)
	case "stop":
		s.finish(t, logservice.StateStopped, "stopped")
	case "throttle":
		s.throttle(t, now)
	default:
		return refuse(http.StatusNotFound, "unknown action")
	}
	return nil
}

func (s *Server) checkpoint(t *task, now time.Time) *refusal {
	if t.status.State == logservice.StateCheckpointed {
		return nil
	}
	if !t.running() {
		return refuse(http.StatusPreconditionFailed, "task is "+t.status.State)
	}
	if err := s.checkpoints.save(t.status.Job, t.status.Member, t.progress(now)); err != nil {
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	s.finish(t, logservice.StateCheckpointed, "")
	return nil
}

// complete ends a task whose work is done.
func (s *Server) complete(id string) {
	s.lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok || !t.running() {
		return
	}
	if t.payload.Fail {
		s.finish(t, logservice.StateFailed, t.payload.reason())
		return
	}
	t.status.Answer = t.payload.answer(t.status.Job, t.run)
	s.finish(t, logservice.StateDone, "")
}

// finish ends a task if it runs.
func (s *Server) finish(t *task, state, reason string) {
	if !t.running() {
		return
	}
	t.end(state, reason)
	s.note(t.event(EventEnd))
	s.usage.add(s.config.Clock.Now(), s.occupied())
}

func (s *Server) lapse(t *task, expired time.Time) {
	t.end(logservice.StateLapsed, "lease lapsed")
	event := t.event(EventLapse)
	event.Expired = expired
	s.note(event)
	s.usage.add(s.config.Clock.Now(), s.occupied())
}

// lease takes or renews a lease.
func (s *Server) lease(id string, ttl time.Duration) {
	now := s.lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if ok {
		l.timer.Stop()
	} else {
		l = &lease{}
		s.leases[id] = l
	}
	l.expires = now.Add(ttl)
	l.timer = s.config.Clock.AfterFunc(ttl, s.sweep)
}

// list returns the tasks in order of their ids.
func (s *Server) list() []logservice.TaskStatus {
	s.lock()
	defer s.mu.Unlock()
	statuses := []logservice.TaskStatus{}
	for _, t := range s.tasks {
		statuses = append(statuses, t.status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}

func (s *Server) remove(id string) *refusal {
	s.lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok {
		return refuse(http.StatusNotFound, "unknown task")
	}
	if t.running() {
		return refuse(http.StatusPreconditionFailed, "task is running")
	}
	delete(s.tasks, id)
	return nil
}

// start starts a task or says why not.
func (s *Server) start(description logservice.Task) *refusal {
	now := s.lock()
	defer s.mu.Unlock()
	payload := parsePayload(description.Payload)
	refused := s.startRefusal(description)
	if refused != nil {
		t := newTask(description, payload, 0, now)
		event := t.event(EventRefusal)
		event.State = ""
		event.Reason = refused.reason
		s.note(event)
		return refused
	}
	done := time.Duration(0)
	if description.Resume {
		var err error
		if done, err = s.checkpoints.load(description.Job, description.Member); err != nil {
			return refuse(http.StatusServiceUnavailable, err.Error())
		}
	}
	if s.faults.Fail {
		payload = failedWorker()
	}
	s.run(newTask(description, payload, done, now), now)
	return nil
}

// run makes a task known and starts its work.
func (s *Server) run(t *task, now time.Time) {
	t.run = s.count(t.status.Job)
	s.tasks[t.status.ID] = t
	s.note(t.event(EventStart))
	s.usage.add(now, s.occupied())
	s.schedule(t, now)
}

func (s *Server) schedule(t *task, now time.Time) {
	id := t.status.ID
	t.timer = s.config.Clock.AfterFunc(t.remaining(now), func() { s.complete(id) })
}

// startRefusal returns why a task must not start, or nil.
func (s *Server) startRefusal(description logservice.Task) *refusal {
	_, live := s.leases[description.Lease]
	switch _, known := s.tasks[description.ID]; {
	case known:
		return refuse(http.StatusConflict, "task exists")
	case description.ID == "":
		return refuse(http.StatusBadRequest, "task without id")
	case !s.exists(description.Accelerators):
		return refuse(http.StatusBadRequest, "no such accelerators")
	case !live:
		return refuse(http.StatusPreconditionFailed, "lease is not live")
	case s.occupied().Accelerators&description.Accelerators != 0:
		return refuse(http.StatusLocked, "accelerators are in use")
	default:
		return nil
	}
}

func (s *Server) throttle(t *task, now time.Time) {
	if !t.running() {
		return
	}
	t.timer.Stop()
	t.throttle(now)
	s.schedule(t, now)
	s.note(t.event(EventThrottle))
}
