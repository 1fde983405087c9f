package scheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
)

// scriptedLog answers the copies of an append as a script says; nil entries are never answered.
type scriptedLog struct {
	clock   *clockwork.FakeClock
	answers []func() error
	// sentAt holds when each copy was sent.
	sentAt []time.Duration
	start  time.Time
	mu     sync.Mutex
}

func newScriptedLog(answers ...func() error) *scriptedLog {
	clock := clockwork.NewFakeClock()
	return &scriptedLog{
		clock:   clock,
		answers: answers,
		start:   clock.Now(),
	}
}

func (l *scriptedLog) append(
	ctx context.Context, _ []cell.LogRecord, _ *cell.Fence, _ int64, _ time.Duration,
) (int64, error) {
	l.mu.Lock()
	copyNumber := len(l.sentAt)
	l.sentAt = append(l.sentAt, l.Now())
	l.mu.Unlock()
	if copyNumber < len(l.answers) && l.answers[copyNumber] != nil {
		return 0, l.answers[copyNumber]()
	}
	<-ctx.Done()
	return 0, cell.ErrOutcomeUnknown
}

// Now returns the time since the log was created.
func (l *scriptedLog) Now() time.Duration {
	return l.clock.Now().Sub(l.start)
}

// run appends and lets time pass until the append has ended or a time is over.
func (l *scriptedLog) run(t *testing.T, a *appender, atMost time.Duration) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	type ended struct {
		sentAt time.Duration
		err    error
	}
	done := make(chan ended, 1)
	go func() {
		sentAt, err := a.run(ctx, nil, &cell.Fence{})
		done <- ended{
			sentAt: sentAt,
			err:    err,
		}
	}()
	for {
		select {
		case end := <-done:
			return end.sentAt, end.err
		case <-clockwork.NewRealClock().After(2 * time.Millisecond):
			if l.Now() >= atMost {
				cancel()
			}
			l.clock.Advance(10 * time.Millisecond)
		}
	}
}

func (l *scriptedLog) newAppender() *appender {
	return &appender{
		append:   l.append,
		logger:   hclog.NewNullLogger(),
		clock:    l.clock,
		bootTime: boottime.Clock{Now: l.Now},
	}
}

func stored() error { return nil }

// Guards against a leader that others replace because the answer to one append is lost: the answer to another copy must
// come well within the time of silence after which they claim.
func TestLostAnswersDontSilenceTheLeader(t *testing.T) {
	for lost := range 3 {
		answers := make([]func() error, lost, lost+1)
		l := newScriptedLog(append(answers, stored)...)
		sentAt, err := l.run(t, l.newAppender(), 2*leaderTimeout)
		require.NoError(t, err)
		require.Equal(t, l.sentAt[lost], sentAt, "the time of the answered copy")
		require.Less(t, l.Now(), leaderTimeout-heartbeatInterval, "%d lost answers", lost)
	}
}

// Guards against a log without answers that is sent ever more copies.
func TestCopiesAreBounded(t *testing.T) {
	l := newScriptedLog()
	_, err := l.run(t, l.newAppender(), 5*time.Second)
	require.Error(t, err)
	require.Len(t, l.sentAt, maxAppendCopies)
}

// Guards against copies for a log that is slow for all, which would make it slower.
func TestSlowLogIsAskedOnce(t *testing.T) {
	l := newScriptedLog(stored)
	a := l.newAppender()
	a.answerTime = 350 * time.Millisecond
	l.answers[0] = func() error {
		for l.Now() < 900*time.Millisecond {
			clockwork.NewRealClock().Sleep(time.Millisecond)
		}
		return nil
	}
	_, err := l.run(t, a, 2*time.Second)
	require.NoError(t, err)
	require.Len(t, l.sentAt, 1)
}

// Guards against a deposed leader that goes on, and against one that gives up because a log rejects a call.
func TestAnswersThatDecide(t *testing.T) {
	l := newScriptedLog(nil, func() error { return cell.ErrFenced })
	_, err := l.run(t, l.newAppender(), time.Second)
	require.ErrorIs(t, err, cell.ErrFenced)

	l = newScriptedLog(func() error { return errors.Join(cell.ErrRejected) }, stored)
	_, err = l.run(t, l.newAppender(), time.Second)
	require.NoError(t, err)
}
