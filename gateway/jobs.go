package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// callTimeout bounds a submission or cancellation through the API of package caller, without the wait for the end
	// of the job.
	callTimeout = 5 * time.Second
	// statePollInterval is the interval at which a waiting call checks whether its job has ended.
	statePollInterval = 50 * time.Millisecond
)

// errNotReady is returned while the entry can't authenticate callers.
var errNotReady = errors.New("this entry can't answer now")

// JobService implements the functions that the HTTP server of package caller needs. A job submitted through it is a
// single step whose members run together.
type JobService struct {
	gateway *Gateway
}

// NewJobService returns a JobService that uses the given gateway.
func NewJobService(gateway *Gateway) *JobService {
	return &JobService{
		gateway: gateway,
	}
}

// Authenticate returns the workspace of a caller's token; false if the token isn't valid or the entry isn't ready.
func (j *JobService) Authenticate(token string) (string, bool) {
	if j.Ready() != nil {
		return "", false
	}
	return j.gateway.config.Mirror.Operations().Config.Workspace(token)
}

// Cancel requests the cancellation of a job.
func (j *JobService) Cancel(ctx context.Context, workspace, id string) (caller.Status, error) {
	call := cell.Call{
		Path:    id,
		Timeout: callTimeout,
	}
	jobState, rejection := j.gateway.findJob(ctx, id, visibleTo(cell.Queue{}, workspace))
	if rejection != nil {
		return caller.Status{}, outcomeError(*rejection)
	}
	if response := j.gateway.cancelJob(ctx, call, id, jobState); response.Outcome != cell.OutcomeOK {
		return caller.Status{}, outcomeError(response)
	}
	// The mirror may not have applied the cancellation yet.
	jobState.Cancelled = true
	return callerStatus(jobState), nil
}

// Lookup returns the status of a job once the job has ended, or after wait.
func (j *JobService) Lookup(ctx context.Context, workspace, id string, wait time.Duration) (caller.Status, error) {
	jobState, rejection := j.gateway.findJob(ctx, id, visibleTo(cell.Queue{}, workspace))
	if rejection != nil {
		return caller.Status{}, outcomeError(*rejection)
	}
	deadline := j.gateway.config.BootTime.Now() + wait
	for {
		status := callerStatus(jobState)
		if status.State.Ended() || j.gateway.config.BootTime.Now() >= deadline {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("wait for %s: %w", id, context.Cause(ctx))
		case <-j.gateway.config.Clock.After(statePollInterval):
		}
		if current, ok := j.gateway.config.Mirror.Job(id); ok {
			jobState = current
		}
	}
}

// Ready returns nil if this entry can authenticate callers, otherwise the reason why not.
func (j *JobService) Ready() error {
	if !j.gateway.config.Mirror.Operations().Loaded {
		return fmt.Errorf("no document is published: %w", errNotReady)
	}
	if !j.gateway.keysUpToDate() {
		return fmt.Errorf("the document can't be confirmed: %w", errNotReady)
	}
	return nil
}

// Submit stores a job and waits up to wait for its end.
func (j *JobService) Submit(ctx context.Context, job *caller.Job, wait time.Duration) (caller.Status, error) {
	queue, err := j.queue(job.Queue)
	if err != nil {
		return caller.Status{}, err
	}
	call := cell.Call{
		Path:    queue.Prefix + job.ID,
		Timeout: callTimeout,
	}
	existing, ok := j.gateway.config.Mirror.Job(job.ID)
	if ok && existing.Job.GetWorkspace() != job.Workspace {
		return caller.Status{Workspace: existing.Job.GetWorkspace()}, nil
	}
	response := j.gateway.acceptJob(ctx, call, queue, job.Workspace, job.ID, job.CellJob())
	if response.Outcome != cell.OutcomeOK {
		return caller.Status{}, outcomeError(response)
	}
	return j.Lookup(ctx, job.Workspace, job.ID, wait)
}

// queue returns the queue that a job names, or Findings.
func (j *JobService) queue(name string) (cell.Queue, error) {
	if queue, ok := j.gateway.config.Mirror.Operations().Config.SelectQueue(name); ok {
		return queue, nil
	}
	problem := "is missing, and the document has several"
	if name != "" {
		problem = fmt.Sprintf("%q is not in the document", name)
	}
	return cell.Queue{}, caller.Findings{
		{
			Field:   "queue",
			Problem: problem,
		},
	}
}

// outcomeError converts an unsuccessful response to an error that the functions of caller.ServerConfig may return.
func outcomeError(response cell.Response) error {
	switch response.Outcome {
	case cell.OutcomeNotRun, cell.OutcomeUnavailable:
		return fmt.Errorf("%s: %w", response.Reason, caller.ErrNotAccepted)
	case cell.OutcomeNoJob:
		return caller.ErrNotFound
	case cell.OutcomeInvalid:
		return caller.Findings{
			{
				Problem: response.Reason,
			},
		}
	case cell.OutcomeOK, cell.OutcomeUnknown, cell.OutcomeNoQueue, cell.OutcomeDenied:
	}
	return fmt.Errorf("%s: %s", response.Outcome, response.Reason)
}

func callerStatus(jobState cell.JobState) caller.Status {
	return caller.Status{
		ID:        jobState.Job.GetId(),
		State:     callerStates[jobState.State()],
		Workspace: jobState.Job.GetWorkspace(),
	}
}

//nolint:gochecknoglobals // a constant table
var callerStates = map[cellpb.State]caller.State{
	cellpb.State_STATE_QUEUED:    caller.StateQueued,
	cellpb.State_STATE_RUNNING:   caller.StateRunning,
	cellpb.State_STATE_DONE:      caller.StateDone,
	cellpb.State_STATE_FAILED:    caller.StateFailed,
	cellpb.State_STATE_CANCELLED: caller.StateCancelled,
}
