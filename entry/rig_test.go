package entry

import (
	"context"
	"errors"
	"hash/crc32"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

const testText = `[service]
name = quote-desk

[zone "curepipe"]
state = in
drain = finish

[workspace "weddings"]
share = 40
guarantee = 2x8@zone
token = sha256:6b86b273ff34fce19d6b804eff5a3f5747ada4eaa22f1d49c01e52ddb7875b4b
`

// untilLimit is the real time after which a test gives up; the slowest condition takes 2 s.
const untilLimit = 10 * time.Second

var errNoResponse = errors.New("no response")

// memoryLog is a log service whose calls the tests can refuse, lose or block.
type memoryLog struct {
	clock clockwork.Clock

	mu      sync.Mutex
	records map[string][][]byte
	grown   chan struct{}
	// first is the offset of the oldest record that is kept.
	first int64
	// refuse rejects appends, lose drops their responses, drop loses the appends too, and blind fails reads.
	refuse, lose, drop, blind bool
}

func newMemoryLog(clock clockwork.Clock) *memoryLog {
	return &memoryLog{
		clock:   clock,
		records: map[string][][]byte{},
		grown:   make(chan struct{}),
	}
}

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse {
		return 0, logservice.ErrRejected
	}
	if l.drop {
		return 0, errNoResponse
	}
	l.records[stream] = append(l.records[stream], slices.Clone(data))
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose {
		return 0, errNoResponse
	}
	return int64(len(l.records[stream]) - 1), nil
}

func (l *memoryLog) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Page, error) {
	timeout := l.clock.After(wait)
	for {
		l.mu.Lock()
		all, first, grown, blind := l.records[stream], l.first, l.grown, l.blind
		l.mu.Unlock()
		if blind {
			return logservice.Page{}, errNoResponse
		}
		if from < int64(len(all)) {
			return page(all, first, from, limit), nil
		}
		select {
		case <-grown:
		case <-timeout:
			return page(all, first, from, limit), nil
		case <-ctx.Done():
			return logservice.Page{}, ctx.Err()
		}
	}
}

func page(all [][]byte, first, from int64, limit int) logservice.Page {
	result := logservice.Page{First: first, Next: int64(len(all))}
	for at := max(from, first); at < result.Next && len(result.Records) < limit; at++ {
		result.Records = append(result.Records, logservice.Record{Offset: at, Data: all[at]})
	}
	return result
}

func (l *memoryLog) set(change func(l *memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// fakeAgent answers the calls of an entry as a test says.
type fakeAgent struct {
	address string
	// silent agents do not announce themselves.
	silent bool
	answer func(request *peerpb.Request) *peerpb.Reply

	mu       sync.Mutex
	announce *peerpb.Announce
	calls    []*peerpb.Request
	conns    []net.Conn
}

func (a *fakeAgent) Accept(inner net.Listener) (net.Conn, error) {
	conn, err := inner.Accept()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.conns = append(a.conns, conn)
	}
	return conn, err
}

type trackedListener struct {
	net.Listener
	agent *fakeAgent
}

func (l trackedListener) Accept() (net.Conn, error) { return l.agent.Accept(l.Listener) }

// lose closes all connections, so that the current call gets no answer.
func (a *fakeAgent) lose() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
	a.conns = nil
}

func (a *fakeAgent) handle(_ context.Context, request *peerpb.Request) *peerpb.Reply {
	a.mu.Lock()
	a.calls = append(a.calls, request)
	answer := a.answer
	a.mu.Unlock()
	if answer != nil {
		if reply := answer(request); reply != nil {
			return reply
		}
	}
	return &peerpb.Reply{Kind: &peerpb.Reply_Verdict{Verdict: &peerpb.Verdict{Ok: true}}}
}

// update changes what the agent announces.
func (a *fakeAgent) update(change func(announce *peerpb.Announce)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := proto.Clone(a.announce).(*peerpb.Announce)
	change(next)
	a.announce = next
}

// count returns how many calls a filter selects.
func (a *fakeAgent) count(filter func(request *peerpb.Request) bool) int {
	return len(a.selected(filter))
}

// selected returns the calls that a filter selects.
func (a *fakeAgent) selected(filter func(request *peerpb.Request) bool) []*peerpb.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	var selected []*peerpb.Request
	for _, call := range a.calls {
		if filter(call) {
			selected = append(selected, call)
		}
	}
	return selected
}

// setSilent stops or resumes the agent's announcements.
func (a *fakeAgent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

func isServe(request *peerpb.Request) bool { return request.GetServe() != nil }
func isQuery(request *peerpb.Request) bool { return request.GetQuery() != nil }
func isStart(request *peerpb.Request) bool { return request.GetStart() != nil }
func isHold(request *peerpb.Request) bool  { return request.GetHold() != nil }

// rig is an entry with a fake clock, a memory log and fake agents; its periodic work does not run. Only the test's own
// goroutine moves the clock.
type rig struct {
	t      *testing.T
	ctx    context.Context
	clock  *clockwork.FakeClock
	log    *memoryLog
	entry  *Entry
	agents []*fakeAgent
}

func newRig(t *testing.T) *rig {
	t.Helper()
	t.Parallel()
	clock := clockwork.NewFakeClockAt(time.Unix(1000000, 0))
	r := &rig{
		t:     t,
		clock: clock,
		log:   newMemoryLog(clock),
	}
	pool := peer.NewPool(peer.PoolConfig{Clock: clock})
	r.entry = New(Config{ID: "self", Address: "127.0.0.1:1", Zone: "curepipe", Clock: clock, Pool: pool, Log: r.log})
	r.entry.documents.offer(&peerpb.Document{Revision: 1, Text: testText})
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx = ctx
	running := newGroup()
	running.spawn(ctx, "jobs", r.entry.jobs.run)
	running.spawn(ctx, "owner", r.entry.owner.run)
	running.spawn(ctx, "placer", r.entry.placer.run)
	t.Cleanup(func() {
		cancel()
		r.entry.stop()
		pool.Close()
		require.NoError(t, running.wait(r.entry.stop))
	})
	r.until("the job stream is read", r.entry.jobs.isCaughtUp)
	return r
}

// agent starts a fake agent.
func (r *rig) agent(id string, answer func(request *peerpb.Request) *peerpb.Reply) *fakeAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	a := &fakeAgent{address: listener.Addr().String(), answer: answer}
	a.announce = &peerpb.Announce{
		Agent: id, Address: a.address, Boot: "first", Full: true,
		Worker: &peerpb.WorkerInfo{
			Id: id, Zone: "curepipe", Rack: "r1", Accelerators: 8, Cores: 16, MemoryBytes: 1 << 34, Slots: 4,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := peer.NewServer(peer.ServerConfig{Handle: a.handle})
	go func() { done <- server.Serve(ctx, trackedListener{Listener: listener, agent: a}) }()
	r.t.Cleanup(func() {
		cancel()
		a.lose()
		require.NoError(r.t, <-done)
	})
	r.agents = append(r.agents, a)
	r.step(0)
	return a
}

// step moves the clock and lets the agents announce themselves.
func (r *rig) step(d time.Duration) {
	r.clock.Advance(d)
	for _, a := range r.agents {
		a.mu.Lock()
		announce, silent := a.announce, a.silent
		a.mu.Unlock()
		if !silent {
			r.entry.fleet.announce(r.clock.Now(), announce)
		}
	}
}

// until moves the clock, ten times as fast as real time, until a condition holds.
func (r *rig) until(what string, condition func() bool) {
	r.t.Helper()
	real := clockwork.NewRealClock()
	for limit := real.Now().Add(untilLimit); real.Now().Before(limit); real.Sleep(time.Millisecond) {
		if condition() {
			return
		}
		r.step(10 * time.Millisecond)
	}
	require.Fail(r.t, "timeout", what)
}

// pass moves the clock by some time while others work.
func (r *rig) pass(d time.Duration) {
	end := r.clock.Now().Add(d)
	r.until("time passes", func() bool { return r.clock.Now().After(end) })
}

// record writes records to the job stream and waits until they are read.
func (r *rig) record(records ...*peerpb.Record) {
	r.t.Helper()
	data, err := proto.Marshal(&peerpb.Batch{Writer: "test", Sequence: uint64(r.clock.Now().UnixNano()), Records: records})
	require.NoError(r.t, err)
	offset, err := r.log.Append(r.ctx, jobStream, data)
	require.NoError(r.t, err)
	r.until("the record is read", func() bool { return r.entry.jobs.follower.Status().Next > offset })
	r.step(time.Millisecond)
}

func (r *rig) accept(job *peerpb.Job, owner string) {
	r.record(&peerpb.Record{Kind: &peerpb.Record_Accept{Accept: &peerpb.Accept{Job: job, Owner: owner}}})
}

// claim makes an entry the placer.
func (r *rig) claim(placer string) {
	r.record(&peerpb.Record{Kind: &peerpb.Record_Claim{Claim: &peerpb.Claim{Placer: placer}}})
}

func (r *rig) state() ledger.State {
	state, _ := r.entry.jobs.state("j")
	return state
}

// outcome waits for the end of job j in the log.
func (r *rig) outcome() *peerpb.End {
	r.t.Helper()
	r.until("the job ends", func() bool { return r.state().End != nil })
	return r.state().End
}

func testJob(change func(job *peerpb.Job)) *peerpb.Job {
	job := &peerpb.Job{
		Id: "j", Workspace: "weddings", Members: 1, Cores: 1, MemoryBytes: 1 << 20, Declared: durationpb.New(time.Second),
	}
	if change != nil {
		change(job)
	}
	return job
}

func answerOf(job, body string) *peerpb.Answer {
	return &peerpb.Answer{
		Job: job, Length: int64(len(body)), Body: []byte(body),
		Crc32C: crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli)),
	}
}

func serveReply(reply *peerpb.ServeReply) *peerpb.Reply {
	return &peerpb.Reply{Kind: &peerpb.Reply_Serve{Serve: reply}}
}

func queryReply(reply *peerpb.QueryReply) *peerpb.Reply {
	return &peerpb.Reply{Kind: &peerpb.Reply_Query{Query: reply}}
}
