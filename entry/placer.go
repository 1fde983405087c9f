package entry

import (
	"context"
	"sync"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/placement"
)

const (
	placerInterval = 100 * time.Millisecond
	// holdLimit is how long an agent keeps a reservation that is not committed.
	holdLimit = 3 * time.Second
	// unseenLimit is how long a placed job may be missing from all announcements: the hold's limit and two of them.
	unseenLimit = holdLimit + 2*time.Second
	// pollLimit drops a queued job whose owner stopped asking for it.
	pollLimit = 5 * time.Second
)

// placeWait is an owner's wait for a reservation.
type placeWait struct {
	request *peerpb.Place
	result  chan *peerpb.PlaceReply
	// polled is when the owner last asked.
	polled time.Time
	// reserving says that the job is placed and its members are being held.
	reserving bool
}

// answer gives the owner a reply, now or when it asks next. Only the first one counts.
func (w *placeWait) answer(reply *peerpb.PlaceReply) {
	select {
	case w.result <- reply:
	default:
	}
}

// placedJob is a job that the scheduler has placed.
type placedJob struct {
	attempt *peerpb.Attempt
	members []*peerpb.Member
	// seen is when it was placed or last announced.
	seen time.Time
	// evicted says that its agents were told to end it.
	evicted bool
}

// endedAttempt is an attempt that its owner or its agents declared ended.
type endedAttempt struct {
	attempt *peerpb.Attempt
	at      time.Time
}

// placer decides where gang jobs run while this entry holds the highest term.
type placer struct {
	entry *Entry
	kicks chan struct{}

	mu sync.Mutex
	// scheduler is nil while another entry is the placer.
	scheduler *placement.Scheduler
	term      *peerpb.Term
	revision  int64
	workers   map[string]placement.Worker
	waits     map[string]*placeWait
	placed    map[string]*placedJob
	// suspects are the agents that refused or missed a hold, with the time; they get no new work until they announce
	// themselves again.
	suspects map[string]time.Time
	// ended holds, by job, what announcements from before the end may still show as running.
	ended map[string]endedAttempt
}

func newPlacer(e *Entry) *placer {
	return &placer{
		entry: e,
		kicks: make(chan struct{}, 1),
	}
}

// explain says why a job waits.
func (p *placer) explain(job string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return nil
	}
	return p.scheduler.Explain(job)
}

// forget takes a job's end from its owner.
func (p *placer) forget(forget *peerpb.Forget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return
	}
	p.endPlaced(forget)
	p.kick()
}

// endPlaced ends a job's attempt that is known to have ended.
func (p *placer) endPlaced(forget *peerpb.Forget) {
	if placed, ok := p.placed[forget.GetJob()]; ok {
		p.ended[forget.GetJob()] = endedAttempt{
			attempt: placed.attempt,
			at:      p.entry.config.Clock.Now(),
		}
	}
	p.endLocked(forget)
}

func (p *placer) endLocked(forget *peerpb.Forget) {
	now := p.entry.config.Clock.Now()
	job := forget.GetJob()
	if _, ok := p.placed[job]; ok {
		p.scheduler.Ended(now, job, placement.Result{
			OK:           forget.GetOk(),
			FailedWorker: forget.GetAgent(),
			Reason:       forget.GetReason(),
		})
		delete(p.placed, job)
	}
	if wait, ok := p.waits[job]; ok && wait.reserving {
		// The reservation in progress is for an attempt that ended.
		wait.answer(&peerpb.PlaceReply{
			Reasons: []string{"the attempt was superseded"},
		})
		delete(p.waits, job)
	}
	if !forget.GetOk() && !forget.GetAgain() {
		p.scheduler.Cancel(now, job)
		delete(p.waits, job)
	}
}

// kick asks for a decision soon.
func (p *placer) kick() {
	select {
	case p.kicks <- struct{}{}:
	default:
	}
}

// place queues a job and waits for its reservation, at most as long as the request says.
func (p *placer) place(ctx context.Context, request *peerpb.Place) *peerpb.PlaceReply {
	wait, reply := p.enqueue(request)
	if reply != nil {
		return reply
	}
	p.kick()
	select {
	case reply = <-wait.result:
		p.take(wait)
		return reply
	case <-ctx.Done():
	case <-p.entry.config.Clock.After(request.GetWait().AsDuration()):
	}
	select {
	case reply = <-wait.result:
		p.take(wait)
		return reply
	default:
	}
	return &peerpb.PlaceReply{
		Reasons: p.explain(request.GetJob().GetId()),
	}
}

// take drops a wait whose owner got its reply.
func (p *placer) take(wait *placeWait) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if job := wait.request.GetJob().GetId(); p.waits[job] == wait {
		delete(p.waits, job)
	}
}

// enqueue submits the job unless it is queued already; a reply says that there is nothing to wait for.
func (p *placer) enqueue(request *peerpb.Place) (*placeWait, *peerpb.PlaceReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return nil, &peerpb.PlaceReply{
			Reasons: []string{"this entry is not the placer"},
		}
	}
	id := request.GetJob().GetId()
	now := p.entry.config.Clock.Now()
	if placed, ok := p.placed[id]; ok {
		if wait, waiting := p.waits[id]; waiting && compareAttempts(wait.request.GetAttempt(), request.GetAttempt()) == 0 {
			// The same attempt is being reserved: the owner's earlier call timed out.
			wait.polled = now
			return wait, nil
		}
		p.entry.logger.Info("owner asks again for a placed job", "job", id, "attempt", attemptText(placed.attempt))
		p.endPlaced(&peerpb.Forget{
			Job:   id,
			Again: true,
		})
	}
	wait, ok := p.waits[id]
	if !ok {
		if err := p.scheduler.Submit(now, placementJob(request.GetJob())); err != nil {
			return nil, &peerpb.PlaceReply{
				Impossible: true,
				Reasons:    []string{err.Error()},
			}
		}
		wait = &placeWait{
			result: make(chan *peerpb.PlaceReply, 1),
		}
		p.waits[id] = wait
	}
	wait.request = request
	wait.polled = now
	return wait, nil
}

// run decides whenever something changed, at least every placerInterval.
func (p *placer) run(ctx context.Context) error {
	var holds sync.WaitGroup
	defer holds.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.kicks:
		case <-p.entry.config.Clock.After(placerInterval):
		}
		for _, step := range p.decide() {
			holds.Go(func() { step(ctx) })
		}
	}
}

// decide brings the scheduler up to date and returns the steps to carry out.
func (p *placer) decide() []func(context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.config.Clock.Now()
	if !p.syncTerm() {
		return nil
	}
	p.syncPolicy()
	p.syncWorkers(now)
	p.syncTasks(now)
	p.dropUnpolled(now)
	var steps []func(context.Context)
	for _, decided := range p.scheduler.Decide(now) {
		if step := p.carryOut(now, decided); step != nil {
			steps = append(steps, step)
		}
	}
	return steps
}

// carryOut turns a decision into a step that runs without the lock.
func (p *placer) carryOut(now time.Time, decided placement.Decision) func(context.Context) {
	wait := p.waits[decided.Job]
	switch decided.Kind {
	case placement.Place:
		return p.carryOutPlace(now, decided, wait)
	case placement.Evict:
		return p.carryOutEvict(decided)
	case placement.Refuse:
		p.write(decided, wait)
		if wait != nil {
			wait.answer(&peerpb.PlaceReply{
				Impossible: true,
				Reasons:    decided.Reasons,
			})
			delete(p.waits, decided.Job)
		}
	case placement.Wait:
		p.write(decided, wait)
	}
	return nil
}

func (p *placer) carryOutPlace(now time.Time, decided placement.Decision, wait *placeWait) func(context.Context) {
	members, ok := p.members(decided.Members)
	if wait == nil || !ok {
		p.scheduler.Ended(now, decided.Job, placement.Result{
			Reason: "its owner or an agent is gone",
		})
		return nil
	}
	p.write(decided, wait)
	wait.reserving = true
	p.placed[decided.Job] = &placedJob{
		attempt: wait.request.GetAttempt(),
		members: members,
		seen:    now,
	}
	reservation := &peerpb.Reservation{
		Attempt:  wait.request.GetAttempt(),
		Members:  members,
		Term:     p.term,
		Borrowed: decided.Borrowed,
	}
	return func(ctx context.Context) { p.reserve(ctx, wait, reservation) }
}

func (p *placer) carryOutEvict(decided placement.Decision) func(context.Context) {
	p.write(decided, p.waits[decided.Job])
	placed, ok := p.placed[decided.Job]
	if !ok {
		return nil
	}
	placed.evicted = true
	run := p.gangRun(decided.Job, placed.attempt, placed.members)
	return func(ctx context.Context) { run.release(ctx, decided.Checkpoint, decided.Limit) }
}

// members looks up the agents of a placement.
func (p *placer) members(assignments []placement.Assignment) ([]*peerpb.Member, bool) {
	members := make([]*peerpb.Member, 0, len(assignments))
	for _, assignment := range assignments {
		view, ok := p.entry.fleet.get(assignment.Worker)
		if !ok {
			return nil, false
		}
		members = append(members, &peerpb.Member{
			Agent:        view.id,
			Address:      view.address,
			Accelerators: assignment.Accelerators,
		})
	}
	return members, true
}

// write records a decision.
func (p *placer) write(decided placement.Decision, wait *placeWait) {
	line := decision{
		Kind:    string(decided.Kind),
		Job:     decided.Job,
		Reasons: decided.Reasons,
	}
	if decided.Kind == placement.Place {
		for _, member := range decided.Members {
			line.Agents = append(line.Agents, member.Worker)
		}
	}
	if placed, ok := p.placed[decided.Job]; ok {
		line.Generation = placed.attempt.GetGeneration()
		line.Count = placed.attempt.GetCount()
		for _, member := range placed.members {
			line.Agents = append(line.Agents, member.GetAgent())
		}
	}
	if wait != nil {
		line.Generation = wait.request.GetAttempt().GetGeneration()
		line.Count = wait.request.GetAttempt().GetCount()
	}
	if state, ok := p.entry.jobs.state(decided.Job); ok {
		line.Workspace = state.Job.GetWorkspace()
	}
	p.entry.trace.write(line)
}
