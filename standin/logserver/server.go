package logserver

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/rest"
)

const (
	// defaultRate is the "several hundred appends per second" of docs/design.md section 1.
	defaultRate = 400
	// burstShare of a second's appends may arrive at once.
	burstShare     = 4
	defaultLimit   = 1000
	maxRecordBytes = 16 << 20
	maxWait        = time.Minute
)

// Config configures a Server.
type Config struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Rate limits the appends per second over all streams; 0 means 400.
	Rate int
	// Retention is the age at which records are dropped; 0 keeps them.
	Retention time.Duration
	// Keep is the number of records that each stream retains; 0 means all.
	Keep int
}

// Server is a log service.
type Server struct {
	config  Config
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	streams map[string]*stream
}

// New returns a Server without streams; a stream is created by its first use.
func New(config Config) *Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Rate == 0 {
		config.Rate = defaultRate
	}
	return &Server{
		config:  config,
		limiter: newLimiter(config.Rate),
		streams: map[string]*stream{},
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	records := router.Path("/streams/{name}/records").Subrouter()
	records.Use(s.withFaults)
	records.Methods(http.MethodPost).HandlerFunc(s.handleAppend)
	records.Methods(http.MethodGet).HandlerFunc(s.handleRead)
	router.HandleFunc("/faults", s.handleFaults).Methods(http.MethodPut)
	router.HandleFunc("/faults", s.handleListFaults).Methods(http.MethodGet)
	return router
}

// admit reports whether the limit on appends leaves room for one more.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.AllowN(s.config.Clock.Now(), 1)
}

// append adds a record and reports whether its answer is to be lost.
func (s *Server) append(name string, data []byte) (offset int64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = s.stream(name).append(s.config.Clock.Now(), data)
	s.retain()
	lost = s.faults.Lost != 0
	if s.faults.Lost > 0 {
		s.faults.Lost--
	}
	return offset, lost
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record not read", http.StatusBadRequest)
		return
	}
	if !s.admit() {
		http.Error(w, "too many appends", http.StatusServiceUnavailable)
		return
	}
	s.delay(s.currentFaults().Appends)
	offset, lost := s.append(rest.Variable(r, "name"), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	rest.Answer(w, struct {
		Offset int64 `json:"offset"`
	}{
		Offset: offset,
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
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleListFaults(w http.ResponseWriter, _ *http.Request) {
	rest.Answer(w, s.currentFaults())
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delay(s.currentFaults().Reads)
	s.await(r, query)
	if s.refuse(w) {
		return
	}
	rest.Answer(w, s.page(query))
}

// await returns when the stream has a record at the offset, the wait is over, the reader is gone or the service has
// become unavailable.
func (s *Server) await(r *http.Request, query readQuery) {
	timer := s.config.Clock.NewTimer(query.wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		stream := s.stream(query.name)
		ready := stream.next() > query.from || s.faults.Unavailable != ""
		changed := stream.changed
		s.mu.Unlock()
		if ready || query.wait <= 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) delay(d rest.Duration) {
	if d > 0 {
		<-s.config.Clock.After(time.Duration(d))
	}
}

func (s *Server) page(query readQuery) logservice.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retain()
	return s.stream(query.name).page(query.from, query.limit)
}

// refuse ends the request if the service is unavailable.
func (s *Server) refuse(w http.ResponseWriter) bool {
	switch s.currentFaults().Unavailable {
	case unavailableClose:
		panic(http.ErrAbortHandler)
	case unavailableRefuse:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return true
	default:
		return false
	}
}

func (s *Server) retain() {
	age := s.config.Retention
	if s.faults.Retention != 0 {
		age = time.Duration(s.faults.Retention)
	}
	keep := s.config.Keep
	if s.faults.Keep != 0 {
		keep = s.faults.Keep
	}
	now := s.config.Clock.Now()
	for _, stream := range s.streams {
		stream.retain(now, age, keep)
	}
}

func (s *Server) setFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, before := range faults.Truncate {
		s.stream(name).truncate(before)
	}
	faults.Truncate = nil
	perSecond := s.config.Rate
	if faults.Rate != 0 {
		perSecond = faults.Rate
	}
	s.limiter = newLimiter(perSecond)
	s.faults = faults
	for _, stream := range s.streams {
		stream.notify()
	}
}

func (s *Server) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = newStream()
		s.streams[name] = found
	}
	return found
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuse(w) {
			return
		}
		if s.currentFaults().Hang {
			// Without reading the body the server does not notice that the client is gone.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstShare))
}
