package jobstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

var (
	errRejected = errors.New("refused")
	errLost     = errors.New("response lost")
)

// fakeLog is a log in memory whose faults the tests choose.
type fakeLog struct {
	mu      sync.Mutex
	first   int64
	records [][]byte
	// appends and reads are consulted before each call; nil means no fault.
	appends func(data []byte) (keep bool, err error)
	reads   func() error
	calls   int
	grown   chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		grown: make(chan struct{}),
	}
}

func (l *fakeLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	keep, err := true, error(nil)
	if l.appends != nil {
		keep, err = l.appends(data)
	}
	if !keep {
		return 0, err
	}
	return l.add(data), err
}

func (l *fakeLog) Read(ctx context.Context, from int64, limit int, _ time.Duration) (
	int64, int64, []Record, error,
) {
	l.mu.Lock()
	grown, next, reads := l.grown, l.first+int64(len(l.records)), l.reads
	l.mu.Unlock()
	if reads != nil {
		if err := reads(); err != nil {
			return 0, 0, nil, err
		}
	}
	if from >= next {
		select {
		case <-ctx.Done():
		case <-grown:
		case <-time.After(20 * time.Millisecond): //nolint:forbidigo // the wait of a real log.
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for offset := max(from, l.first); offset < l.first+int64(len(l.records)) && len(records) < limit; offset++ {
		records = append(records, Record{Offset: offset, Data: l.records[offset-l.first]})
	}
	return l.first, l.first + int64(len(l.records)), records, ctx.Err()
}

func (l *fakeLog) add(data []byte) int64 {
	l.records = append(l.records, data)
	close(l.grown)
	l.grown = make(chan struct{})
	return l.first + int64(len(l.records)) - 1
}

func (l *fakeLog) fault(appends func([]byte) (bool, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends = appends
}

// process is a writer with its follower.
type process struct {
	jobs     *ledger.Ledger
	writer   *Writer
	follower *Follower
}

func startProcess(t *testing.T, log *fakeLog, clock clockwork.Clock, id string, queue int) process {
	t.Helper()
	p := process{
		jobs: ledger.New(),
	}
	p.writer = NewWriter(WriterConfig{
		Clock:    clock,
		ID:       id,
		Ledger:   p.jobs,
		Append:   log.Append,
		Rejected: func(err error) bool { return errors.Is(err, errRejected) },
		Queue:    queue,
	})
	p.follower = NewFollower(FollowerConfig{
		Clock:    clock,
		Ledger:   p.jobs,
		Read:     log.Read,
		Observe:  p.writer.Observe,
		Truncate: p.writer.Truncate,
	})
	run(t, p.writer.Run, p.follower.Run)
	return p
}

// run runs functions until the test ends.
func run(t *testing.T, functions ...func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, len(functions))
	for _, function := range functions {
		go func() { done <- function(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range functions {
			require.NoError(t, <-done)
		}
	})
}

func accept(id string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Accept{Accept: &peerpb.Accept{
		Job:   &peerpb.Job{Id: id},
		Owner: "e1",
	}}}
}

func submitContext(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// TestSubmitFaults guards against a submitter that is told a wrong outcome, or records that count twice, when single
// appends fail. The result must be one effective accept.
func TestSubmitFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []func([]byte) (bool, error)
	}{
		{name: "no fault"},
		{name: "append refused twice", faults: []func([]byte) (bool, error){refuse, refuse}},
		{name: "append lost", faults: []func([]byte) (bool, error){lose}},
		{name: "append lost, then refused", faults: []func([]byte) (bool, error){lose, refuse}},
		{name: "only the response lost", faults: []func([]byte) (bool, error){keep}},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFakeLog()
			faults := test.faults
			log.appends = func(data []byte) (bool, error) {
				if len(faults) == 0 {
					return true, nil
				}
				fault := faults[0]
				faults = faults[1:]
				return fault(data)
			}
			p := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
			result, err := p.writer.Submit(submitContext(t, time.Minute), accept("a"))
			require.NoError(t, err)
			require.True(t, result.Changes[0].Applied)
			require.Equal(t, int64(0), result.Offset)
			require.Len(t, p.jobs.Live("e1"), 1)
		})
	}
}

func refuse([]byte) (bool, error) { return false, errRejected }

func keep([]byte) (bool, error) { return true, errLost }

func lose([]byte) (bool, error) { return false, errLost }

// TestSubmitLateCopy guards against a delayed append that appears behind younger batches and takes effect again.
func TestSubmitLateCopy(t *testing.T) {
	log := newFakeLog()
	var delayed []byte
	log.appends = func(data []byte) (bool, error) {
		if delayed == nil {
			delayed = data
			return false, errLost
		}
		return true, nil
	}
	p := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
	first, err := p.writer.Submit(submitContext(t, time.Minute), claim("e1"))
	require.NoError(t, err)
	_, err = p.writer.Submit(submitContext(t, time.Minute), accept("a"))
	require.NoError(t, err)
	log.mu.Lock()
	late := log.add(delayed)
	log.mu.Unlock()
	require.Eventually(t, func() bool { return p.jobs.Next() == late+1 }, time.Minute, time.Millisecond)
	term, _ := p.jobs.Claim()
	require.Equal(t, first.Offset, term.GetOffset())
}

func claim(placer string) *peerpb.Record {
	return &peerpb.Record{Kind: &peerpb.Record_Claim{Claim: &peerpb.Claim{Placer: placer}}}
}

// TestSubmitGivesUp guards against "not appended" for records that may be in the log, and "unknown" for records that
// cannot be.
func TestSubmitGivesUp(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func([]byte) (bool, error)
		want  error
		live  int
	}{
		{name: "refused every time", fault: refuse, want: ErrNotAppended, live: 0},
		{name: "lost every time", fault: lose, want: ErrUnknown, live: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFakeLog()
			log.appends = test.fault
			clock := clockwork.NewFakeClock()
			p := startProcess(t, log, clock, "e1", 0)
			ctx, cancel := context.WithCancel(t.Context())
			ends := make(chan error, 1)
			submit := func(submitCtx context.Context, record *peerpb.Record) {
				_, err := p.writer.Submit(submitCtx, record)
				ends <- err
			}
			go submit(ctx, accept("a"))
			advance(t, clock, func() bool { return p.writer.Status().Err != nil })
			cancel()
			require.ErrorIs(t, <-ends, test.want)
			log.fault(nil)
			go submit(t.Context(), claim("e1"))
			advance(t, clock, func() bool { return len(ends) == 1 })
			require.NoError(t, <-ends)
			require.Len(t, p.jobs.Live(""), test.live)
		})
	}
}

// TestLogDown guards against a queue that grows without bound, a busy loop, and records that are lost or reordered
// while the log is down for a minute.
func TestLogDown(t *testing.T) {
	log := newFakeLog()
	log.appends = refuse
	clock := clockwork.NewFakeClock()
	p := startProcess(t, log, clock, "e1", 2)
	ends := make(chan error, 3)
	submit := func(id string) {
		_, err := p.writer.Submit(t.Context(), accept(id))
		ends <- err
	}
	go submit("a")
	advance(t, clock, func() bool { return log.appendCalls() >= 1 })
	go submit("b")
	go submit("c")
	require.Eventually(t, func() bool { return p.writer.Status().Queued == 2 }, time.Minute, time.Millisecond)
	_, err := p.writer.Submit(t.Context(), accept("d"))
	require.ErrorIs(t, err, ErrFull)
	require.ErrorIs(t, err, ErrNotAppended)
	began := clock.Now()
	advance(t, clock, func() bool { return clock.Since(began) >= time.Minute })
	require.Less(t, log.appendCalls(), 400)
	require.False(t, p.writer.Status().Available(clock.Now()))
	log.fault(nil)
	advance(t, clock, func() bool { return len(ends) == 3 })
	for range 3 {
		require.NoError(t, <-ends)
	}
	require.Len(t, p.jobs.Live(""), 3)
	require.True(t, p.writer.Status().Available(clock.Now()))
}

// advance moves a fake clock in small steps until a condition holds.
func advance(t *testing.T, clock *clockwork.FakeClock, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		if done() {
			return true
		}
		clock.Advance(50 * time.Millisecond)
		return false
	}, time.Minute, 200*time.Microsecond)
}

func (l *fakeLog) appendCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// TestBatching guards against one append per record, which the log's several hundred appends per second do not allow.
func TestBatching(t *testing.T) {
	log := newFakeLog()
	entered, release := make(chan struct{}, 2), make(chan struct{})
	log.appends = func([]byte) (bool, error) {
		entered <- struct{}{}
		<-release
		return true, nil
	}
	p := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
	ends := make(chan error, 101)
	submit := func(id string) {
		result, err := p.writer.Submit(t.Context(), accept(id))
		if err == nil && result.Changes[0].Job != id {
			err = errors.New("change of another record")
		}
		ends <- err
	}
	go submit("first")
	<-entered
	for i := range 100 {
		go submit(fmt.Sprint("job", i))
	}
	require.Eventually(t, func() bool { return p.writer.Status().Queued == 100 }, time.Minute, time.Millisecond)
	close(release)
	for range 101 {
		require.NoError(t, <-ends)
	}
	require.Equal(t, 2, log.appendCalls())
}

// TestCarryReachesNewReader guards against carries that a reader cannot use when everything before them is truncated,
// whether the carrying process has written before or not, and against carries of jobs that are not live.
func TestCarryReachesNewReader(t *testing.T) {
	log := newFakeLog()
	owner := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
	_, err := owner.writer.Submit(t.Context(), accept("a"), accept("b"))
	require.NoError(t, err)
	for i, p := range []process{owner, startProcess(t, log, clockwork.NewRealClock(), "e2", 0)} {
		require.NoError(t, p.follower.WaitCurrent(t.Context(), clockwork.NewRealClock().Now()))
		log.truncate()
		changes, carryErr := p.writer.Carry(t.Context(), "a", "ended", "b")
		require.NoError(t, carryErr)
		require.Len(t, changes, 2)
		reader := startProcess(t, log, clockwork.NewRealClock(), fmt.Sprint("reader", i), 0)
		require.NoError(t, reader.follower.WaitCurrent(t.Context(), clockwork.NewRealClock().Now()))
		require.Len(t, reader.jobs.Live("e1"), 2)
		require.Positive(t, reader.follower.Status().Skipped)
	}
	_, err = owner.writer.Submit(t.Context(), owner.jobs.Carry("a"))
	require.ErrorIs(t, err, ErrNotAppended)
}

// truncate drops every record.
func (l *fakeLog) truncate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first += int64(len(l.records))
	l.records = nil
}
