package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Board holds the jobs and executors of a cell and decides. It isn't safe for concurrent use.
type Board struct {
	config     Config
	operations cell.Operations
	jobs       map[string]*job
	executors  map[string]*executor
	estimates  estimates
	// batch is the number of the batch that takes the present decisions, committed the last one that is stored.
	batch     int64
	committed int64
	// placed are the runs that may exist, by agent.
	placed map[string]map[*placement]bool
	// replan is set when something changed that may let work be placed.
	replan bool
	// planned is when the last pass began.
	planned time.Duration
	// began is when this scheduler took over.
	began time.Duration
	drops []string
}

// Batch is the progress to store before its orders leave.
type Batch struct {
	Number   int64
	Progress []*cellpb.Progress
	// Drops are jobs to forget.
	Drops []string
}

// New returns an empty board of a scheduler that takes over now.
func New(config Config, now Instant) *Board {
	return &Board{
		config:    config.withDefaults(),
		jobs:      map[string]*job{},
		executors: map[string]*executor{},
		placed:    map[string]map[*placement]bool{},
		estimates: newEstimates(),
		batch:     1,
		began:     now.Boot,
	}
}

// Commit makes the orders of a stored batch visible and its ends acknowledged.
func (b *Board) Commit(number int64) {
	b.committed = max(b.committed, number)
	for _, e := range b.executors {
		if e.settle(b.committed) {
			e.version++
		}
		for place := range b.placed[e.agent] {
			if place.batch == number {
				e.version++
			}
		}
	}
}

// SetOperations takes over what the operators published.
func (b *Board) SetOperations(operations cell.Operations) {
	if operations.Config.Version != b.operations.Config.Version ||
		!maps.Equal(operations.Evacuated, b.operations.Evacuated) {
		b.replan = true
	}
	b.operations = operations
}

// SetJob takes over what the log says about a job that the board doesn't know, and a cancellation of one that it knows.
func (b *Board) SetJob(tracked cell.Tracked, now Instant) {
	j, ok := b.jobs[tracked.Job.GetId()]
	if !ok {
		j = newJob(tracked.Job, now)
		j.restore(tracked.Progress, now)
		b.jobs[tracked.Job.GetId()] = j
		b.replan = true
		for _, place := range j.placements() {
			b.put(place)
		}
		if !j.active() {
			b.stopRest(j)
		}
	}
	if tracked.Cancelled && !j.cancelled {
		b.cancel(j, now)
	}
}

// TakeBatch returns what has to be stored, or a batch without content.
func (b *Board) TakeBatch() Batch {
	taken := Batch{
		Number: b.batch - 1,
		Drops:  b.drops,
	}
	for _, j := range b.jobs {
		if !j.dirty {
			continue
		}
		j.dirty = false
		taken.Progress = append(taken.Progress, j.progress())
	}
	b.drops = nil
	// An empty batch has the number of the one before: storing it must not count for decisions that came since.
	if !taken.Empty() {
		taken.Number = b.batch
		b.batch++
	}
	return taken
}

// Empty reports whether the batch holds nothing.
func (b Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.Drops) == 0
}

// Orders returns the answer to an agent's report.
func (b *Board) Orders(agent string, now Instant) *cellpb.Orders {
	e, ok := b.executors[agent]
	if !ok || e.state == nil || !e.confirmed {
		return &cellpb.Orders{}
	}
	orders := &cellpb.Orders{
		Executor: e.state.GetId(),
		Born:     e.state.GetBorn(),
		Recorded: e.recorded,
		GrantMs:  e.state.GetClockMs() + b.config.Grant.Milliseconds(),
	}
	for _, stop := range e.strays {
		orders.Stops = append(orders.Stops, stop)
	}
	for place := range b.placed[agent] {
		if place.life != e.life {
			continue
		}
		switch {
		case place.stopping:
			orders.Stops = append(orders.Stops, &cellpb.Stop{
				Task: place.task.id.String(),
				Run:  place.run,
			})
		case !place.running && place.batch <= b.committed:
			place.sent = true
			orders.Starts = append(orders.Starts, &cellpb.Start{
				Task:       place.task.id.String(),
				Run:        place.run,
				Spec:       place.task.group.job.spec.GetSpec(),
				Checkpoint: place.task.checkpoint,
			})
		}
	}
	return orders
}

// Version changes whenever there is something new to tell an agent.
func (b *Board) Version(agent string) int64 {
	if e, ok := b.executors[agent]; ok {
		return e.version
	}
	return 0
}

// Agents returns the addresses of the agents that were heard lately.
func (b *Board) Agents(now Instant) []string {
	var addresses []string
	for _, e := range b.executors {
		if now.Boot-e.heard < b.config.Silence && e.address != "" {
			addresses = append(addresses, e.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Report takes over an agent's report. It returns false for a report that was overtaken by another.
func (b *Board) Report(report *cellpb.Report, epoch int64, now Instant) bool {
	e := b.executor(report.GetAgent())
	if report.GetProcess() < e.process ||
		(report.GetProcess() == e.process && report.GetSequence() <= e.sequence) {
		return false
	}
	e.process = report.GetProcess()
	e.sequence = report.GetSequence()
	e.address = report.GetAddress()
	if report.GetExecutor() == nil || report.GetEpoch() != epoch {
		// Before the executor was touched with this epoch, an order of the predecessor may still take effect there.
		return true
	}
	if !e.confirmed || now.Boot-e.heard > b.config.Silence {
		b.replan = true
	}
	e.heard = now.Boot
	e.confirmed = true
	b.meet(e, report)
	b.takeEnds(e, report, now)
	b.takeRejections(e, report, now)
	b.takeRunning(e, report, now)
	if e.state.GetGone() {
		for _, place := range b.at(e.agent) {
			b.lose(place, "executor ended")
		}
	}
	return true
}

func (b *Board) executor(agent string) *executor {
	e, ok := b.executors[agent]
	if !ok {
		e = &executor{
			agent:  agent,
			strays: map[string]*cellpb.Stop{},
		}
		b.executors[agent] = e
	}
	return e
}

// meet takes over the executor's own state. What ran in an earlier life is gone, unless this life runs it.
func (b *Board) meet(e *executor, report *cellpb.Report) {
	life := lifeOf(report.GetExecutor())
	fresh := life != e.life
	if fresh || e.state.GetDraining() != report.GetExecutor().GetDraining() {
		b.replan = true
		e.version++
	}
	e.state = report.GetExecutor()
	if !fresh {
		return
	}
	e.life = life
	e.ends = nil
	e.seen = 0
	e.recorded = 0
	e.strays = map[string]*cellpb.Stop{}
	e.health = health{}
	b.config.Log("executor life", "agent", e.agent, "executor", life, "zone", e.state.GetZone(),
		"labels", strings.Join(e.state.GetLabels(), ","))
	running := map[string]int32{}
	for _, r := range report.GetRunning() {
		running[r.GetTask()] = r.GetRun()
	}
	for _, place := range b.at(e.agent) {
		switch {
		case place.life == life:
		case running[place.task.id.String()] == place.run:
			place.life = life
			place.task.group.job.dirty = true
		default:
			b.lose(place, "executor started anew")
		}
	}
}

func (b *Board) takeEnds(e *executor, report *cellpb.Report, now Instant) {
	for _, end := range report.GetEnded() {
		if end.GetNumber() <= e.seen {
			continue
		}
		e.seen = end.GetNumber()
		delete(e.strays, end.GetTask())
		b.end(e, end, now)
		e.ends = append(e.ends, processedEnd{
			number: end.GetNumber(),
			batch:  b.pendingBatch(end.GetTask()),
		})
	}
	if e.settle(b.committed) {
		e.version++
	}
}

// pendingBatch returns the batch that an end of the task waits for: none if the end changed nothing.
func (b *Board) pendingBatch(name string) int64 {
	t := b.findTask(name)
	if t == nil || !t.group.job.dirty {
		return b.batch - 1
	}
	return b.batch
}

func (b *Board) takeRejections(e *executor, report *cellpb.Report, now Instant) {
	for _, rejected := range report.GetRejected() {
		delete(e.strays, rejected.GetTask())
		t := b.findTask(rejected.GetTask())
		if t == nil || t.place == nil || t.place.agent != e.agent || t.place.run != rejected.GetRun() {
			continue
		}
		b.config.Log("start rejected", "task", rejected.GetTask(), "run", rejected.GetRun(), "agent", e.agent,
			"reason", rejected.GetReason())
		switch rejected.GetReason() {
		case "room", "unhealthy":
			e.holdOff = now.Boot + rejectionPause
		}
		b.drop(t.place)
		t.group.job.dirty = true
		t.group.retryAt = now.Boot + retryPause
		b.breakGang(t.group)
	}
}

const (
	// rejectionPause keeps work away from an executor that refused a start.
	rejectionPause = 500 * time.Millisecond
	// retryPause keeps a refused start from being repeated in a tight loop.
	retryPause = 50 * time.Millisecond
)

func (b *Board) takeRunning(e *executor, report *cellpb.Report, now Instant) {
	present := map[string]bool{}
	for _, running := range report.GetRunning() {
		present[running.GetTask()] = true
		t := b.findTask(running.GetTask())
		if t == nil || t.place == nil || t.place.run != running.GetRun() || t.place.life != e.life {
			b.stray(e, running)
			continue
		}
		t.place.observe(running, now)
		if running.GetCheckpoint() != "" {
			t.checkpoint = running.GetCheckpoint()
		}
		if !t.group.job.begun {
			t.group.job.begun = true
			t.group.job.state = max(t.group.job.state, cellpb.State_STATE_RUNNING)
			t.group.job.dirty = true
		}
	}
	for name := range e.strays {
		if !present[name] {
			delete(e.strays, name)
		}
	}
	for place := range b.placed[e.agent] {
		if place.life == e.life && place.running && !present[place.task.id.String()] {
			// Neither running nor ended: the order is given again and the executor answers what became of it.
			place.running = false
			e.version++
		}
	}
}

// stray remembers a run that must not exist, to have it stopped.
func (b *Board) stray(e *executor, running *cellpb.RunningTask) {
	if _, ok := e.strays[running.GetTask()]; !ok {
		b.config.Log("stray run", "task", running.GetTask(), "run", running.GetRun(), "agent", e.agent)
		e.version++
	}
	e.strays[running.GetTask()] = &cellpb.Stop{
		Task: running.GetTask(),
		Run:  running.GetRun(),
	}
}

func (p *placement) observe(running *cellpb.RunningTask, now Instant) {
	p.sent = true
	if !p.running {
		p.running = true
		p.started = now.Boot
		p.moved = now.Boot
		p.saved = now.Boot
		p.percent = running.GetPercent()
		p.basePercent = running.GetPercent()
	}
	if running.GetPercent() != p.percent {
		p.percent = running.GetPercent()
		p.moved = now.Boot
	}
	if running.GetCheckpoint() != "" && running.GetCheckpoint() != p.task.checkpoint {
		p.saved = now.Boot
	}
}

// end takes over one end. An end of a run that isn't the task's present one says nothing about the task.
func (b *Board) end(e *executor, end *cellpb.EndedTask, now Instant) {
	t := b.findTask(end.GetTask())
	if t == nil || t.place == nil || t.place.run != end.GetRun() || t.place.life != e.life {
		return
	}
	place := t.place
	b.drop(place)
	j := t.group.job
	j.dirty = true
	j.begun = true
	j.state = max(j.state, cellpb.State_STATE_RUNNING)
	if end.GetCheckpoint() != "" {
		t.checkpoint = end.GetCheckpoint()
	}
	b.config.Log("end", "task", end.GetTask(), "run", end.GetRun(), "agent", e.agent, "kind", end.GetKind().String(),
		"ran", (now.Boot - place.started).Milliseconds())
	switch end.GetKind() {
	case cellpb.EndKind_END_KIND_DONE:
		b.succeed(e, place, now)
	case cellpb.EndKind_END_KIND_FAILED:
		b.fail(e, place, now)
	default:
		b.breakGang(t.group)
	}
}

func (b *Board) succeed(e *executor, place *placement, now Instant) {
	t := place.task
	e.health.succeeded()
	if t.group.step.GetPersistent() {
		return
	}
	b.estimates.learn(t.group, place, now)
	t.done = true
	if t.group.step.GetGang() {
		for _, member := range t.group.tasks {
			member.done = true
		}
	}
	b.finish(t.group.job, now)
}

func (b *Board) fail(e *executor, place *placement, now Instant) {
	t := place.task
	t.failedOn = e.agent
	b.blame(e, t.group.job, now)
	failures := int32(0)
	if t.group.step.GetGang() {
		t.group.failures++
		failures = t.group.failures
	} else {
		t.failures++
		failures = t.failures
	}
	b.breakGang(t.group)
	limit := t.group.job.spec.GetMaxFailures()
	if queue, ok := b.operations.Config.Queue(t.group.job.spec.GetQueue()); ok {
		limit = int32(queue.MaxFailures)
	}
	if t.group.step.GetPersistent() || failures < limit || !t.group.job.active() {
		return
	}
	b.close(t.group.job, cellpb.State_STATE_FAILED, now)
}

// blame tells a job that fails everywhere from an executor that fails everything.
func (b *Board) blame(e *executor, j *job, now Instant) {
	id := j.spec.GetId()
	if j.failedAt == nil {
		j.failedAt = map[string]bool{}
	}
	j.failedAt[e.agent] = true
	if len(j.failedAt) >= faultyJob {
		for agent := range j.failedAt {
			b.executors[agent].health.acquit(id)
		}
		return
	}
	if e.health.failed(id, now.Boot) {
		b.config.Log("executor set aside", "agent", e.agent, "executor", e.life, "failing", len(e.health.failing),
			"for", e.health.duration.Milliseconds())
	}
}

// breakGang stops the other members of a gang of which one is gone.
func (b *Board) breakGang(g *group) {
	if !g.step.GetGang() || g.done() {
		return
	}
	for _, t := range g.tasks {
		b.stop(t.place)
	}
}

// stop has a run stopped. One that never left the scheduler is withdrawn.
func (b *Board) stop(place *placement) {
	if place == nil {
		return
	}
	if !place.sent {
		b.drop(place)
		place.task.group.job.dirty = true
		return
	}
	if !place.stopping {
		place.stopping = true
		b.touch(place.agent)
	}
}

// put takes note of a run that may exist from now on, drop of one that surely doesn't.
func (b *Board) put(place *placement) {
	place.task.place = place
	if b.placed[place.agent] == nil {
		b.placed[place.agent] = map[*placement]bool{}
	}
	b.placed[place.agent][place] = true
}

func (b *Board) drop(place *placement) {
	place.task.place = nil
	delete(b.placed[place.agent], place)
	b.replan = true
}

// at returns what may exist at an agent's executor.
func (b *Board) at(agent string) []*placement {
	return slices.Collect(maps.Keys(b.placed[agent]))
}

// touch has the agent told of its orders.
func (b *Board) touch(agent string) {
	if e, ok := b.executors[agent]; ok {
		e.version++
	}
}

func (b *Board) finish(j *job, now Instant) {
	if j.active() && j.complete() {
		b.close(j, cellpb.State_STATE_DONE, now)
	}
}

func (b *Board) cancel(j *job, now Instant) {
	j.cancelled = true
	if j.active() {
		b.close(j, cellpb.State_STATE_CANCELLED, now)
	}
}

// close ends a job; what still runs of it is stopped.
func (b *Board) close(j *job, state cellpb.State, now Instant) {
	j.state = state
	j.endedMs = now.Wall
	j.dirty = true
	b.config.Log("job ended", "job", j.spec.GetId(), "state", state.String(), "queue", j.spec.GetQueue())
	b.stopRest(j)
}

// stopRest stops the runs of an ended job. The members of a gang that is done end by themselves.
func (b *Board) stopRest(j *job) {
	for _, place := range j.placements() {
		if !place.task.done {
			b.stop(place)
		}
	}
}

// lose gives up a run that surely doesn't exist any more.
func (b *Board) lose(place *placement, reason string) {
	b.config.Log("run lost", "task", place.task.id.String(), "run", place.run, "agent", place.agent, "reason", reason)
	b.drop(place)
	place.task.group.job.dirty = true
	b.breakGang(place.task.group)
}

// Expire gives up what ran at executors that were silent for longer than their leases, and forgets old jobs.
func (b *Board) Expire(now Instant) {
	for agent := range b.placed {
		b.expireAt(agent, now)
	}
	for id, j := range b.jobs {
		over := !j.active() && len(j.placements()) == 0 && !j.dirty
		if over && now.Wall-j.endedMs > b.config.Retention.Milliseconds() {
			delete(b.jobs, id)
			b.drops = append(b.drops, id)
		}
	}
}

func (b *Board) expireAt(agent string, now Instant) {
	e := b.executors[agent]
	silent := e == nil || !e.confirmed
	if !silent && now.Boot-e.heard <= b.config.Silence {
		return
	}
	for _, place := range b.at(agent) {
		switch {
		case !place.sent:
			b.lose(place, "order never left")
		case silent && now.Boot-b.began > b.config.Predecessor+b.config.lapse():
			b.lose(place, "executor never heard")
		case !silent && now.Boot-e.heard > b.config.lapse():
			b.lose(place, "lease lapsed")
		}
	}
}

func (b *Board) eachPlacement(visit func(place *placement)) {
	for _, places := range b.placed {
		for place := range places {
			visit(place)
		}
	}
}

func (b *Board) findTask(name string) *task {
	id, err := cell.ParseTaskID(name)
	if err != nil {
		return nil
	}
	j, ok := b.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.task(id)
}
