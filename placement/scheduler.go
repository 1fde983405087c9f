package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Scheduler places the jobs of one cell. It is not safe for concurrent use.
type Scheduler struct {
	config    Config
	cell      *cell
	finder    *finder
	plan      *plan
	estimates *estimates
	zones     map[string]Zone
	spaces    map[string]*space
	// order lists the workspaces by name.
	order   []*space
	entries map[string]*entry
	// version changes whenever something that was refused may fit.
	version uint64
	rooms   []room
	claims  []*entry
	// evictions lists the entries that are to stop.
	evictions   []*entry
	reservation reservation
	deadlines   deadlineHeap
	fresh       []*entry
	unchecked   []*entry
	// compacted is when moves for larger shapes were last considered.
	compacted time.Time
	// compactFrom is the worker at which that search went on last.
	compactFrom int
	// now is the time of the last Decide.
	now time.Time
	// first is when the first worker was seen.
	first time.Time
	out   []Decision
}

// New returns a Scheduler without workers and workspaces.
func New(config Config) *Scheduler {
	c := newCell()
	f := &finder{
		cell: c,
	}
	return &Scheduler{
		config: config.withDefaults(),
		cell:   c,
		finder: f,
		plan: &plan{
			cell:   c,
			finder: f,
		},
		estimates: newEstimates(),
		zones:     map[string]Zone{},
		spaces:    map[string]*space{},
		entries:   map[string]*entry{},
		version:   1,
	}
}

// Cancel takes a job out of the queue or, if it occupies a place, marks it so that it is not queued again when Ended
// reports its end.
func (s *Scheduler) Cancel(_ time.Time, id string) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	e.ended = true
	switch e.state {
	case queued:
		e.space.remove(e)
		s.drop(e)
	case claiming:
		s.unclaim(e)
		s.drop(e)
	case running, evicting:
	}
}

// Ended reports that a run of a job is over on all its workers.
func (s *Scheduler) Ended(now time.Time, id string, result Result) {
	e, ok := s.entries[id]
	if !ok || e.state != running && e.state != evicting {
		return
	}
	nodes := make([]*node, 0, len(e.pieces))
	for _, p := range e.pieces {
		nodes = append(nodes, p.node)
	}
	evicted := e.state == evicting
	run := now.Sub(e.started)
	s.release(e)
	switch {
	case result.OK:
		s.estimates.learn(e.job, e.done+run)
		for _, n := range nodes {
			s.change(n.health.succeed())
		}
		s.drop(e)
	case result.FailedWorker != "":
		s.fail(now, e, result)
	case evicted && e.job.evictable() && !e.ended:
		if e.job.Checkpointable {
			e.done += run
		}
		s.requeue(e)
	default:
		s.drop(e)
	}
}

// RemoveWorker takes a worker out and returns the jobs that had members on it. Their remaining members keep their
// places until Ended reports that they have stopped; then the jobs that may run again are queued.
func (s *Scheduler) RemoveWorker(now time.Time, id string) []string {
	n, ok := s.cell.byID[id]
	if !ok {
		return nil
	}
	var lost []string
	for _, e := range slices.Clone(n.entries) {
		lost = append(lost, e.job.ID)
		s.settleEvicting(e, now, 0)
	}
	s.dropClaims(n)
	s.vacate(n)
	s.cell.remove(now, n)
	s.changed()
	slices.Sort(lost)
	return lost
}

// SetPolicy replaces workspaces, guarantees and zones.
func (s *Scheduler) SetPolicy(p Policy) {
	s.cell.sortNodes()
	s.setZones(p.Zones)
	listed := map[string]bool{}
	for _, w := range p.Workspaces {
		listed[w.Name] = true
		sp := s.space(w.Name)
		sp.Workspace = w
		sp.listed = true
	}
	var units []*unit
	for _, sp := range s.order {
		if !listed[sp.Name] {
			sp.Workspace = Workspace{
				Name: sp.Name,
			}
			sp.listed = false
		}
		s.setUnits(sp)
		units = append(units, sp.units...)
	}
	s.plan.set(units)
	s.changed()
	s.resettle()
}

// SetWorker adds a worker or replaces what is known of it.
func (s *Scheduler) SetWorker(now time.Time, w Worker) {
	if s.first.IsZero() {
		s.first = now
	}
	w.Accelerators = min(w.Accelerators, maxAccelerators)
	n, ok := s.cell.byID[w.ID]
	if ok && n.Worker == w {
		return
	}
	if ok && n.Zone == w.Zone && n.Rack == w.Rack && n.Accelerators == w.Accelerators {
		s.update(n, w)
		return
	}
	if ok {
		s.RemoveWorker(now, w.ID)
	}
	n = &node{
		Worker:     w,
		all:        span(w.Accelerators),
		free:       span(w.Accelerators),
		freeCores:  w.Cores,
		freeMemory: w.Memory,
		zoneOut:    s.zoneOut(w.Zone),
	}
	delete(s.cell.past, w.ID)
	s.cell.byID[w.ID] = n
	s.cell.dirty = true
	s.cell.listed = nil
	s.changed()
}

// Submit queues a job. An error means that the job can never run and says what would have to change. A job that is
// known already is left as it is.
func (s *Scheduler) Submit(now time.Time, j Job) error {
	if _, ok := s.entries[j.ID]; ok {
		return nil
	}
	if err := j.check(); err != nil {
		return err
	}
	j = j.normalized()
	settled := !s.first.IsZero() && now.Sub(s.first) >= s.config.Settle
	if settled {
		if err := s.runnable(now, j); err != nil {
			return err
		}
	}
	e := s.newEntry(now, j)
	s.space(j.Workspace).push(e)
	s.fresh = append(s.fresh, e)
	if !settled {
		s.unchecked = append(s.unchecked, e)
	}
	if !j.Deadline.IsZero() {
		s.deadlines.add(e)
	}
	return nil
}

// Unplanned returns the guaranteed shapes that have no place because the workers in service cannot hold them.
func (s *Scheduler) Unplanned() []string {
	s.cell.sortNodes()
	s.plan.complete()
	var out []string
	for _, u := range s.plan.missing() {
		out = append(out, fmt.Sprintf("%s of workspace %s", u.shape, u.space.Name))
	}
	return out
}

// change records a new version if something changed.
func (s *Scheduler) change(changed bool) {
	if changed {
		s.changed()
	}
}

// changed makes everything that was refused be tried again.
func (s *Scheduler) changed() {
	s.version++
	s.plan.stale = true
}

// drop forgets a job.
func (s *Scheduler) drop(e *entry) {
	e.ended = true
	delete(s.entries, e.job.ID)
	if s.reservation.entry == e {
		s.unreserve()
	}
}

func (s *Scheduler) newEntry(now time.Time, j Job) *entry {
	if j.Accepted.IsZero() {
		j.Accepted = now
	}
	e := &entry{
		job:   j,
		space: s.space(j.Workspace),
	}
	s.appraise(e)
	s.entries[j.ID] = e
	return e
}

// appraise sets the estimates and the order of an entry.
func (s *Scheduler) appraise(e *entry) {
	e.expect, e.bound = s.estimates.estimate(e.job)
	e.key = e.job.Accepted.Add(min(slackFactor*e.expect, s.config.Slack))
}

// slackFactor is how much newer a job may be, in units of the run time of the job that it passes.
const slackFactor = 4

// requeue puts a job that has stopped back at its place in the order.
func (s *Scheduler) requeue(e *entry) {
	e.probe = false
	s.appraise(e)
	e.space.push(e)
}

// setUnits adapts a workspace's units to its guarantees. Units whose shape is still guaranteed stay, those with jobs
// first.
func (s *Scheduler) setUnits(sp *space) {
	old := slices.Clone(sp.units)
	slices.SortStableFunc(old, func(a, b *unit) int {
		return b.jobs - a.jobs
	})
	sp.units = nil
	for _, shape := range sp.Guarantees {
		at := slices.IndexFunc(old, func(u *unit) bool { return u.shape == shape })
		if at >= 0 {
			sp.units = append(sp.units, old[at])
			old = slices.Delete(old, at, at+1)
			continue
		}
		sp.units = append(sp.units, &unit{
			space: sp,
			shape: shape,
		})
	}
	slices.SortStableFunc(sp.units, func(a, b *unit) int {
		return a.shape.size() - b.shape.size()
	})
	for _, u := range old {
		s.displace(u)
	}
}

// space returns a workspace's state, made on first use.
func (s *Scheduler) space(name string) *space {
	sp, ok := s.spaces[name]
	if !ok {
		sp = newSpace(Workspace{
			Name: name,
		})
		s.spaces[name] = sp
		at, _ := slices.BinarySearchFunc(s.order, name, func(a *space, b string) int {
			return cmp.Compare(a.Name, b)
		})
		s.order = slices.Insert(s.order, at, sp)
	}
	return sp
}
