package jobstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

func startFollower(t *testing.T, clock clockwork.Clock, read ReadFunc) *Follower {
	t.Helper()
	follower := NewFollower(FollowerConfig{
		Clock:  clock,
		Ledger: ledger.New(),
		Read:   read,
	})
	run(t, follower.Run)
	return follower
}

// TestStatusOfSlowReads guards against an entry that confirms the newest state although its reads hang, are slow or
// fail, and against one that stays unavailable when reads are quick again.
func TestStatusOfSlowReads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	calls := make(chan chan error)
	follower := startFollower(t, clock, func(ctx context.Context, from int64, _ int, _ time.Duration) (
		int64, int64, []Record, error,
	) {
		end := make(chan error)
		select {
		case calls <- end:
		case <-ctx.Done():
			return 0, 0, nil, ctx.Err()
		}
		select {
		case err := <-end:
			return 0, from, nil, err
		case <-ctx.Done():
			return 0, 0, nil, ctx.Err()
		}
	})
	available := func() bool { return follower.Status().Available(clock.Now()) }
	read := <-calls
	require.False(t, available(), "before the first read")
	began := clock.Now()
	clock.Advance(time.Second)
	read <- nil
	read = <-calls
	require.True(t, available())
	require.Equal(t, began, follower.Status().Current)
	clock.Advance(time.Second + 1)
	require.False(t, available(), "read in progress for more than 1 s")
	read <- nil
	read = <-calls
	require.False(t, available(), "last read took more than 1 s")
	require.Equal(t, began.Add(time.Second), follower.Status().Current, "a slow read still counts from its start")
	read <- nil
	read = <-calls
	require.True(t, available())
	read <- errors.New("log is down")
	require.Eventually(t, func() bool { return !available() }, time.Minute, time.Millisecond)
	advance(t, clock, func() bool {
		select {
		case read = <-calls:
			return true
		default:
			return false
		}
	})
	read <- nil
	read = <-calls
	require.True(t, available())
	advance(t, clock, func() bool { return follower.Status().Err != nil })
	require.False(t, available(), "read without a reply for 10 s")
}

// TestLogShrinks guards against a follower that folds records of another log, or believes that it is current, when the
// log ends below what was read.
func TestLogShrinks(t *testing.T) {
	var mu sync.Mutex
	next := int64(7)
	follower := startFollower(t, clockwork.NewRealClock(), func(_ context.Context, from int64, _ int, _ time.Duration) (
		int64, int64, []Record, error,
	) {
		mu.Lock()
		defer mu.Unlock()
		return next, next, nil, nil
	})
	require.NoError(t, follower.WaitCurrent(t.Context(), time.Time{}))
	mu.Lock()
	next = 3
	mu.Unlock()
	shrunk := func() bool { return errors.Is(follower.Status().Err, errLogShrunk) }
	require.Eventually(t, shrunk, time.Minute, time.Millisecond)
	require.Equal(t, int64(7), follower.Status().Next)
}

// TestInvalidRecord guards against one undecodable record that stops every follower.
func TestInvalidRecord(t *testing.T) {
	log := newFakeLog()
	log.add([]byte{0xff})
	p := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
	result, err := p.writer.Submit(t.Context(), accept("a"))
	require.NoError(t, err)
	require.Equal(t, int64(1), result.Offset)
}

// TestTruncatedWhileReading guards against a follower that keeps the state of jobs whose records it missed, and against
// submitters that wait forever for a batch that was truncated.
func TestTruncatedWhileReading(t *testing.T) {
	log := newFakeLog()
	p := startProcess(t, log, clockwork.NewRealClock(), "e1", 0)
	_, err := p.writer.Submit(t.Context(), accept("a"), accept("b"))
	require.NoError(t, err)
	down := errors.New("reads fail")
	log.faultReads(func() error { return down })
	require.Eventually(t, func() bool { return p.follower.Status().Err != nil }, time.Minute, time.Millisecond)
	ends := make(chan error, 1)
	go func() {
		_, submitErr := p.writer.Submit(t.Context(), accept("c"))
		ends <- submitErr
	}()
	confirmed := func() bool {
		status := p.writer.Status()
		return log.appendCalls() == 2 && status.Unsettled == 1 && status.Appending.IsZero()
	}
	require.Eventually(t, confirmed, time.Minute, time.Millisecond)
	log.truncate()
	log.faultReads(nil)
	require.ErrorIs(t, <-ends, ErrUnknown)
	require.Empty(t, p.jobs.Live(""))
	require.Equal(t, int64(1), p.follower.Status().Skipped)
	_, err = p.writer.Submit(t.Context(), accept("d"))
	require.NoError(t, err)
}

func (l *fakeLog) faultReads(reads func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = reads
}

// TestStop guards against submitters that wait forever, or get a wrong outcome, when the process stops.
func TestStop(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func([]byte) (bool, error)
		want  error
	}{
		{name: "refused", fault: refuse, want: ErrNotAppended},
		{name: "lost", fault: lose, want: ErrUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newFakeLog()
			log.appends = test.fault
			writer := NewWriter(WriterConfig{
				Clock:    clockwork.NewRealClock(),
				ID:       "e1",
				Ledger:   ledger.New(),
				Append:   log.Append,
				Rejected: func(err error) bool { return errors.Is(err, errRejected) },
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			ends := make(chan error, 1)
			go func() { done <- writer.Run(ctx) }()
			go func() {
				_, err := writer.Submit(t.Context(), accept("a"))
				ends <- err
			}()
			require.Eventually(t, func() bool { return log.appendCalls() > 1 }, time.Minute, time.Millisecond)
			cancel()
			require.NoError(t, <-done)
			require.ErrorIs(t, <-ends, test.want)
			_, err := writer.Submit(t.Context(), accept("b"))
			require.ErrorIs(t, err, ErrNotAppended)
		})
	}
}

// report is what one submitter was told.
type report struct {
	id     string
	result Result
	err    error
}

// TestOutcomesAgreeWithLog guards against a submitter of several processes whose outcome differs from what a later
// reader of the log finds, when appends are refused, lost, answered too late or delayed at random.
func TestOutcomesAgreeWithLog(t *testing.T) {
	log := newFakeLog()
	random := rand.New(rand.NewSource(1))
	var delayed [][]byte
	log.appends = func(data []byte) (bool, error) {
		if len(delayed) > 0 && random.Intn(4) == 0 {
			log.add(delayed[0])
			delayed = delayed[1:]
		}
		switch random.Intn(8) {
		case 0:
			return false, errRejected
		case 1:
			delayed = append(delayed, data)
			return false, errLost
		case 2:
			return true, errLost
		case 3:
			return false, errLost
		}
		return true, nil
	}
	const processes, submissions = 3, 40
	reports := make(chan report, processes*submissions)
	for i := range processes {
		p := startProcess(t, log, clockwork.NewRealClock(), fmt.Sprint("e", i), 0)
		for j := range submissions {
			id := fmt.Sprint("job", j)
			limit := time.Duration(1+(j*7)%50) * 10 * time.Millisecond
			if j == 0 {
				limit = time.Minute
			}
			go func() {
				result, err := p.writer.Submit(submitContext(t, limit), accept(id), claim(fmt.Sprint(i, id)))
				reports <- report{id: fmt.Sprint(i, id), result: result, err: err}
			}()
		}
	}
	var told []report
	for range processes * submissions {
		told = append(told, <-reports)
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	checkReports(t, log.records, told)
}

// checkReports compares the reports with a fold of the whole log. The placer of each claim names the submission.
func checkReports(t *testing.T, records [][]byte, told []report) {
	t.Helper()
	jobs := ledger.New()
	offsets := map[string]int64{}
	accepted := map[string]bool{}
	for offset, data := range records {
		batch := &peerpb.Batch{}
		require.NoError(t, proto.Unmarshal(data, batch))
		changes := jobs.Apply(int64(offset), batch)
		for i, change := range changes {
			placer := change.Record.GetClaim().GetPlacer()
			if placer == "" || !change.Applied {
				continue
			}
			require.NotContains(t, offsets, placer, "a batch took effect twice")
			offsets[placer] = int64(offset)
			accepted[placer] = changes[i-1].Applied
		}
	}
	var confirmed int
	for _, r := range told {
		offset, found := offsets[r.id]
		switch {
		case r.err == nil:
			confirmed++
			require.True(t, found)
			require.Equal(t, offset, r.result.Offset)
			require.Equal(t, accepted[r.id], r.result.Changes[0].Applied)
		case errors.Is(r.err, ErrNotAppended):
			require.False(t, found, "reported as not appended: %s", r.id)
		default:
			require.ErrorIs(t, r.err, ErrUnknown)
		}
	}
	require.Positive(t, confirmed)
}
