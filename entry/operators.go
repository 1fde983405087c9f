package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/settings"
)

// Authenticate returns the workspace that a caller's token belongs to.
func (e *Entry) Authenticate(token string) (workspace string, ok bool) {
	found, ok := e.documents.parsed().WorkspaceOf(token)
	return found.Name, ok
}

// authorityLimit is when a silent process can start nothing any more: an agent's confirmation lapses after 3 s and its
// lease of the worker 1 s later.
const authorityLimit = 5 * time.Second

// InEffect names the known entries and agents that have not confirmed a revision. Processes that were silent for
// authorityLimit are left out: they start nothing until they have the newest revision.
func (e *Entry) InEffect(revision int64) []string {
	var missing []string
	if own, _ := e.documents.current(); own < revision {
		missing = append(missing, e.config.ID)
	}
	now := e.config.Clock.Now()
	for _, known := range e.members.list() {
		if known.reply.GetRevision() < revision && e.members.isAlive(known.info.GetId(), now, authorityLimit) {
			missing = append(missing, known.info.GetId())
		}
	}
	for _, view := range e.fleet.list() {
		if view.revision < revision && now.Sub(view.heard) <= authorityLimit {
			missing = append(missing, view.id)
		}
	}
	slices.Sort(missing)
	return missing
}

// OperatorConfig returns the configuration of the administration API of this entry.
func (e *Entry) OperatorConfig(operators []settings.Operator, metrics http.Handler) operator.ServerConfig {
	return operator.ServerConfig{
		Logger:     e.logger.Named("operator"),
		Clock:      e.config.Clock,
		Operators:  operators,
		Document:   e.operatorDocument,
		History:    e.history,
		Revision:   e.revision,
		Publish:    e.publish,
		Workers:    e.operatorWorkers,
		Workspaces: e.operatorWorkspaces,
		Queue:      e.queue,
		Jobs:       e.operatorJobs,
		InEffect:   e.InEffect,
		Ready:      e.Ready,
		Metrics:    metrics,
	}
}

// publish appends a document that was edited from the request's base revision.
func (e *Entry) publish(ctx context.Context, request operator.PublishRequest) (operator.PublishResult, error) {
	revision, err := e.documents.publish(ctx, &peerpb.DocumentRecord{
		Base:   request.Base,
		Text:   request.Text,
		Author: request.Author,
	})
	var stale *StaleBaseError
	switch {
	case errors.As(err, &stale):
		return operator.PublishResult{
			Revision: stale.Revision,
			Reason:   stale.Reason,
		}, nil
	case errors.Is(err, logservice.ErrRejected):
		return operator.PublishResult{}, fmt.Errorf("%w: %w", operator.ErrNotPublished, err)
	case err != nil:
		return operator.PublishResult{}, err
	}
	e.placer.kick()
	return operator.PublishResult{
		Revision: revision,
		Applied:  true,
	}, nil
}

func (e *Entry) operatorDocument() operator.Document {
	revision, text := e.documents.current()
	return operator.Document{
		Revision: revision,
		Text:     text,
	}
}

func (e *Entry) history() []operator.Revision {
	e.documents.mu.Lock()
	defer e.documents.mu.Unlock()
	revisions := e.documents.fold.History()
	converted := make([]operator.Revision, 0, len(revisions))
	for _, revision := range revisions {
		converted = append(converted, operatorRevision(revision))
	}
	return converted
}

func (e *Entry) revision(number int64) (operator.Revision, bool) {
	e.documents.mu.Lock()
	defer e.documents.mu.Unlock()
	revision, ok := e.documents.fold.Revision(number)
	return operatorRevision(revision), ok
}

func operatorRevision(from document.Revision) operator.Revision {
	return operator.Revision{
		Revision:  from.Revision,
		Author:    from.Author,
		Published: from.Published,
		Applied:   from.Applied,
		Reason:    from.Reason,
		Text:      from.Text,
	}
}

func (e *Entry) operatorWorkers() []operator.Worker {
	now := e.config.Clock.Now()
	views := e.fleet.list()
	workers := make([]operator.Worker, 0, len(views))
	for _, view := range views {
		state := "ready"
		switch {
		case now.Sub(view.heard) > agentSilence:
			state = "silent"
		case view.leaving:
			state = "leaving"
		}
		workers = append(workers, operator.Worker{
			ID:           view.id,
			Zone:         view.worker.GetZone(),
			Rack:         view.worker.GetRack(),
			Accelerators: int(view.worker.GetAccelerators()),
			Free:         view.freeAccelerators(),
			Slots:        int(view.worker.GetSlots()),
			Outstanding:  int(view.outstanding),
			State:        state,
			Revision:     view.revision,
		})
	}
	return workers
}

func (e *Entry) operatorWorkspaces() []operator.Workspace {
	parsed := e.documents.parsed()
	byName := map[string]*operator.Workspace{}
	workspaces := make([]operator.Workspace, len(parsed.Workspaces))
	for i, workspace := range parsed.Workspaces {
		workspaces[i].Name = workspace.Name
		workspaces[i].Share = workspace.Share
		for _, shape := range workspace.Guarantees {
			workspaces[i].Guarantees = append(workspaces[i].Guarantees, shape.String())
		}
		byName[workspace.Name] = &workspaces[i]
	}
	for _, job := range e.operatorJobs() {
		workspace, ok := byName[job.Workspace]
		switch {
		case !ok:
		case len(job.Workers) > 0 || job.State == stateRunning:
			workspace.Running++
		default:
			workspace.Waiting++
		}
	}
	e.countAccelerators(byName)
	return workspaces
}

// countAccelerators adds up what the announced tasks of each workspace use.
func (e *Entry) countAccelerators(workspaces map[string]*operator.Workspace) {
	for _, view := range e.fleet.list() {
		for _, task := range view.tasks {
			state, ok := e.jobs.state(task.GetJob())
			if !ok || task.GetEnded() {
				continue
			}
			if workspace, known := workspaces[state.Job.GetWorkspace()]; known {
				workspace.Accelerators += accelerators(task)
			}
		}
	}
}

// operatorJobs returns the live jobs.
func (e *Entry) operatorJobs() []operator.Job {
	states := e.jobs.ledger.Live("")
	jobs := make([]operator.Job, 0, len(states))
	for _, state := range states {
		jobs = append(jobs, e.operatorJob(state))
	}
	slices.SortFunc(jobs, func(a, b operator.Job) int { return a.Accepted.Compare(b.Accepted) })
	return jobs
}

func (e *Entry) operatorJob(state ledger.State) operator.Job {
	job := state.Job
	shown := operator.Job{
		ID:        job.GetId(),
		Workspace: job.GetWorkspace(),
		State:     stateQueued,
		Owner:     state.Owner,
		Shape:     shapeText(job),
		Accepted:  job.GetAccepted().AsTime(),
	}
	for _, placed := range e.fleet.tasksOf(job.GetId()) {
		shown.Workers = append(shown.Workers, placed.agent)
	}
	if len(shown.Workers) > 0 {
		shown.State = stateRunning
	}
	if r, ok := e.owner.get(job.GetId()); ok {
		shown.State, shown.Reasons = r.shown()
	} else if shown.State == stateQueued {
		shown.Reasons = e.placer.explain(job.GetId())
	}
	return shown
}

// queue returns the jobs that wait, with the reasons.
func (e *Entry) queue() []operator.Job {
	return slices.DeleteFunc(e.operatorJobs(), func(job operator.Job) bool { return job.State != stateQueued })
}

func shapeText(job *peerpb.Job) string {
	if isRequest(job) {
		return "request"
	}
	return document.Shape{
		Members:      int(max(job.GetMembers(), 1)),
		Accelerators: int(job.GetAccelerators()),
		Scope:        document.Scope(job.GetScope()),
	}.String()
}
