package executorserver

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// How a run ended, as reported to the scheduler.
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	// endLapsed means that the lease expired or the executor restarted.
	endLapsed = "lapsed"
	// endBroken means that another member of the gang ended early.
	endBroken = "broken"
	// endAlone means that the other members of the gang didn't start in time.
	endAlone = "alone"
	// updateInterval is the interval at which leases and run times are checked.
	updateInterval = 10 * time.Millisecond
	// maxClockStart bounds the reading of the monotonic clock at the start of an incarnation. It exceeds the length of
	// a test, so that a deadline of an earlier incarnation is in the past of some of the next ones and ahead of others.
	maxClockStart = time.Minute
	// maxCallBytes limits the body of a call.
	maxCallBytes = 1 << 20
)

// Config configures an Executor.
type Config struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	// Accelerators is the initial capacity; a start that exceeds the capacity is rejected.
	Accelerators int64
	// SkipAdmissionCheck makes the executor start what exceeds its capacity. The recorder reports it.
	SkipAdmissionCheck bool
	// MaxLease is the maximum lease; longer ones are shortened to it.
	MaxLease time.Duration
	// Slowdown is the factor by which tasks take longer than their specs say; 0 means that they don't.
	Slowdown float64
	Clock    clockwork.Clock
	Recorder *Recorder
	// Random draws the start of each incarnation's monotonic clock and the faults; nil means that the clock starts at 0
	// and that there are no random faults.
	Random *rand.Rand
}

// Executor simulates one executor of the platform.
type Executor struct {
	config Config
	// clockRandom draws the clocks' first readings, so that they don't depend on the number of calls.
	clockRandom *rand.Rand
	mu          sync.Mutex
	*incarnation
	capacity  capacity
	faults    Faults
	lateCalls []lateCall
	// messages are the delayed messages to the agent.
	messages []message
	// upAt is the start of the next incarnation; while it is set, the executor is down.
	upAt time.Time
	// nextID is the id of the next incarnation.
	nextID string
	// runEnded is closed and replaced whenever a run ends or the executor crashes.
	runEnded chan struct{}
}

// New returns an executor whose first incarnation starts now.
func New(config Config) *Executor {
	e := &Executor{
		config: config,
		capacity: capacity{
			current: config.Accelerators,
		},
		nextID:   config.ID,
		runEnded: make(chan struct{}),
	}
	if config.Random != nil {
		e.clockRandom = rand.New(rand.NewPCG(config.Random.Uint64(), 0))
	}
	e.startIncarnation()
	return e
}

// Crash ends the executor with all its runs. It starts again under its id after the downtime, which Run counts; until
// then, it refuses calls and sends no heartbeats.
func (e *Executor) Crash(downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(downtime)
}

// Restart simulates a restart of the executor under the same id: running tasks end, the monotonic clock starts anew,
// and the fence, the run numbers and the unacknowledged ends are lost.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(0)
	e.startIncarnation()
}

// RestartAs simulates a restart under another id. The executor rejects calls for the earlier id.
func (e *Executor) RestartAs(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID = id
	e.crash(0)
	e.startIncarnation()
}

// SetCapacity changes the capacity, which the next heartbeat reports. Runs beyond it go on.
func (e *Executor) SetCapacity(accelerators int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.capacity.change(accelerators, e.config.Clock.Now())
	e.config.Recorder.RecordEvent("%s has %d accelerators", e.id, accelerators)
}

// SetFaults sets the faults that calls and tasks meet from now on. Late calls are still carried out.
func (e *Executor) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Run carries out late calls, updates the running tasks, and ends those whose run time or lease is over, until ctx is
// done.
func (e *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.update()
		e.carryOutLateCalls(ctx)
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(updateInterval):
		}
	}
}

// ServeHTTP implements http.Handler. While the executor is down, it closes the connection without a response.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	received := call{
		path:       r.URL.Path,
		expectedID: r.Header.Get("Radishpath-Expected-Instance"),
		body:       body,
	}
	if postponed, hangs := e.postpone(received); postponed {
		if hangs {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	result := e.execute(r.Context(), received)
	if result.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(result.body)
}

// crash ends the incarnation and all its runs.
func (e *Executor) crash(downtime time.Duration) {
	for key, t := range e.running {
		e.config.Recorder.recordCrashedRun(key.task)
		e.endRun(key, t, endLapsed)
	}
	for _, ended := range e.endedRuns {
		e.config.Recorder.recordLostEnd(ended.runKey, e.id, ended.reported)
	}
	e.endedRuns = nil
	e.config.Recorder.RecordEvent("%s born %d ended, down for %s", e.id, e.bornMs(), downtime)
	e.upAt = e.config.Clock.Now().Add(downtime)
	e.notifyRunEnded()
}

// crashUnder crashes the executor because of a task.
func (e *Executor) crashUnder(taskID string) {
	e.config.Recorder.recordCrash(taskID, e.id)
	e.crash(e.faults.crashDowntime())
}

// startIncarnation starts the next incarnation, which knows nothing of earlier ones.
func (e *Executor) startIncarnation() {
	clockStart := time.Duration(0)
	if e.clockRandom != nil {
		clockStart = time.Duration(e.clockRandom.Int64N(int64(maxClockStart)))
	}
	e.incarnation = newIncarnation(e.nextID, e.config.Clock.Now(), clockStart)
	e.upAt = time.Time{}
	e.config.Recorder.RecordEvent("%s born %d started, its clock at %s", e.id, e.bornMs(), clockStart)
}

// isDown reports whether the executor has crashed and hasn't started again.
func (e *Executor) isDown() bool {
	return !e.upAt.IsZero()
}

// monotonicClock returns the reading of the incarnation's own clock.
func (e *Executor) monotonicClock() time.Duration {
	return e.clockStart + e.config.Clock.Since(e.startedAt)
}

// extendLease extends the lease of all running tasks up to a time on the monotonic clock.
func (e *Executor) extendLease(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, e.monotonicClock()+e.config.MaxLease)
	e.leaseEnd = max(e.leaseEnd, until)
}

// update starts the next incarnation if it is due, advances the running tasks and ends those that are over.
func (e *Executor) update() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		if e.config.Clock.Now().Before(e.upAt) {
			return
		}
		e.startIncarnation()
	}
	now := e.monotonicClock()
	for key, t := range e.running {
		t.advance(now)
		switch kind := e.endKind(t, now); {
		case kind == endDone && t.crashes:
			e.crashUnder(key.task)
			return
		case kind != "":
			e.endRun(key, t, kind)
		}
	}
}

// endKind returns how a run has ended; empty means that it is still running.
func (e *Executor) endKind(t *task, now time.Duration) string {
	if t.gang != nil {
		broken, done, started := t.gang.state()
		switch {
		case done:
			return endDone
		case t.gang.hasFailedTogether():
			return endFailed
		case broken:
			return endBroken
		case !started && now-t.startedAt > gangTimeout:
			return endAlone
		}
	}
	switch {
	case now >= e.leaseEnd:
		return endLapsed
	case t.workDone < t.duration && t.stopAt > 0 && now >= t.stopAt:
		return endStopped
	case t.workDone < t.duration:
		return ""
	case t.fails:
		return endFailed
	}
	return endDone
}

func (e *Executor) endRun(key runKey, t *task, kind string) {
	delete(e.running, key)
	if t.gang != nil {
		t.gang.recordMemberEnd(kind)
	}
	e.number++
	e.endedRuns = append(e.endedRuns, endedRun{
		runKey:     key,
		number:     e.number,
		kind:       kind,
		checkpoint: t.checkpoint(),
	})
	e.config.Recorder.recordEnd(key.task, kind, e.id, key.run)
	e.notifyRunEnded()
}

// notifyRunEnded ends the waiting holds.
func (e *Executor) notifyRunEnded() {
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}
