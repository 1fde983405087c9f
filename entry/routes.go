package entry

import (
	"errors"
	"fmt"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/routing"
)

// pick chooses a backend server for the request.
func (r *runner) pick() (agentView, bool) {
	now := r.entry.config.Clock.Now()
	request := routing.Request{
		Job:        r.job.GetId(),
		Workspace:  r.job.GetWorkspace(),
		Kind:       r.job.GetKind(),
		Idempotent: r.job.GetIdempotent(),
		Declared:   r.job.GetDeclared().AsDuration(),
		Zone:       r.entry.config.Zone,
		Exclude:    r.excluded,
	}
	if r.job.GetDeadline() != nil {
		request.Deadline = r.job.GetDeadline().AsTime()
	}
	choice, err := r.entry.router.Pick(now, request, r.entry.backendServers())
	if err != nil {
		// Every server refused it or is busy: the next try may use any.
		r.excluded = nil
		r.setState(stateQueued, err.Error())
		return agentView{}, false
	}
	view, ok := r.entry.fleet.get(choice.Server)
	r.large = choice.Large
	r.picked = now
	r.entry.trace.write(decision{
		Kind:       "route",
		Job:        r.job.GetId(),
		Workspace:  r.job.GetWorkspace(),
		Generation: r.generation,
		Count:      r.count + 1,
		Agents:     []string{choice.Server},
		Zone:       view.worker.GetZone(),
		Reasons:    []string{fmt.Sprintf("estimate %s, wait %s", choice.Estimate, choice.Wait)},
		Passed:     passedOver(choice.Passed),
	})
	return view, ok
}

func passedOver(passed []routing.Passed) []string {
	texts := make([]string, 0, len(passed))
	for _, server := range passed {
		texts = append(texts, fmt.Sprintf("%s: %s", server.Server, server.Reason))
	}
	return texts
}

// backendServers lists the announced backend servers for the router.
func (e *Entry) backendServers() []routing.Server {
	parsed := e.documents.parsed()
	views := e.fleet.list()
	servers := make([]routing.Server, 0, len(views))
	for _, view := range views {
		if view.worker == nil {
			continue
		}
		zone, ok := parsed.Zone(view.worker.GetZone())
		servers = append(servers, routing.Server{
			ID:               view.id,
			Zone:             view.worker.GetZone(),
			Slots:            int(view.worker.GetSlots()),
			Outstanding:      int(view.outstanding),
			OutstandingLarge: int(view.outstandingLarge),
			Heard:            view.heard,
			Leaving:          view.leaving,
			OutOfService:     !ok || !zone.In,
		})
	}
	return servers
}

// mayRetry takes a retry from the workspace's budget.
func (e *Entry) mayRetry(job *peerpb.Job) bool {
	return e.retries.Withdraw(e.config.Clock.Now(), job.GetWorkspace())
}

// observe tells the router how the request ended at a server.
func (r *runner) observe(target agentView, result served) {
	outcome := routing.Done
	switch {
	case result.refused:
		outcome = routing.Refused
		r.excluded = append(r.excluded, target.id)
	case result.lost:
		outcome = routing.Lost
	case result.failed:
		outcome = routing.Failed
	}
	runTime := time.Duration(0)
	if outcome == routing.Done {
		runTime = r.entry.config.Clock.Since(r.picked)
	}
	r.entry.router.Observe(r.entry.config.Clock.Now(), routing.Observation{
		Server:    target.id,
		Job:       r.job.GetId(),
		Workspace: r.job.GetWorkspace(),
		Kind:      r.job.GetKind(),
		Outcome:   outcome,
		RunTime:   runTime,
	})
}

// admit checks the workspace and its limits.
func (e *Entry) admit(job *peerpb.Job) error {
	workspace, ok := e.documents.parsed().Workspace(job.GetWorkspace())
	if !ok {
		return fmt.Errorf("workspace %s: %w", job.GetWorkspace(), errNoWorkspace)
	}
	now := e.config.Clock.Now()
	err := e.router.Admit(now, routing.Limits{
		Workspace: workspace.Name,
		Rate:      workspace.Rate,
		Queue:     workspace.Queue,
		Entries:   len(e.aliveEntries(now)),
	}, e.jobs.liveOf(workspace.Name))
	if err != nil {
		return fmt.Errorf("admit job: %w", err)
	}
	e.retries.Deposit(now, workspace.Name)
	return nil
}

// errNoWorkspace marks a job of a workspace that the document does not name.
var errNoWorkspace = errors.New("workspace is not in the document")
