package executorserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// execute carries out a call at the current incarnation.
func (e *Executor) execute(ctx context.Context, c call) response {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return noResponse()
	}
	if c.expectedID != "" && c.expectedID != e.id {
		return response{
			status: http.StatusMisdirectedRequest,
		}
	}
	result := response{
		status: http.StatusNotFound,
	}
	switch c.path {
	case holdPath:
		result = e.hold(ctx, c)
	case startPath:
		result = e.start(c)
	case stopPath:
		result = e.stop(c)
	}
	if e.isDown() {
		return noResponse()
	}
	e.contacted = e.contacted || (!c.late && result.status == http.StatusOK)
	if result.body != nil {
		result.body["clockMs"] = e.monotonicClock().Milliseconds()
		result.body["born"] = e.bornMs()
	}
	return result
}

// rejectedByFence reports whether the fence of a request is lower than that of an earlier one. Otherwise, it stores the
// fence.
func (e *Executor) rejectedByFence(fence int64) bool {
	if fence < e.fence {
		return true
	}
	e.fence = fence
	return false
}

func (e *Executor) hold(ctx context.Context, c call) response {
	request := struct {
		DeadlineMs int64 `json:"deadlineMs"`
		Fence      int64 `json:"fence"`
		LastSeen   int64 `json:"lastSeen"`
		WaitMs     int64 `json:"waitMs"`
	}{}
	if json.Unmarshal(c.body, &request) != nil {
		return badRequest()
	}
	if e.rejectedByFence(request.Fence) {
		return rejection("fence")
	}
	e.extendLease(request.DeadlineMs)
	for _, ended := range e.acknowledgeEnds(request.LastSeen) {
		e.config.Recorder.recordAcknowledgedEnd(ended.runKey, e.id, c.late)
		if ended.kind == endFailed {
			e.config.Recorder.recordAcknowledgedFailure(ended.runKey)
		}
	}
	if len(e.endedRuns) == 0 && request.WaitMs > 0 && !c.late {
		if !e.awaitEnd(ctx, time.Duration(request.WaitMs)*time.Millisecond) {
			return noResponse()
		}
	}
	running, endedRuns := [][]any{}, [][]any{}
	for key, t := range e.running {
		running = append(running, []any{key.task, key.run, t.checkpoint(), t.percent(), 1000})
	}
	for i, ended := range e.endedRuns {
		e.endedRuns[i].reported = ended.reported || !c.late
		endedRuns = append(endedRuns, []any{ended.number, ended.task, ended.run, ended.kind, ended.checkpoint})
	}
	return response{
		status: http.StatusOK,
		body: map[string]any{
			"runningRuns": running,
			"endedRuns":   endedRuns,
		},
	}
}

// awaitEnd waits until a run ends, for at most a duration, and reports whether the incarnation still exists.
func (e *Executor) awaitEnd(ctx context.Context, wait time.Duration) bool {
	runEnded, current := e.runEnded, e.incarnation
	e.mu.Unlock()
	select {
	case <-runEnded:
	case <-e.config.Clock.After(wait):
	case <-ctx.Done():
	}
	e.mu.Lock()
	return e.incarnation == current && !e.isDown()
}

func (e *Executor) start(c call) response {
	request := startRequest{}
	if json.Unmarshal(c.body, &request) != nil {
		return badRequest()
	}
	taskSpec, err := parseSpec(request.Spec)
	if err != nil {
		return badRequest()
	}
	if e.rejectedByFence(request.Fence) {
		return rejection("fence")
	}
	if _, ok := e.running[request.key()]; ok {
		return success()
	}
	if time.Duration(request.DeadlineMs)*time.Millisecond <= e.monotonicClock() {
		return rejection("late")
	}
	// The deadline also extends the lease if the run is rejected as old or for lack of room.
	e.extendLease(request.DeadlineMs)
	if request.Run <= e.highestRuns[request.Task] {
		return rejection("old")
	}
	inUse := e.acceleratorsInUse() + taskSpec.accelerators
	if inUse > e.capacity.current && !e.config.SkipAdmissionCheck {
		return rejection("room")
	}
	if e.config.Slowdown > 0 {
		taskSpec.duration = time.Duration(e.config.Slowdown * float64(taskSpec.duration))
	}
	e.startRun(request, taskSpec, c.late)
	if known := e.capacity.knownMaximum(e.config.Clock.Now(), c.late); inUse > known {
		e.config.Recorder.recordExcess(request.Task, e.id, inUse, known)
	}
	if taskSpec.crashes && taskSpec.duration == 0 {
		e.crashUnder(request.Task)
	}
	return success()
}

func (e *Executor) startRun(request startRequest, taskSpec spec, late bool) {
	t := &task{
		spec:      taskSpec,
		updatedAt: e.monotonicClock(),
		startedAt: e.monotonicClock(),
	}
	t.resume(request.Checkpoint)
	if taskSpec.gangSize > 0 {
		t.gang = e.config.Recorder.gang(request.Task, request.Run, taskSpec)
		t.gang.join(request.Task)
		t.fails = t.gang.fails
	}
	e.highestRuns[request.Task] = request.Run
	e.running[request.key()] = t
	e.config.Recorder.recordStart(RunStart{
		Task:     request.Task,
		Run:      request.Run,
		Executor: e.id,
		Zone:     e.config.Zone,
		Late:     late,
		Unfenced: late && !e.contacted,
	})
}

func (e *Executor) stop(c call) response {
	request := struct {
		Task  string `json:"task"`
		Run   int32  `json:"run"`
		Fence int64  `json:"fence"`
	}{}
	if json.Unmarshal(c.body, &request) != nil {
		return badRequest()
	}
	if e.rejectedByFence(request.Fence) {
		return rejection("fence")
	}
	e.highestRuns[request.Task] = max(e.highestRuns[request.Task], request.Run)
	for key, t := range e.running {
		if key.task == request.Task && key.run <= request.Run {
			e.stopRun(key, t)
		}
	}
	return success()
}

// stopRun ends a run, or begins to stop it if that takes time. Until the run ends, it is listed as running and occupies
// its accelerators, and it may still end in another way.
func (e *Executor) stopRun(key runKey, t *task) {
	grace := e.faults.stopDuration(e.config.Random)
	if grace == 0 && t.stopAt == 0 {
		kind := endStopped
		if t.gang != nil && t.gang.hasFailedTogether() {
			kind = endFailed
		}
		e.endRun(key, t, kind)
		return
	}
	if t.stopAt == 0 {
		t.stopAt = e.monotonicClock() + grace
	}
}
