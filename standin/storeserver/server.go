package storeserver

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/cell"
)

// operationsTopic is the topic that the operators write.
const operationsTopic = "keyed.op"

// newestPageSize is the maximum number of records on a page of the newest records.
const newestPageSize = 500

// Fault is a fault that an Endpoint injects.
type Fault int

// Faults.
const (
	// FaultNone handles requests normally.
	FaultNone Fault = iota
	// FaultUnavailable responds with 503 without executing the request.
	FaultUnavailable
	// FaultUnresponsive neither executes the request nor responds.
	FaultUnresponsive
	// FaultDropResponse executes the request but doesn't respond.
	FaultDropResponse
	// FaultReset closes the connection without executing the request.
	FaultReset
	// FaultReadOnly responds to appends with 503 and handles reads normally.
	FaultReadOnly
)

// Server is an in-memory store.
type Server struct {
	clock      clockwork.Clock
	mu         sync.Mutex
	partitions map[string]*partition
}

// New returns an empty store.
func New(clock clockwork.Clock) *Server {
	return &Server{
		clock:      clock,
		partitions: map[string]*partition{},
	}
}

// Endpoint returns a new HTTP handler for the store.
func (s *Server) Endpoint() *Endpoint {
	e := &Endpoint{
		server: s,
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/log-append", e.append).Methods(http.MethodPost)
	router.HandleFunc("/v1/log-read", e.read).Methods(http.MethodGet)
	router.HandleFunc("/v1/log-newest", e.newest).Methods(http.MethodGet)
	e.router = router
	return e
}

// Compact drops all records of a topic except the newest one of each key.
func (s *Server) Compact(topic string) {
	s.partition(topic).compact()
}

// CompactAll drops all records of every topic except the newest one of each key.
func (s *Server) CompactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		p.compact()
	}
}

// Operations returns the newest record of each key of the operators' log.
func (s *Server) Operations() []cell.LogRecord {
	p := s.partition(operationsTopic)
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]cell.LogRecord, 0, len(p.newestRecords))
	for _, key := range slices.Sorted(maps.Keys(p.newestRecords)) {
		records = append(records, cell.LogRecord{
			Key:    key,
			Value:  p.newestRecords[key].value,
			Offset: p.newest[key],
		})
	}
	return records
}

// AppendOperation appends a record to the operators' log.
func (s *Server) AppendOperation(key string, value []byte) {
	s.Append(operationsTopic, key, value)
}

// Append appends a record directly, without an Endpoint.
func (s *Server) Append(topic, key string, value []byte) {
	encoded := []byte{byte(len(key))}
	encoded = append(append(encoded, key...), value...)
	s.partition(topic).append([]record{newRecord(encoded)}, -1, "", 0, 0)
}

func (s *Server) partition(topic string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.partitions[topic]
	if !ok {
		p = newPartition()
		s.partitions[topic] = p
	}
	return p
}

// Endpoint is an HTTP handler for the store that injects faults.
type Endpoint struct {
	server *Server
	router http.Handler
	mu     sync.Mutex
	fault  Fault
	delay  time.Duration
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, delay := e.currentFault()
	if fault == FaultReadOnly {
		fault = FaultNone
		if r.Method == http.MethodPost {
			fault = FaultUnavailable
		}
	}
	if delay > 0 {
		<-e.server.clock.After(delay)
	}
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultUnresponsive:
		// net/http detects that the client has disconnected only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case FaultDropResponse:
		e.router.ServeHTTP(discardResponseWriter{}, r)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		e.router.ServeHTTP(w, r)
	}
}

// SetFault sets the fault and the delay of all further requests.
func (e *Endpoint) SetFault(fault Fault, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
	e.delay = delay
}

func (e *Endpoint) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	records, ok := parseRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	expectedEnd := int64(-1)
	if query.Has("at") {
		expectedEnd = parseNumber(query.Get("at"))
	}
	result := e.server.partition(query.Get("topic")).append(records, expectedEnd, query.Get("producer"),
		parseNumber(query.Get("epoch")), parseNumber(query.Get("seq")))
	writeJSON(w, result.status, map[string]any{
		"offset": result.offset,
		"end":    result.end,
		"reason": result.reason,
		"seq":    result.seq,
	})
}

func (e *Endpoint) currentFault() (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault, e.delay
}

func (e *Endpoint) newest(w http.ResponseWriter, r *http.Request) {
	p := e.server.partition(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := make([]string, 0, len(p.newestRecords))
	for key := range p.newestRecords {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	hasMore := len(keys) > newestPageSize
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), newestPageSize)] {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString(p.newestRecords[key].value),
			"offset": p.newest[key],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items":   items,
		"hasMore": hasMore,
		"end":     p.end(),
	})
}

func (e *Endpoint) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := parseNumber(query.Get("from"))
	p := e.server.partition(query.Get("topic"))
	timeout := e.server.clock.After(time.Duration(parseNumber(query.Get("waitMs"))) * time.Millisecond)
	for {
		body, end, firstOffset, appended, retained := p.read(from)
		if !retained {
			writeJSON(w, http.StatusGone, map[string]any{"first": firstOffset})
			return
		}
		if len(body) > 0 {
			writeRecords(w, body, end, firstOffset)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeRecords(w, nil, end, firstOffset)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newRecord decodes a record without its length prefix.
func newRecord(encoded []byte) record {
	r := record{
		encoded: append(binary.BigEndian.AppendUint32(nil, uint32(len(encoded))), encoded...),
	}
	if len(encoded) > 0 && int(encoded[0]) < len(encoded) {
		r.key = string(encoded[1 : 1+int(encoded[0])])
		r.value = encoded[1+int(encoded[0]):]
	}
	return r
}

// parseNumber parses a decimal number; invalid text yields 0.
func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// parseRecords decodes the body of an append, and reports whether it is complete.
func parseRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			return nil, false
		}
		records = append(records, newRecord(body[4:4+size]))
		body = body[4+size:]
	}
	return records, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// writeRecords writes the response to a read: the end offset, the first retained offset and the records.
func writeRecords(w http.ResponseWriter, body []byte, end, firstOffset int64) {
	header := binary.BigEndian.AppendUint64(nil, uint64(end))
	header = binary.BigEndian.AppendUint64(header, uint64(firstOffset))
	_, _ = w.Write(append(header, body...))
}

// discardResponseWriter is an http.ResponseWriter that discards the response.
type discardResponseWriter struct{}

// Header implements http.ResponseWriter.
func (discardResponseWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponseWriter) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponseWriter) WriteHeader(int) {}
