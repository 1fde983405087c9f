package agent

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	entryAddress = "entry"
	ownerAddress = "owner"
)

var (
	errRejected = errors.New("rejected")
	errLost     = errors.New("connection lost")
)

// inBubble runs a test in a synctest bubble on one thread. With more, the race detector of Go 1.26 crashes now and
// then ("tsan_rtl.cpp: CHECK failed") in tests with many timers.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	threads := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(threads)
	synctest.Test(t, test)
}

// system is a set of agents with their workers and backend servers, and one entry, in one synctest bubble, where time
// passes only while all goroutines wait.
type system struct {
	t      *testing.T
	clock  clockwork.Clock
	mu     sync.Mutex
	agents map[string]*Agent
	cut    map[string]bool
	// announced answers heartbeats.
	announced func(*peerpb.Announce) *peerpb.AnnounceReply
	announces []*peerpb.Announce
	// delay is the time that a call to an entry takes.
	delay time.Duration
	// reported answers reports.
	reported func(string, *peerpb.Report) *peerpb.ReportReply
	reports  []*peerpb.Report
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return &system{
		t:      t,
		clock:  clockwork.NewRealClock(),
		agents: map[string]*Agent{},
		cut:    map[string]bool{},
		announced: func(*peerpb.Announce) *peerpb.AnnounceReply {
			return confirmation(1, "in", 0)
		},
		reported: func(string, *peerpb.Report) *peerpb.ReportReply {
			return &peerpb.ReportReply{
				Accepted: true,
			}
		},
	}
}

func confirmation(revision int64, text string, age time.Duration) *peerpb.AnnounceReply {
	return &peerpb.AnnounceReply{
		Document: &peerpb.Document{
			Revision: revision,
			Text:     text,
		},
		Confirmed: true,
		Age:       durationpb.New(age),
		Term: &peerpb.Term{
			Offset: 1,
		},
	}
}

// source is one agent's way to the others.
type source struct {
	*system
	id string
}

// Call delivers a request without a network. A call to or from a cut address gets no reply.
func (s source) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Reply, error) {
	s.mu.Lock()
	a, cut, delay := s.agents[address], s.cut[address] || s.cut[s.id], s.delay
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if a != nil {
		return a.handle(ctx, request), nil
	}
	if address != entryAddress && address != ownerAddress {
		return nil, peer.ErrNotSent
	}
	s.clock.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if report := request.GetReport(); report != nil {
		s.reports = append(s.reports, report)
		return &peerpb.Reply{
			Kind: &peerpb.Reply_Report{
				Report: s.reported(address, report),
			},
		}, nil
	}
	s.announces = append(s.announces, request.GetAnnounce())
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Announce{
			Announce: s.announced(request.GetAnnounce()),
		},
	}, nil
}

// Forget does nothing: there are no connections.
func (s source) Forget(string) {}

// start runs an agent until the returned function is called.
func (s *system) start(id string, worker *fakeWorker, backend *fakeBackend) (a *Agent, stop func()) {
	s.t.Helper()
	a = New(Config{
		ID:      id,
		Address: id,
		Zone:    "curepipe",
		Entries: []string{entryAddress},
		Clock:   s.clock,
		Worker:  worker.port(),
		Backend: backend.port(),
		Peers: source{
			system: s,
			id:     id,
		},
		Parse: func(text string) (func(string) bool, error) {
			if text == "broken" {
				return nil, errors.New("line 1: broken")
			}
			return func(string) bool { return text == "in" }, nil
		},
		Listen: func(context.Context, string, string) (net.Listener, error) {
			return &idleListener{
				closed: make(chan struct{}),
			}, nil
		},
		Advertise: id,
	})
	s.mu.Lock()
	s.agents[id] = a
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	synctest.Wait()
	return a, func() {
		cancel()
		require.NoError(s.t, <-done)
	}
}

func (s *system) setAnnounced(f func(*peerpb.Announce) *peerpb.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = f
}

func (s *system) setCut(address string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[address] = cut
}

func (s *system) lastAnnounce() *peerpb.Announce {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announces[len(s.announces)-1]
}

func (s *system) reportsOf(job string) []*peerpb.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*peerpb.Report
	for _, report := range s.reports {
		if report.GetJob() == job {
			found = append(found, report)
		}
	}
	return found
}

// idleListener accepts nothing.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

func (l *idleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// fakeWorker runs tasks until told to end them, or until their lease lapses.
type fakeWorker struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	down   bool
	leases map[string]time.Time
	tasks  map[string]*TaskStatus
	starts int
	// beforeStart and afterStart run in Start before the lease is looked at and after the task was started.
	beforeStart func()
	afterStart  func() error
}

func newFakeWorker(s *system) *fakeWorker {
	return &fakeWorker{
		clock:       s.clock,
		leases:      map[string]time.Time{},
		tasks:       map[string]*TaskStatus{},
		beforeStart: func() {},
		afterStart:  func() error { return nil },
	}
}

func (w *fakeWorker) port() WorkerPort {
	return WorkerPort{
		Describe: func(context.Context) (*peerpb.WorkerInfo, error) {
			return &peerpb.WorkerInfo{
				Zone:         "curepipe",
				Accelerators: 8,
				Cores:        100,
				MemoryBytes:  1 << 40,
			}, nil
		},
		Lease:      w.lease,
		Start:      w.start,
		Tasks:      w.list,
		Checkpoint: func(_ context.Context, id string) error { return w.finish(id, StateCheckpointed, "") },
		Stop:       func(_ context.Context, id string) error { return w.finish(id, StateStopped, "") },
		Remove:     w.remove,
		Rejected:   errRejected,
	}
}

func (w *fakeWorker) finish(id, state, answer string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	status, ok := w.tasks[id]
	if !ok || status.State != StateRunning {
		return errRejected
	}
	status.State = state
	status.Answer = []byte(answer)
	return nil
}

func (w *fakeWorker) lapse() {
	for _, status := range w.tasks {
		if status.State == StateRunning && !w.clock.Now().Before(w.leases[status.Lease]) {
			status.State = StateLapsed
		}
	}
}

func (w *fakeWorker) lease(_ context.Context, id string, ttl time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return errLost
	}
	w.lapse()
	w.leases[id] = w.clock.Now().Add(ttl)
	return nil
}

func (w *fakeWorker) list(context.Context) ([]TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errLost
	}
	w.lapse()
	var all []TaskStatus
	for _, status := range w.tasks {
		all = append(all, *status)
	}
	return all, nil
}

func (w *fakeWorker) remove(_ context.Context, id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, id)
	return nil
}

func (w *fakeWorker) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *fakeWorker) start(_ context.Context, task Task) error {
	w.beforeStart()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.clock.Now().Before(w.leases[task.Lease]) {
		return errRejected
	}
	w.starts++
	w.tasks[task.ID] = &TaskStatus{
		Task:  task,
		State: StateRunning,
	}
	return w.afterStart()
}

func (w *fakeWorker) state(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if status, ok := w.tasks[id]; ok {
		return status.State
	}
	return ""
}

// fakeBackend runs requests for a second and answers with the payload.
type fakeBackend struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	leaving  bool
	requests map[string]*RequestStatus
	runs     map[string]int
	running  int
	most     int
	// lose makes Serve return this error although the request runs; reject makes it run nothing.
	lose   error
	reject error
}

func newFakeBackend(s *system) *fakeBackend {
	return &fakeBackend{
		clock:    s.clock,
		requests: map[string]*RequestStatus{},
		runs:     map[string]int{},
	}
}

func (b *fakeBackend) port() BackendPort {
	return BackendPort{
		Serve:    b.serve,
		Requests: b.list,
		Forget: func(_ context.Context, id string) error {
			b.mu.Lock()
			defer b.mu.Unlock()
			delete(b.requests, id)
			return nil
		},
		Leaving: func(context.Context) (bool, error) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.leaving, nil
		},
		Rejected: errRejected,
	}
}

func (b *fakeBackend) list(context.Context) ([]RequestStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []RequestStatus
	for _, status := range b.requests {
		all = append(all, *status)
	}
	return all, nil
}

func (b *fakeBackend) run(request Request) Answer {
	b.mu.Lock()
	b.runs[request.Job]++
	b.running++
	b.most = max(b.most, b.running)
	status := &RequestStatus{
		Request: request,
		State:   StateRunning,
	}
	b.requests[request.ID] = status
	b.mu.Unlock()
	b.clock.Sleep(time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	status.State = StateDone
	status.Answer.Body = request.Payload
	return status.Answer
}

func (b *fakeBackend) serve(_ context.Context, request Request) (Answer, error) {
	b.mu.Lock()
	lose, reject := b.lose, b.reject
	b.mu.Unlock()
	if reject != nil {
		return Answer{}, reject
	}
	if lose != nil {
		go b.run(request)
		return Answer{}, lose
	}
	return b.run(request), nil
}

func (b *fakeBackend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *fakeBackend) ran(job string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[job]
}
