package gateway

import (
	"context"
	"errors"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// jobIDPattern matches job ids, which callers choose.
var jobIDPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Gateway handles callers' requests. It is safe for concurrent use.
type Gateway struct {
	config   Config
	notReady atomic.Bool
}

// New returns a Gateway.
func New(config Config) *Gateway {
	return &Gateway{
		config: config,
	}
}

// Cancel requests the cancellation of a job.
func (g *Gateway) Cancel(ctx context.Context, call cell.Call) cell.Response {
	queue, workspace, id, rejection := g.authorize(call)
	if rejection != nil {
		g.recordResponse("cancel", lastPathSegment(call.Path), call, *rejection)
		return *rejection
	}
	jobState, lookupRejection := g.findJob(ctx, id, visibleTo(queue, workspace))
	if lookupRejection != nil {
		g.recordResponse("cancel", id, call, *lookupRejection)
		return *lookupRejection
	}
	return g.cancelJob(ctx, call, id, jobState)
}

// PrepareShutdown makes Ready report false from now on.
func (g *Gateway) PrepareShutdown() {
	g.notReady.Store(true)
}

// Lookup returns the state of a job, or the number of pending jobs in a queue if the path has no job id.
func (g *Gateway) Lookup(ctx context.Context, call cell.Call) cell.Response {
	queue, workspace, id, rejection := g.authorize(call)
	if rejection != nil {
		return *rejection
	}
	if id == "" {
		return g.queueLength(queue)
	}
	jobState, lookupRejection := g.findJob(ctx, id, visibleTo(queue, workspace))
	if lookupRejection != nil {
		return *lookupRejection
	}
	return cell.Response{
		State: jobState.State(),
	}
}

// Ready reports whether the load balancer should route new connections to this entry.
func (g *Gateway) Ready() bool {
	age, ok := g.config.OperationsAge()
	return ok && g.config.Mirror.Operations().Loaded && age < maxReadyOperationsAge && !g.notReady.Load()
}

// Submit stores a job in the cell's log.
func (g *Gateway) Submit(ctx context.Context, call cell.Call, job *cellpb.Job) cell.Response {
	queue, workspace, id, rejection := g.authorize(call)
	if rejection != nil {
		g.recordResponse("submit", lastPathSegment(call.Path), call, *rejection)
		return *rejection
	}
	if id == "" {
		return invalidResponse("the path names no job")
	}
	return g.acceptJob(ctx, call, queue, workspace, id, job)
}

// acceptJob validates a job and stores it in a queue on behalf of a workspace.
func (g *Gateway) acceptJob(
	ctx context.Context, call cell.Call, queue cell.Queue, workspace, id string, job *cellpb.Job,
) cell.Response {
	if err := cell.ValidateJob(job); err != nil {
		return invalidResponse(err.Error())
	}
	if existing, ok := g.config.Mirror.Job(id); ok {
		if !visibleTo(queue, workspace)(existing.Job) {
			// The id can't be used twice, because executors know tasks by it. The reply doesn't tell whose job it is.
			return invalidResponse(reasonNotStorable)
		}
		return cell.Response{}
	}
	claim, _ := g.config.Mirror.Claim()
	if reason := unschedulableReason(claim.GetCapacities(), queue.Service, job); reason != "" {
		response := cell.Response{
			Outcome:    cell.OutcomeNotRun,
			Reason:     reason,
			RetryAfter: unschedulableRetryAfter,
		}
		g.recordResponse("submit", id, call, response)
		return response
	}
	job.Id = id
	job.Queue = queue.Name
	job.Service = queue.Service
	job.Workspace = workspace
	job.AcceptedMs = g.config.Clock.Now().UnixMilli()
	job.Priority = int32(queue.Priority)
	job.MaxFailures = int32(queue.MaxFailures)
	job.Stretch = queue.Stretch
	job.SlackMs = queue.Slack.Milliseconds()
	record, err := cell.JobRecord(job)
	if err != nil {
		g.config.Logger.Error("failed to encode job", "job", id, "error", err)
		return invalidResponse(reasonNotStorable)
	}
	response := g.appendUntilStored(ctx, call, record, func() bool {
		_, ok := g.config.Mirror.Job(id)
		return ok
	})
	g.recordResponse("submit", id, call, response)
	return response
}

// cancelJob stores the cancellation of a job in the cell's log.
func (g *Gateway) cancelJob(ctx context.Context, call cell.Call, id string, jobState cell.JobState) cell.Response {
	if jobState.State() == cellpb.State_STATE_CANCELLED {
		return cell.Response{}
	}
	record, err := cell.CancelRecord(id)
	if err != nil {
		g.config.Logger.Error("failed to encode cancellation", "job", id, "error", err)
		return invalidResponse("the cancellation can't be stored")
	}
	response := g.appendUntilStored(ctx, call, record, func() bool {
		current, _ := g.config.Mirror.Job(id)
		return current.Cancelled
	})
	if response.Outcome == cell.OutcomeNotRun {
		response.Outcome = cell.OutcomeUnavailable
	}
	g.recordResponse("cancel", id, call, response)
	return response
}

// keysUpToDate reports whether the configuration was confirmed recently enough to accept and reject API keys, some of
// which may have been removed or added since.
func (g *Gateway) keysUpToDate() bool {
	age, known := g.config.OperationsAge()
	return known && age <= g.config.KeyRevocationLimit-keyRevocationMargin
}

// authorize checks the call's API key, unless the queue is anonymous, and returns the queue, the workspace and the job
// id in the path. The id is empty if the path is that of the queue.
func (g *Gateway) authorize(call cell.Call) (queue cell.Queue, workspace, id string, rejection *cell.Response) {
	operations := g.config.Mirror.Operations()
	if !operations.Loaded {
		return queue, "", "", unavailableResponse()
	}
	queue, idSuffix, ok := operations.Config.MatchQueue(call.Host, call.Path)
	if !ok {
		return queue, "", "", &cell.Response{Outcome: cell.OutcomeNoQueue}
	}
	workspace, ok = operations.Config.Workspace(call.APIKey)
	if !queue.Anonymous {
		if !g.keysUpToDate() {
			return queue, "", "", unavailableResponse()
		}
		if !ok {
			return queue, "", "", &cell.Response{Outcome: cell.OutcomeDenied}
		}
	}
	if idSuffix != "" && !jobIDPattern.MatchString(idSuffix) {
		return queue, workspace, "", &cell.Response{Outcome: cell.OutcomeNoJob}
	}
	return queue, workspace, strings.ToLower(idSuffix), nil
}

// reasonNotStorable is the reason for rejecting a job that can't be stored under its id.
const reasonNotStorable = "the job can't be stored"

// visibleTo returns which jobs a call may see and change: those of the workspace of its key and those of no workspace.
// In an anonymous queue, which needs no key, every call may see every job.
func visibleTo(queue cell.Queue, workspace string) func(job *cellpb.Job) bool {
	return func(job *cellpb.Job) bool {
		return queue.Anonymous || job.GetWorkspace() == workspace || job.GetWorkspace() == ""
	}
}

// findJob returns a job, after waiting up to lookupTimeout for it to appear in the mirror. Otherwise it returns the
// response to the caller. A job that isn't visible is treated as one that doesn't exist, in the time of the reply too.
func (g *Gateway) findJob(
	ctx context.Context, id string, visible func(job *cellpb.Job) bool,
) (cell.JobState, *cell.Response) {
	deadline := g.config.BootTime.Now() + lookupTimeout
	for {
		jobState, ok := g.config.Mirror.Job(id)
		if ok && visible(jobState.Job) {
			return jobState, nil
		}
		if g.config.BootTime.Now() >= deadline || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(lookupPollInterval):
		}
	}
	if age, ok := g.config.StateAge(); !ok || age > maxStateAge {
		g.config.Logger.Warn("unknown job; the state is too old to tell whether it exists", "job", id,
			"age", age.Milliseconds())
		return cell.JobState{}, unavailableResponse()
	}
	return cell.JobState{}, &cell.Response{Outcome: cell.OutcomeNoJob}
}

func (g *Gateway) queueLength(queue cell.Queue) cell.Response {
	if age, ok := g.config.StateAge(); !ok || age > maxStateAge {
		return *unavailableResponse()
	}
	count := 0
	g.config.Mirror.View(func(state *cell.State) { count = state.Pending(queue.Name) })
	return cell.Response{
		Queue:   true,
		Pending: count,
	}
}

// appendUntilStored appends a record to the cell's log, directly or through the other entries of the cell, until it is
// stored, rejected for longer than rejectionRetryWindow, or the caller's timeout is near. Retries are safe, because the
// log keeps one value per key.
func (g *Gateway) appendUntilStored(
	ctx context.Context, call cell.Call, record cell.LogRecord, isStored func() bool,
) cell.Response {
	start := g.config.BootTime.Now()
	deadline := start + call.Timeout - replyMargin
	timeout := initialAppendTimeout
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		remaining := deadline - g.config.BootTime.Now()
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		err := g.appendOnce(ctx, record, attempt, min(timeout, remaining))
		if err == nil || isStored() {
			g.config.Metrics.Timer("store").Record(g.config.BootTime.Now() - start)
			return cell.Response{}
		}
		if !errors.Is(err, cell.ErrRejected) {
			outcomeUnknown = true
			timeout *= 2
		}
		g.config.Logger.Warn("append to the log failed",
			"key", record.Key, "try", attempt, "unknown", outcomeUnknown, "error", err)
		if !outcomeUnknown && (g.storeUnreachable() || g.config.BootTime.Now()-start > rejectionRetryWindow) {
			// Nothing was stored, so the caller can safely retry at another entry.
			break
		}
		select {
		case <-ctx.Done():
		case <-g.config.Clock.After(appendRetryDelay):
		}
	}
	if isStored() {
		return cell.Response{}
	}
	if outcomeUnknown {
		return cell.Response{Outcome: cell.OutcomeUnknown}
	}
	return cell.Response{
		Outcome:    cell.OutcomeNotRun,
		Reason:     "the store takes no records",
		RetryAfter: defaultRetryAfter,
	}
}

// storeUnreachable reports whether this entry has had no response from the store for longer than StoreUnreachableAge.
// The gateway then relays appends to the other entries only, and rejects a call that they reject: a direct append would
// leave its outcome unknown.
func (g *Gateway) storeUnreachable() bool {
	age, ok := g.config.StateAge()
	return !ok || age > StoreUnreachableAge
}

// appendOnce makes one append attempt. Attempts alternate between the store and the relay; while the store is
// unreachable, all use the relay.
func (g *Gateway) appendOnce(ctx context.Context, record cell.LogRecord, attempt int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if g.config.RelayAppend != nil && (attempt%2 == 1 || g.storeUnreachable()) {
		return g.config.RelayAppend(ctx, &cellpb.Append{
			Key:   record.Key,
			Value: record.Value,
		})
	}
	_, err := g.config.Append(ctx, []cell.LogRecord{record}, nil, -1)
	return err
}

func (g *Gateway) recordResponse(callName, id string, call cell.Call, response cell.Response) {
	age, _ := g.config.OperationsAge()
	g.config.Metrics.Tagged(map[string]string{
		"call":    callName,
		"outcome": response.Outcome.String(),
	}).Counter("answers").Inc(1)
	g.config.Logger.Info(callName, "job", id, "path", call.Path, "outcome", response.Outcome.String(),
		"config", g.config.Mirror.Operations().Config.Version, "age", age.Milliseconds(),
		"retry", response.RetryAfter.Milliseconds(), "reason", response.Reason)
}

// lastPathSegment returns the presumed job id in the path of a rejected call, for the log.
func lastPathSegment(path string) string {
	return path[strings.LastIndex(path, "/")+1:]
}

func unavailableResponse() *cell.Response {
	return &cell.Response{
		Outcome:    cell.OutcomeUnavailable,
		Reason:     "this entry can't reach the store",
		RetryAfter: defaultRetryAfter,
	}
}

func invalidResponse(reason string) cell.Response {
	return cell.Response{
		Outcome: cell.OutcomeInvalid,
		Reason:  reason,
	}
}
