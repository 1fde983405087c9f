package workerserver

import (
	"errors"
	"fmt"
	"io"
	"math/bits"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/logservice"
)

// maxAccelerators is the width of the bit set.
const maxAccelerators = 64

// Config configures a Server.
type Config struct {
	// Clock times leases, work and the record.
	Clock        clockwork.Clock
	Logger       hclog.Logger
	ID           string
	Zone         string
	Rack         string
	Accelerators int
	Cores        int
	// Memory is in bytes.
	Memory int64
	// Slots is how many requests run at the same time.
	Slots int
	// Lag is the delay with which usage is reported.
	Lag time.Duration
	// Checkpoints is a directory for checkpoints that several workers share; empty keeps them in memory.
	Checkpoints string
	// Record receives a copy of every event at once, as a JSON line.
	Record io.Writer
}

// Server is a worker and a backend server.
type Server struct {
	config      Config
	mu          sync.Mutex
	checkpoints *checkpoints
	faults      Faults
	leases      map[string]*lease
	record      *record
	requests    map[string]*request
	// runs counts how often each job's tasks and requests ran here.
	runs  map[string]int
	tasks map[string]*task
	usage *usage
}

// New returns a Server.
func New(config Config) (*Server, error) {
	if config.Accelerators < 0 || config.Accelerators > maxAccelerators {
		return nil, fmt.Errorf("accelerators %d: not between 0 and %d", config.Accelerators, maxAccelerators)
	}
	if config.ID == "" {
		return nil, errors.New("worker without id")
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Server{
		config:      config,
		checkpoints: newCheckpoints(config.Checkpoints),
		leases:      map[string]*lease{},
		record: &record{
			sink: config.Record,
		},
		requests: map[string]*request{},
		runs:     map[string]int{},
		tasks:    map[string]*task{},
		usage: &usage{
			delay: config.Lag,
		},
	}, nil
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/faults", s.handleFaults).Methods(http.MethodPut)
	router.HandleFunc("/faults", s.handleListFaults).Methods(http.MethodGet)
	router.HandleFunc("/record", s.handleRecord).Methods(http.MethodGet)
	calls := router.NewRoute().Subrouter()
	calls.Use(s.withFaults)
	calls.HandleFunc("/worker", s.handleDescribe).Methods(http.MethodGet)
	calls.HandleFunc("/leases/{id}", s.handleLease).Methods(http.MethodPut)
	calls.HandleFunc("/tasks", s.handleStart).Methods(http.MethodPost)
	calls.HandleFunc("/tasks", s.handleTasks).Methods(http.MethodGet)
	calls.HandleFunc("/tasks/{id}", s.handleRemove).Methods(http.MethodDelete)
	calls.HandleFunc("/tasks/{id}/{action}", s.handleAction).Methods(http.MethodPost)
	calls.HandleFunc("/requests", s.handleServe).Methods(http.MethodPost)
	calls.HandleFunc("/requests", s.handleRequests).Methods(http.MethodGet)
	calls.HandleFunc("/requests/{id}", s.handleForget).Methods(http.MethodDelete)
	calls.HandleFunc("/health", s.handleHealth).Methods(http.MethodGet)
	return router
}

// count numbers a run of a job that begins.
func (s *Server) count(job string) int {
	s.runs[job]++
	return s.runs[job]
}

// expire ends the tasks whose leases have lapsed. Every access calls it first, so that a lapsed lease counts as
// lapsed even when the process was paused and its timers are late.
func (s *Server) expire(now time.Time) {
	for id, l := range s.leases {
		if l.live(now) {
			continue
		}
		delete(s.leases, id)
		for _, t := range s.tasks {
			if t.status.Lease == id && t.running() {
				s.lapse(t, l.expires)
			}
		}
	}
}

// lock takes the mutex, applies what is due, and returns the time.
func (s *Server) lock() time.Time {
	s.mu.Lock()
	now := s.config.Clock.Now()
	s.expire(now)
	return now
}

// note records an event.
func (s *Server) note(event Event) {
	event.Time = s.config.Clock.Now()
	event.Worker = s.config.ID
	event.Zone = s.config.Zone
	if err := s.record.add(event); err != nil {
		s.config.Logger.Error("record event", "error", err)
	}
	s.config.Logger.Debug(event.Event, "kind", event.Kind, "id", event.ID, "state", event.State, "reason", event.Reason)
}

// occupied is what the running tasks use.
func (s *Server) occupied() logservice.Usage {
	total := logservice.Usage{}
	for _, t := range s.tasks {
		if !t.running() {
			continue
		}
		total.Accelerators |= t.status.Accelerators
		total.Cores += t.status.Cores
		total.Memory += t.status.Memory
	}
	return total
}

// sweep is the timers' way to end what has lapsed.
func (s *Server) sweep() {
	s.lock()
	s.mu.Unlock()
}

// exists reports whether the worker has all accelerators of the bit set.
func (s *Server) exists(accelerators uint64) bool {
	return bits.Len64(accelerators) <= s.config.Accelerators
}
