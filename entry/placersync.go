package entry

import (
	"time"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/placement"
)

// syncTerm creates the scheduler when this entry becomes the placer and drops it when another one does.
func (p *placer) syncTerm() bool {
	term, id := p.entry.terms.current()
	if id != p.entry.config.ID {
		p.stop()
		return false
	}
	if p.scheduler != nil {
		p.term = term
		return true
	}
	p.entry.logger.Info("become placer", "offset", term.GetOffset(), "successor", term.GetSuccessor())
	p.term = term
	p.revision = -1
	p.scheduler = placement.New(placement.Config{})
	p.workers = map[string]placement.Worker{}
	p.waits = map[string]*placeWait{}
	p.placed = map[string]*placedJob{}
	p.suspects = map[string]time.Time{}
	p.ended = map[string]endedAttempt{}
	return true
}

// stop answers the waiting owners, who then ask the new placer.
func (p *placer) stop() {
	for _, wait := range p.waits {
		wait.answer(&peerpb.PlaceReply{
			Reasons: []string{"this entry is no longer the placer"},
		})
	}
	p.scheduler = nil
	p.waits = nil
	p.placed = nil
	p.ended = nil
}

// syncPolicy passes a new document on.
func (p *placer) syncPolicy() {
	revision, _ := p.entry.documents.current()
	if revision == p.revision {
		return
	}
	p.revision = revision
	p.scheduler.SetPolicy(policy(p.entry.documents.parsed()))
}

// syncWorkers passes changed workers on and removes silent ones.
func (p *placer) syncWorkers(now time.Time) {
	current := map[string]placement.Worker{}
	for _, view := range p.entry.fleet.list() {
		if view.worker == nil || now.Sub(view.heard) > agentSilence {
			continue
		}
		worker := placementWorker(view)
		if since, ok := p.suspects[view.id]; ok && !view.heard.After(since) {
			worker.Leaving = true
		} else {
			delete(p.suspects, view.id)
		}
		current[view.id] = worker
	}
	for id := range p.workers {
		if _, ok := current[id]; !ok {
			p.entry.logger.Warn("worker is silent", "agent", id)
			p.scheduler.RemoveWorker(now, id)
			delete(p.workers, id)
		}
	}
	for id, worker := range current {
		if p.workers[id] != worker {
			p.workers[id] = worker
			p.scheduler.SetWorker(now, worker)
		}
	}
}

// syncTasks compares the scheduler's view with the announced tasks: gangs found running after a change of placer are
// restored, and placed jobs that nobody announces are dropped.
func (p *placer) syncTasks(now time.Time) {
	p.forgetEnded(now)
	p.endEvicted()
	running := map[string][]placedTask{}
	for _, view := range p.entry.fleet.list() {
		for _, task := range view.tasks {
			if task.GetEnded() {
				continue
			}
			if placed, ok := p.placed[task.GetJob()]; ok {
				placed.seen = now
				continue
			}
			if !task.GetHold() && !p.hasEnded(task) {
				running[task.GetJob()] = append(running[task.GetJob()], placedTask{
					agent:   view.id,
					address: view.address,
					task:    task,
				})
			}
		}
	}
	for job, tasks := range running {
		p.restore(now, job, tasks)
	}
	for job, placed := range p.placed {
		if now.Sub(placed.seen) > unseenLimit {
			p.endLocked(&peerpb.Forget{
				Job:    job,
				Reason: "no agent announces it",
				Again:  true,
			})
		}
	}
}

// endEvicted ends the evicted jobs whose agents announce the end of every member. Their owner may be gone, and a
// reclaim must not wait until its jobs are adopted.
func (p *placer) endEvicted() {
	for job, placed := range p.placed {
		if !placed.evicted {
			continue
		}
		ended := map[int32]bool{}
		for _, found := range p.entry.fleet.tasksOf(job) {
			if found.task.GetEnded() && compareAttempts(found.task.GetAttempt(), placed.attempt) == 0 {
				ended[found.task.GetMember()] = true
			}
		}
		if len(ended) == len(placed.members) {
			p.endPlaced(&peerpb.Forget{
				Job:    job,
				Reason: "evicted",
				Again:  true,
			})
		}
	}
}

// forgetEnded drops the ends that no announcement can lag behind any more.
func (p *placer) forgetEnded(now time.Time) {
	for job, ended := range p.ended {
		if now.Sub(ended.at) > agentGone {
			delete(p.ended, job)
		}
	}
}

// hasEnded says whether the announced attempt is known to have ended. Its accelerators are free then, and restoring it
// would keep them from the job that they were reclaimed for.
func (p *placer) hasEnded(task *peerpb.TaskInfo) bool {
	ended, ok := p.ended[task.GetJob()]
	return ok && compareAttempts(task.GetAttempt(), ended.attempt) <= 0
}

// restore tells the scheduler of a gang that another placer has placed.
func (p *placer) restore(now time.Time, job string, tasks []placedTask) {
	state, ok := p.entry.jobs.state(job)
	if !ok || state.Job == nil || state.End != nil || len(tasks) < int(max(state.Job.GetMembers(), 1)) {
		return
	}
	members := make([]*peerpb.Member, max(state.Job.GetMembers(), 1))
	assignments := make([]placement.Assignment, len(members))
	for _, found := range tasks {
		at, ok := memberIndex(found.task.GetMember(), len(members))
		if !ok {
			return
		}
		members[at] = &peerpb.Member{
			Agent:        found.agent,
			Address:      found.address,
			Accelerators: found.task.GetAccelerators(),
		}
		assignments[at] = placement.Assignment{
			Worker:       found.agent,
			Accelerators: found.task.GetAccelerators(),
		}
	}
	for _, member := range members {
		if member == nil {
			return
		}
	}
	p.placed[job] = &placedJob{
		attempt: tasks[0].task.GetAttempt(),
		members: members,
		seen:    now,
	}
	p.scheduler.Restore(now, placementJob(state.Job), assignments)
	p.entry.logger.Info("restore running gang", "job", job, "members", len(members))
}

// dropUnpolled cancels queued jobs whose owner stopped asking.
func (p *placer) dropUnpolled(now time.Time) {
	for job, wait := range p.waits {
		polled := wait.polled.Add(wait.request.GetWait().AsDuration())
		if _, placed := p.placed[job]; !placed && now.Sub(polled) > pollLimit {
			p.endLocked(&peerpb.Forget{
				Job:    job,
				Reason: "its owner stopped asking",
			})
		}
	}
}

// policy converts the operators' document.
func policy(from document.Document) placement.Policy {
	var to placement.Policy
	for _, workspace := range from.Workspaces {
		converted := placement.Workspace{
			Name:    workspace.Name,
			Share:   workspace.Share,
			Reclaim: workspace.Reclaim,
		}
		for _, shape := range workspace.Guarantees {
			converted.Guarantees = append(converted.Guarantees, placement.Shape{
				Members:      shape.Members,
				Accelerators: shape.Accelerators,
				Scope:        placement.Scope(shape.Scope),
			})
		}
		to.Workspaces = append(to.Workspaces, converted)
	}
	for _, zone := range from.Zones {
		to.Zones = append(to.Zones, placement.Zone{
			Name:   zone.Name,
			In:     zone.In,
			Finish: zone.Drain == document.DrainFinish,
		})
	}
	return to
}

func placementJob(job *peerpb.Job) placement.Job {
	converted := placement.Job{
		ID:             job.GetId(),
		Workspace:      job.GetWorkspace(),
		Kind:           job.GetKind(),
		Idempotent:     job.GetIdempotent(),
		Checkpointable: job.GetCheckpointable(),
		Urgent:         job.GetUrgent(),
		Members:        int(max(job.GetMembers(), 1)),
		Accelerators:   int(job.GetAccelerators()),
		Cores:          int(job.GetCores()),
		Memory:         job.GetMemoryBytes(),
		Scope:          placement.Scope(job.GetScope()),
		Declared:       job.GetDeclared().AsDuration(),
	}
	if job.GetDeadline() != nil {
		converted.Deadline = job.GetDeadline().AsTime()
	}
	if job.GetAccepted() != nil {
		converted.Accepted = job.GetAccepted().AsTime()
	}
	return converted
}

func placementWorker(view agentView) placement.Worker {
	return placement.Worker{
		ID:           view.id,
		Zone:         view.worker.GetZone(),
		Rack:         view.worker.GetRack(),
		Accelerators: int(view.worker.GetAccelerators()),
		Cores:        int(view.worker.GetCores()),
		Memory:       view.worker.GetMemoryBytes(),
		Leaving:      view.leaving,
	}
}
