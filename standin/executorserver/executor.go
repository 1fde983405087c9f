package executorserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
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
	updateInterval    = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// drainRemaining is the remaining time that heartbeats report.
	drainRemaining = 10 * time.Second
)

// Config configures an Executor.
type Config struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	// Accelerators is the capacity; a start that exceeds it is rejected.
	Accelerators int64
	// MaxLease is the maximum lease; longer ones are shortened to it.
	MaxLease time.Duration
	Clock    clockwork.Clock
	Recorder *Recorder
}

// Executor simulates one executor of the platform.
type Executor struct {
	config    Config
	router    http.Handler
	mu        sync.Mutex
	startedAt time.Time
	// fence is the highest fence of any request; requests with a lower one are rejected.
	fence int64
	// leaseEnd is the end of the lease of all running tasks, on the monotonic clock.
	leaseEnd time.Duration
	// draining is set while the executor announces that it will leave.
	draining bool
	// highestRuns is the highest run number of each task that was started or stopped on this executor.
	highestRuns map[string]int32
	running     map[string]*task
	endedRuns   []endedRun
	// number is that of the last ended run; ended runs are numbered from 1.
	number       int64
	heartbeatSeq int64
	// runEnded is closed and replaced whenever a run ends.
	runEnded chan struct{}
}

// endedRun is an ended run that the scheduler hasn't acknowledged yet.
type endedRun struct {
	number     int64
	task       string
	run        int32
	kind       string
	checkpoint string
	// reported is set once a response contained the run. The response may have been lost.
	reported bool
}

// New returns an executor whose monotonic clock starts now.
func New(config Config) *Executor {
	e := &Executor{
		config:      config,
		startedAt:   config.Clock.Now(),
		highestRuns: map[string]int32{},
		running:     map[string]*task{},
		runEnded:    make(chan struct{}),
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/run-start", e.handleStart).Methods(http.MethodPost)
	router.HandleFunc("/v1/run-stop", e.handleStop).Methods(http.MethodPost)
	router.HandleFunc("/v1/hold", e.handleHold).Methods(http.MethodPost)
	e.router = router
	return e
}

// SendHeartbeats sends heartbeats to an agent until ctx ends.
func (e *Executor) SendHeartbeats(ctx context.Context, agentURL string) {
	for ctx.Err() == nil {
		e.sendHeartbeat(ctx, agentURL)
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(heartbeatInterval):
		}
	}
}

// Run updates the running tasks, and ends those whose run time or lease is over, until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.updateRuns()
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(updateInterval):
		}
	}
}

// SetDraining sets whether heartbeats report the executor as draining.
func (e *Executor) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Restart simulates a restart of the executor under the same id: running tasks end, the monotonic clock restarts, and
// the fence, the run numbers and the unacknowledged ends are lost.
func (e *Executor) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for taskID, t := range e.running {
		e.endRun(taskID, t, endLapsed)
	}
	for _, ended := range e.endedRuns {
		e.config.Recorder.recordLostEnd(ended.task, ended.reported)
	}
	e.startedAt = e.config.Clock.Now()
	e.fence = 0
	e.leaseEnd = 0
	e.highestRuns = map[string]int32{}
	e.endedRuns = nil
	e.number = 0
	e.heartbeatSeq = 0
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expectedID := r.Header.Get("Radishpath-Expected-Instance"); expectedID != "" && expectedID != e.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.router.ServeHTTP(w, r)
}

func (e *Executor) sendHeartbeat(ctx context.Context, agentURL string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	e.mu.Lock()
	e.heartbeatSeq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":"","zone":%q,"version":"v1","slots":8,"state":%q,"coldLeftMs":0,`+
		`"capacity":{"cpu":64000,"memMb":64000,"gpu":%d},"labels":["a",%q],"clockMs":%d,"born":%d,"seq":%d,`+
		`"remainingMs":%d}`, e.config.Service, e.config.Zone, state, e.config.Accelerators, e.config.Rack,
		e.monotonicClock().Milliseconds(), e.startedAt.UnixMilli(), e.heartbeatSeq, drainRemaining.Milliseconds())
	e.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, agentURL+"/v1/instances/"+e.config.ID,
		bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The agent may be down; the next heartbeat tries again.
		return
	}
	_ = response.Body.Close()
}

// monotonicClock returns the time since the executor's start.
func (e *Executor) monotonicClock() time.Duration {
	return e.config.Clock.Since(e.startedAt)
}

// extendLease extends the lease of all running tasks up to a time on the monotonic clock.
func (e *Executor) extendLease(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, e.monotonicClock()+e.config.MaxLease)
	e.leaseEnd = max(e.leaseEnd, until)
}

// decodeRequest decodes the body of a request. If it is invalid, decodeRequest responds with 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// rejectedByFence rejects a request whose fence is lower than that of an earlier one, and reports whether it did so.
// Otherwise, it stores the fence.
func (e *Executor) rejectedByFence(w http.ResponseWriter, fence int64) bool {
	if fence < e.fence {
		e.reject(w, "fence")
		return true
	}
	e.fence = fence
	return false
}

func (e *Executor) handleHold(w http.ResponseWriter, r *http.Request) {
	request := struct {
		DeadlineMs int64 `json:"deadlineMs"`
		Fence      int64 `json:"fence"`
		LastSeen   int64 `json:"lastSeen"`
		WaitMs     int64 `json:"waitMs"`
	}{}
	if !decodeRequest(w, r, &request) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejectedByFence(w, request.Fence) {
		return
	}
	e.extendLease(request.DeadlineMs)
	for len(e.endedRuns) > 0 && e.endedRuns[0].number <= request.LastSeen {
		e.endedRuns = e.endedRuns[1:]
	}
	if len(e.endedRuns) == 0 && request.WaitMs > 0 {
		runEnded := e.runEnded
		e.mu.Unlock()
		select {
		case <-runEnded:
		case <-e.config.Clock.After(time.Duration(request.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	running, endedRuns := [][]any{}, [][]any{}
	for taskID, t := range e.running {
		running = append(running, []any{taskID, t.run, t.checkpoint(), t.percent(), 1000})
	}
	for i, ended := range e.endedRuns {
		e.endedRuns[i].reported = true
		endedRuns = append(endedRuns, []any{ended.number, ended.task, ended.run, ended.kind, ended.checkpoint})
	}
	e.writeResponse(w, http.StatusOK, map[string]any{
		"runningRuns": running,
		"endedRuns":   endedRuns,
	})
}

// startRequest is the body of a request to start a run.
type startRequest struct {
	Task       string `json:"task"`
	Run        int32  `json:"run"`
	Spec       string `json:"jobSpec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
}

func (e *Executor) handleStart(w http.ResponseWriter, r *http.Request) {
	request := startRequest{}
	if !decodeRequest(w, r, &request) {
		return
	}
	taskSpec, err := parseSpec(request.Spec)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejectedByFence(w, request.Fence) {
		return
	}
	if current, ok := e.running[request.Task]; ok && current.run == request.Run {
		e.writeResponse(w, http.StatusOK, map[string]any{})
		return
	}
	switch {
	case time.Duration(request.DeadlineMs)*time.Millisecond <= e.monotonicClock():
		e.reject(w, "late")
	case request.Run <= e.highestRuns[request.Task]:
		e.reject(w, "old")
	case e.acceleratorsInUse()+taskSpec.accelerators > e.config.Accelerators:
		e.reject(w, "room")
	default:
		e.extendLease(request.DeadlineMs)
		e.startRun(request, taskSpec)
		e.writeResponse(w, http.StatusOK, map[string]any{})
	}
}

func (e *Executor) startRun(request startRequest, taskSpec spec) {
	t := &task{
		spec:      taskSpec,
		run:       request.Run,
		updatedAt: e.monotonicClock(),
		startedAt: e.monotonicClock(),
	}
	t.resume(request.Checkpoint)
	if taskSpec.gangSize > 0 {
		t.gang = e.config.Recorder.gang(request.Task, request.Run, taskSpec.gangSize)
		t.gang.join(request.Task)
	}
	e.highestRuns[request.Task] = request.Run
	e.running[request.Task] = t
	e.config.Recorder.recordStart(RunStart{
		Task:     request.Task,
		Run:      request.Run,
		Executor: e.config.ID,
		Zone:     e.config.Zone,
	})
}

// acceleratorsInUse returns the sum of the accelerators of the running tasks.
func (e *Executor) acceleratorsInUse() int64 {
	total := int64(0)
	for _, t := range e.running {
		total += t.accelerators
	}
	return total
}

func (e *Executor) handleStop(w http.ResponseWriter, r *http.Request) {
	request := struct {
		Task  string `json:"task"`
		Run   int32  `json:"run"`
		Fence int64  `json:"fence"`
	}{}
	if !decodeRequest(w, r, &request) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejectedByFence(w, request.Fence) {
		return
	}
	e.highestRuns[request.Task] = max(e.highestRuns[request.Task], request.Run)
	if t, ok := e.running[request.Task]; ok && t.run <= request.Run {
		e.endRun(request.Task, t, endStopped)
	}
	e.writeResponse(w, http.StatusOK, map[string]any{})
}

// updateRuns advances the running tasks and ends those that are over.
func (e *Executor) updateRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.monotonicClock()
	for taskID, t := range e.running {
		t.advance(now)
		if kind := e.endKind(t, now); kind != "" {
			e.endRun(taskID, t, kind)
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
		case broken:
			return endBroken
		case !started && now-t.startedAt > gangTimeout:
			return endAlone
		}
	}
	switch {
	case now >= e.leaseEnd:
		return endLapsed
	case t.workDone < t.duration:
		return ""
	case t.fails:
		return endFailed
	}
	return endDone
}

func (e *Executor) endRun(taskID string, t *task, kind string) {
	delete(e.running, taskID)
	if t.gang != nil {
		t.gang.recordMemberEnd(kind)
	}
	e.number++
	e.endedRuns = append(e.endedRuns, endedRun{
		number:     e.number,
		task:       taskID,
		run:        t.run,
		kind:       kind,
		checkpoint: t.checkpoint(),
	})
	e.config.Recorder.recordEnd(taskID, kind, e.config.ID, t.run)
	close(e.runEnded)
	e.runEnded = make(chan struct{})
}

func (e *Executor) reject(w http.ResponseWriter, reason string) {
	e.writeResponse(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (e *Executor) writeResponse(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = e.monotonicClock().Milliseconds()
	body["born"] = e.startedAt.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
