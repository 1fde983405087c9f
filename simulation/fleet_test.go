package simulation

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// restoreTime is how long a run needs to resume from a checkpoint.
const restoreTime = 100 * time.Millisecond

// fleet is all executors of a simulation.
type fleet struct {
	world *world
	// maxLease and stopGrace are bounds of the executors.
	maxLease  time.Duration
	stopGrace time.Duration
	jobs      map[string]jobPlan
	hosts     []*host
	mu        sync.Mutex
	gangs     map[string]*gang
	checker   *checker
	// wake holds a value when the next event may be earlier than expected.
	wake chan struct{}
	// crashing is set while runs may crash their executors, and failing while runs may fail.
	crashing bool
	failing  bool
	// takingOver is set during a takeover at the failure of a gang.
	takingOver bool
}

func newFleet(w *world, maxLease, stopGrace time.Duration, jobs []jobPlan) *fleet {
	f := &fleet{
		world:     w,
		maxLease:  maxLease,
		stopGrace: stopGrace,
		jobs:      map[string]jobPlan{},
		gangs:     map[string]*gang{},
		checker:   newChecker(w.journal, jobs),
		wake:      make(chan struct{}, 1),
		crashing:  true,
		failing:   true,
	}
	for _, job := range jobs {
		f.jobs[job.id] = job
	}
	return f
}

// run lets time act on the runs until ctx ends.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		next := f.advance(f.world.now())
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-f.world.clock.After(next):
		}
	}
}

// advance ends what is over at now and returns the time until the next event.
func (f *fleet) advance(now time.Duration) time.Duration {
	for _, h := range f.hosts {
		l := h.current
		if l == nil {
			continue
		}
		if !l.lapsed && now >= l.leaseEndsAt() {
			f.lapse(l, now)
		}
		for _, r := range sortedRuns(l) {
			if h.current != l {
				break
			}
			f.advanceRun(r, now)
		}
	}
	next := time.Hour
	for _, h := range f.hosts {
		if h.current == nil {
			continue
		}
		if !h.current.lapsed {
			next = min(next, h.current.leaseEndsAt()-now)
		}
		for _, r := range h.current.runs {
			if at, ok := r.nextEvent(); ok {
				next = min(next, at-now)
			}
		}
	}
	return max(next, 0)
}

func (f *fleet) advanceRun(r *taskRun, now time.Duration) {
	if r.how != "" {
		return
	}
	r.update(now)
	switch {
	case r.crashAt > 0 && now >= r.crashAt:
		f.world.journal.add(r.incarnation.host.name, "task=%s run=%d crashes its executor", r.task, r.number)
		f.end(r.incarnation.host, "crashed by a task", now)
		f.world.restartLater(r.incarnation.host)
	case r.working && r.worked >= r.limit:
		f.finish(r, now)
	case r.stopAt > 0 && now >= r.stopAt:
		f.endRun(r, endStopped, now)
	case r.gang != nil && !r.gang.complete && now >= r.startedAt+gangTimeout:
		f.endRun(r, endAlone, now)
	}
}

// finish ends a run that has done its work, and with it all members of its gang.
func (f *fleet) finish(r *taskRun, now time.Duration) {
	if r.gang == nil || r.endHow != endDone {
		f.endRun(r, r.endHow, now)
		return
	}
	for _, member := range r.gang.members {
		if member.how == "" {
			f.endRun(member, endDone, now)
		}
	}
}

func (f *fleet) lapse(l *incarnation, now time.Duration) {
	l.lapsed = true
	l.lapses++
	for _, r := range sortedRuns(l) {
		if r.how == "" {
			f.endRun(r, endLapsed, now)
		}
	}
}

// endRun ends a run whose end its executor lists.
func (f *fleet) endRun(r *taskRun, how string, now time.Duration) {
	l := r.incarnation
	f.closeRun(r, how, now)
	l.lastNumber++
	r.lapses = l.lapses
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.ends = append(l.ends, &cellpb.EndedTask{
		Number:     l.lastNumber,
		Task:       r.task,
		Run:        r.number,
		Kind:       endKind(how),
		Checkpoint: r.checkpoint(),
	})
	l.listedRuns[l.lastNumber] = r
	l.signalChange()
	if how != endDone {
		f.breakGang(r, now)
	}
}

// closeRun removes a run from its executor.
func (f *fleet) closeRun(r *taskRun, how string, now time.Duration) {
	r.update(now)
	r.working = false
	r.how = how
	r.endedAt = now
	delete(r.incarnation.runs, runKey{
		task:   r.task,
		number: r.number,
	})
	f.world.journal.add(r.incarnation.host.name, "ended task=%s run=%d on %s %s", r.task, r.number, r.incarnation, how)
}

func (f *fleet) breakGang(r *taskRun, now time.Duration) {
	if r.gang == nil || r.gang.broken {
		return
	}
	r.gang.broken = true
	for _, member := range r.gang.members {
		failsToo := r.how == endFailed && r.gang.failing[member]
		if member.how == "" && !failsToo {
			f.endRun(member, endBroken, now)
		}
	}
	if r.how == endFailed {
		f.takeOverAtFailure(r)
	}
}

// begin starts an incarnation on a host.
func (f *fleet) begin(h *host, newID bool) *incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.world.now()
	clockStart := time.Duration(0)
	if f.world.chance(0.5) {
		clockStart = f.world.between(0, 1000*time.Second)
	}
	clockRate := 1.0
	if f.world.chance(0.3) {
		clockRate = 0.98
	}
	h.incarnations++
	if newID {
		h.id = fmt.Sprintf("%s-%d", h.name, h.incarnations)
	}
	born := f.world.clock.Now().UnixMilli()
	h.current = newIncarnation(h, h.id, now, born, clockStart.Truncate(time.Millisecond), clockRate)
	f.world.journal.add(h.name, "executor %s begins, clock %s, rate %.2f", h.current, clockStart, clockRate)
	return h.current
}

// end ends the present incarnation of a host with everything that runs there.
func (f *fleet) end(h *host, reason string, now time.Duration) {
	l := h.current
	if l == nil {
		return
	}
	h.current = nil
	l.over = true
	f.world.journal.add(h.name, "executor %s ends: %s", l, reason)
	for _, r := range sortedRuns(l) {
		f.closeRun(r, endCrashed, now)
		f.breakGang(r, now)
	}
	l.signalChange()
	f.notify()
}

// checkID rejects an order for another incarnation.
func (f *fleet) checkID(h *host, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case h.current == nil:
		return errRefused
	case h.current.id != id:
		return cell.ErrOtherIncarnation
	}
	return nil
}

func (f *fleet) hold(ctx context.Context, h *host, order cell.HoldRequest, d delivery) (cell.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, now := h.current, f.world.now()
	if l == nil {
		return cell.Inventory{}, cell.ErrOutcomeUnknown
	}
	f.advance(now)
	d.arrive(l)
	if !l.acceptFence(order.Fence) {
		return cell.Inventory{}, &cell.OrderRejectedError{
			Reason: "fence",
		}
	}
	if order.LeaseEnd > l.clock(now)+f.maxLease+time.Second {
		f.world.journal.add(h.name, "hold of %s until %s far beyond its clock %s, %s", l, order.LeaseEnd, l.clock(now),
			d.describe(l))
	}
	l.extendLease(order.LeaseEnd, now)
	f.acknowledge(l, order.RecordedEnd, d, now)
	f.notify()
	deadline := now + order.Wait
	for len(l.ends) == 0 && !l.over && f.world.now() < deadline && ctx.Err() == nil {
		changed := l.changed
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-f.world.clock.After(deadline - f.world.now()):
		}
		f.mu.Lock()
	}
	if l.over {
		return cell.Inventory{}, fmt.Errorf("connection reset: %w", cell.ErrOutcomeUnknown)
	}
	f.advance(f.world.now())
	return l.inventory(f.world.now()), nil
}

// acknowledge drops the ends up to a number.
func (f *fleet) acknowledge(l *incarnation, number int64, d delivery, now time.Duration) {
	for len(l.ends) > 0 && l.ends[0].GetNumber() <= number {
		ended := l.listedRuns[l.ends[0].GetNumber()]
		l.ends = l.ends[1:]
		f.world.journal.add(l.host.name, "noted task=%s run=%d %s, by a hold %s", ended.task, ended.number, ended.how,
			d.describe(l))
		if ended.lapses == l.lapses {
			ended.notedBy = d.describe(l)
			f.checker.noted(ended, now)
		}
	}
}

func (f *fleet) start(h *host, order cell.TaskStart, d delivery) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, now := h.current, f.world.now()
	if l == nil {
		return cell.ErrOutcomeUnknown
	}
	f.advance(now)
	if h.current != l {
		return cell.ErrOutcomeUnknown
	}
	key := runKey{
		task:   order.Task,
		number: order.Run,
	}
	d.arrive(l)
	if !l.acceptFence(order.Fence) {
		return &cell.OrderRejectedError{
			Reason: "fence",
		}
	}
	if _, running := l.runs[key]; running {
		return nil
	}
	step, group, ok := f.step(order.Task)
	reason := ""
	switch {
	case !ok:
		reason = "invalid"
	case order.StartDeadline <= l.clock(now):
		reason = "late"
	case order.Run <= l.highest[order.Task]:
		reason = "old"
	case h.guarded && l.usedCPU()+step.cpu > h.capacity:
		reason = "room"
	}
	if reason != "late" && reason != "invalid" {
		l.extendLease(order.StartDeadline, now)
		f.notify()
	}
	if reason != "" {
		return &cell.OrderRejectedError{
			Reason: reason,
		}
	}
	f.startRun(l, key, order, step, group, d)
	return nil
}

func (f *fleet) startRun(l *incarnation, key runKey, order cell.TaskStart, step stepPlan, group string, d delivery) {
	now := f.world.now()
	r := &taskRun{
		task:        key.task,
		number:      key.number,
		incarnation: l,
		step:        step,
		delivery:    d,
		started:     d.describe(l),
		startedAt:   now,
		worked:      parseCheckpoint(order.Checkpoint),
		resumed:     parseCheckpoint(order.Checkpoint),
		updatedAt:   now,
		limit:       step.work,
		endHow:      endDone,
	}
	if r.worked > 0 {
		r.limit += restoreTime
	}
	if f.failing && !step.failsTogether && f.world.chance(step.failShare) {
		r.limit = max(r.worked, time.Duration(f.world.fraction()*float64(step.work)))
		r.endHow = endFailed
	}
	if f.crashing && f.world.chance(step.crashShare) {
		r.crashAt = now + f.world.between(time.Millisecond, 400*time.Millisecond)
	}
	l.runs[key] = r
	f.world.journal.add(l.host.name, "started task=%s run=%d on %s %s", r.task, r.number, l, r.started)
	if step.gang {
		f.joinGang(r, group)
	} else {
		r.working = true
	}
	f.checker.started(r, now)
	f.notify()
}

func (f *fleet) joinGang(r *taskRun, group string) {
	name := fmt.Sprintf("%s/%d", group, r.number)
	g, ok := f.gangs[name]
	if !ok || g.broken {
		// A member that starts after its gang has broken waits for the others alone.
		g = &gang{
			size: int(r.step.count),
		}
		f.gangs[name] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	present := map[string]bool{}
	for _, member := range g.members {
		if member.how == "" {
			present[member.task] = true
		}
	}
	if len(present) < g.size {
		return
	}
	g.complete = true
	for _, member := range g.members {
		if member.how == "" && !member.working {
			member.update(f.world.now())
			member.working = true
		}
	}
	if f.failing && r.step.failsTogether && f.world.chance(r.step.failShare) {
		f.planGangFailure(g)
	}
}

func (f *fleet) stop(h *host, order cell.TaskStop, d delivery) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, now := h.current, f.world.now()
	if l == nil {
		return cell.ErrOutcomeUnknown
	}
	f.advance(now)
	if h.current != l {
		return cell.ErrOutcomeUnknown
	}
	d.arrive(l)
	if !l.acceptFence(order.Fence) {
		return &cell.OrderRejectedError{
			Reason: "fence",
		}
	}
	l.highest[order.Task] = max(l.highest[order.Task], order.Run)
	r, running := l.runs[runKey{
		task:   order.Task,
		number: order.Run,
	}]
	f.world.journal.add(h.name, "stop task=%s run=%d on %s %s, there %t", order.Task, order.Run, l, d.describe(l), running)
	if running && r.stopAt == 0 {
		r.stopAt = now + f.world.between(time.Millisecond, f.stopGrace)
		f.notify()
	}
	return nil
}

// step returns what a task does, and the name of its step.
func (f *fleet) step(task string) (stepPlan, string, bool) {
	id, err := cell.ParseTaskID(task)
	if err != nil {
		return stepPlan{}, "", false
	}
	job, ok := f.jobs[id.Job]
	if !ok || int(id.Step) >= len(job.steps) {
		return stepPlan{}, "", false
	}
	return job.steps[id.Step], task[:strings.LastIndex(task, ".")], true
}

func (f *fleet) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func endKind(how string) cellpb.EndKind {
	switch how {
	case endDone:
		return cellpb.EndKind_END_KIND_DONE
	case endFailed:
		return cellpb.EndKind_END_KIND_FAILED
	case endStopped:
		return cellpb.EndKind_END_KIND_STOPPED
	case endLapsed:
		return cellpb.EndKind_END_KIND_LAPSED
	case endBroken:
		return cellpb.EndKind_END_KIND_BROKEN
	}
	return cellpb.EndKind_END_KIND_ALONE
}

// sortedRuns returns the runs of an incarnation in a fixed order.
func sortedRuns(l *incarnation) []*taskRun {
	return slices.SortedFunc(maps.Values(l.runs), func(x, y *taskRun) int {
		return cmp.Or(cmp.Compare(x.task, y.task), cmp.Compare(x.number, y.number))
	})
}
