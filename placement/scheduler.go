package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Scheduler places the jobs of one cell. It is not safe for concurrent use.
type Scheduler struct {
	config           Config
	cell             *cell
	finder           *finder
	plan             *plan
	runTimeEstimator *runTimeEstimator
	zones            map[string]Zone
	workspaces       map[string]*workspace
	// order lists the workspaces by name.
	order       []*workspace
	trackedJobs map[string]*trackedJob
	// version changes whenever something that was refused may fit.
	version    uint64
	capacities []nodeCapacity
	claims     []*trackedJob
	// evictions lists the entries that are to stop.
	evictions   []*trackedJob
	reservation reservation
	deadlines   deadlineHeap
	newJobs     []*trackedJob
	unvalidated []*trackedJob
	// compacted is when moves for larger shapes were last considered.
	lastCompaction time.Time
	// compactFrom is the worker at which that search went on last.
	compactionCursor int
	// now is the time of the last Decide.
	now time.Time
	// first is when the first worker was seen.
	firstWorkerAt time.Time
	decisions     []Decision
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
		runTimeEstimator: newRunTimeEstimator(),
		zones:            map[string]Zone{},
		workspaces:       map[string]*workspace{},
		trackedJobs:      map[string]*trackedJob{},
		version:          1,
	}
}

// Cancel takes a job out of the queue or, if it occupies a place, marks it so that it is not queued again when Ended
// reports its end.
func (s *Scheduler) Cancel(_ time.Time, id string) {
	job, ok := s.trackedJobs[id]
	if !ok {
		return
	}
	job.ended = true
	switch job.state {
	case queued:
		job.workspace.remove(job)
		s.forget(job)
	case claiming:
		s.abandonClaim(job)
		s.forget(job)
	case running, evicting:
	}
}

// Ended reports that a run of a job is over on all its workers.
func (s *Scheduler) Ended(now time.Time, id string, result Result) {
	job, ok := s.trackedJobs[id]
	if !ok || job.state != running && job.state != evicting {
		return
	}
	nodes := make([]*node, 0, len(job.allocations))
	for _, alloc := range job.allocations {
		nodes = append(nodes, alloc.node)
	}
	evicted := job.state == evicting
	runTime := now.Sub(job.started)
	s.deallocate(job)
	switch {
	case result.OK:
		s.runTimeEstimator.record(job.spec, job.savedRunTime+runTime)
		for _, n := range nodes {
			s.changedIf(n.health.recordSuccess())
		}
		s.forget(job)
	case result.FailedWorker != "":
		s.recordFailure(now, job, result)
	case evicted && job.spec.evictable() && !job.ended:
		if job.spec.Checkpointable {
			job.savedRunTime += runTime
		}
		s.requeue(job)
	default:
		s.forget(job)
	}
}

// RemoveWorker takes a worker out and returns the jobs that had members on it. Their remaining members keep their
// places until Ended reports that they have stopped; then the jobs that may run again are queued.
func (s *Scheduler) RemoveWorker(now time.Time, id string) []string {
	n, ok := s.cell.byID[id]
	if !ok {
		return nil
	}
	var affected []string
	for _, job := range slices.Clone(n.trackedJobs) {
		affected = append(affected, job.spec.ID)
		s.markEvicting(job, now, 0)
	}
	s.abandonClaimsOn(n)
	s.removeAllocationsOn(n)
	s.cell.remove(now, n)
	s.changed()
	slices.Sort(affected)
	return affected
}

// SetPolicy replaces workspaces, guarantees and zones.
func (s *Scheduler) SetPolicy(p Policy) {
	s.cell.sortNodes()
	s.setZones(p.Zones)
	inPolicy := map[string]bool{}
	for _, w := range p.Workspaces {
		inPolicy[w.Name] = true
		ws := s.workspace(w.Name)
		ws.Workspace = w
		ws.inPolicy = true
	}
	var slots []*guaranteedSlot
	for _, ws := range s.order {
		if !inPolicy[ws.Name] {
			ws.Workspace = Workspace{
				Name: ws.Name,
			}
			ws.inPolicy = false
		}
		s.updateSlots(ws)
		slots = append(slots, ws.slots...)
	}
	s.plan.setSlots(slots)
	s.changed()
	s.chargeRunningJobs()
}

// SetWorker adds a worker or replaces what is known of it.
func (s *Scheduler) SetWorker(now time.Time, w Worker) {
	if s.firstWorkerAt.IsZero() {
		s.firstWorkerAt = now
	}
	w.Accelerators = min(w.Accelerators, maxAccelerators)
	n, ok := s.cell.byID[w.ID]
	if ok && n.Worker == w {
		return
	}
	if ok && n.Zone == w.Zone && n.Rack == w.Rack && n.Accelerators == w.Accelerators {
		s.updateWorker(n, w)
		return
	}
	if ok {
		s.RemoveWorker(now, w.ID)
	}
	n = &node{
		Worker:           w,
		all:              lowMask(w.Accelerators),
		free:             lowMask(w.Accelerators),
		freeCores:        w.Cores,
		freeMemory:       w.Memory,
		zoneOutOfService: s.zoneOutOfService(w.Zone),
	}
	delete(s.cell.removedWorkers, w.ID)
	s.cell.byID[w.ID] = n
	s.cell.needsSort = true
	s.cell.knownCache = nil
	s.changed()
}

// Submit queues a job. An error means that the job can never run and says what would have to change. A job that is
// known already is left as it is.
func (s *Scheduler) Submit(now time.Time, j Job) error {
	if _, ok := s.trackedJobs[j.ID]; ok {
		return nil
	}
	if err := j.validate(); err != nil {
		return err
	}
	j = j.normalized()
	discoveryOver := !s.firstWorkerAt.IsZero() && now.Sub(s.firstWorkerAt) >= s.config.DiscoveryPeriod
	if discoveryOver {
		if err := s.checkRunnable(now, j); err != nil {
			return err
		}
	}
	job := s.trackJob(now, j)
	s.workspace(j.Workspace).push(job)
	s.newJobs = append(s.newJobs, job)
	if !discoveryOver {
		s.unvalidated = append(s.unvalidated, job)
	}
	if !j.Deadline.IsZero() {
		s.deadlines.add(job)
	}
	return nil
}

// Unplanned returns the guaranteed shapes that have no place because the workers in service cannot hold them.
func (s *Scheduler) Unplanned() []string {
	s.cell.sortNodes()
	s.plan.placeMissing()
	var out []string
	for _, slot := range s.plan.unplacedSlots() {
		out = append(out, fmt.Sprintf("%s of workspace %s", slot.shape, slot.workspace.Name))
	}
	return out
}

// change records a new version if something changed.
func (s *Scheduler) changedIf(changed bool) {
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
func (s *Scheduler) forget(job *trackedJob) {
	job.ended = true
	delete(s.trackedJobs, job.spec.ID)
	if s.reservation.trackedJob == job {
		s.clearReservation()
	}
}

func (s *Scheduler) trackJob(now time.Time, j Job) *trackedJob {
	if j.Accepted.IsZero() {
		j.Accepted = now
	}
	job := &trackedJob{
		spec:      j,
		workspace: s.workspace(j.Workspace),
	}
	s.updateEstimates(job)
	s.trackedJobs[j.ID] = job
	return job
}

// appraise sets the estimates and the order of an entry.
func (s *Scheduler) updateEstimates(job *trackedJob) {
	job.expectedRunTime, job.runTimeBound = s.runTimeEstimator.estimate(job.spec)
	job.queueTime = job.spec.Accepted.Add(min(slackFactor*job.expectedRunTime, s.config.MaxSlack))
}

// slackFactor is how much newer a job may be, in units of the run time of the job that it passes.
const slackFactor = 4

// requeue puts a job that has stopped back at its place in the order.
func (s *Scheduler) requeue(job *trackedJob) {
	job.probe = false
	s.updateEstimates(job)
	job.workspace.push(job)
}

// setUnits adapts a workspace's units to its guarantees. Units whose shape is still guaranteed stay, those with jobs
// first.
func (s *Scheduler) updateSlots(ws *workspace) {
	previous := slices.Clone(ws.slots)
	slices.SortStableFunc(previous, func(a, b *guaranteedSlot) int {
		return b.jobs - a.jobs
	})
	ws.slots = nil
	for _, shape := range ws.Guarantees {
		index := slices.IndexFunc(previous, func(slot *guaranteedSlot) bool { return slot.shape == shape })
		if index >= 0 {
			ws.slots = append(ws.slots, previous[index])
			previous = slices.Delete(previous, index, index+1)
			continue
		}
		ws.slots = append(ws.slots, &guaranteedSlot{
			workspace: ws,
			shape:     shape,
		})
	}
	slices.SortStableFunc(ws.slots, func(a, b *guaranteedSlot) int {
		return a.shape.size() - b.shape.size()
	})
	for _, slot := range previous {
		s.displaceSlot(slot)
	}
}

// space returns a workspace's state, made on first use.
func (s *Scheduler) workspace(name string) *workspace {
	ws, ok := s.workspaces[name]
	if !ok {
		ws = newWorkspaceState(Workspace{
			Name: name,
		})
		s.workspaces[name] = ws
		index, _ := slices.BinarySearchFunc(s.order, name, func(a *workspace, b string) int {
			return cmp.Compare(a.Name, b)
		})
		s.order = slices.Insert(s.order, index, ws)
	}
	return ws
}
