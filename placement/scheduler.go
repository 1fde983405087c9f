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
	// version is incremented whenever a job that did not fit may fit now.
	version uint64
	// capacities is the buffer of availableCapacities.
	capacities []nodeCapacity
	// claims lists the jobs in state claiming.
	claims []*trackedJob
	// evictions lists the jobs that have been asked to stop.
	evictions   []*trackedJob
	reservation reservation
	deadlines   deadlineHeap
	// newJobs lists the jobs submitted since the last Decide.
	newJobs []*trackedJob
	// unvalidated lists the jobs submitted before Config.DiscoveryPeriod was over.
	unvalidated []*trackedJob
	// lastCompaction is when compact last looked for a job to move.
	lastCompaction time.Time
	// compactionCursor is the index of the node at which the last search of compact stopped.
	compactionCursor int
	// now is the time of the last Decide.
	now time.Time
	// firstWorkerAt is when the first worker was added.
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

// Cancel removes a queued or claiming job. A job that is running or evicting is not queued again after Ended.
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

// Ended reports that a run of a job has ended on all its workers.
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

// RemoveWorker removes a worker and returns the IDs of the jobs that had members on it. Their other members keep their
// allocations until Ended is called; then the jobs that may run again are queued.
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

// SetPolicy replaces the workspaces, guarantees and zones.
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

// SetWorker adds or updates a worker.
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

// Submit queues a job. An error means that the job can never run and says what would have to change. Submitting a
// known job has no effect.
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
	if !j.StartDeadline.IsZero() {
		s.deadlines.add(job)
	}
	return nil
}

// Unplanned returns the guaranteed shapes that have no place because the workers in service cannot hold them.
func (s *Scheduler) Unplanned() []string {
	s.cell.sortNodes()
	s.plan.placeMissing()
	var shapes []string
	for _, slot := range s.plan.unplacedSlots() {
		shapes = append(shapes, fmt.Sprintf("%s of workspace %s", slot.shape, slot.workspace.Name))
	}
	return shapes
}

// changedIf calls changed if the condition holds.
func (s *Scheduler) changedIf(changed bool) {
	if changed {
		s.changed()
	}
}

// changed increments the version, so that jobs and guaranteed slots that did not fit are tried again.
func (s *Scheduler) changed() {
	s.version++
	s.plan.stale = true
}

// forget removes a job from the scheduler.
func (s *Scheduler) forget(job *trackedJob) {
	job.ended = true
	delete(s.trackedJobs, job.spec.ID)
	if s.reservation.trackedJob == job {
		s.clearReservation()
	}
}

func (s *Scheduler) trackJob(now time.Time, j Job) *trackedJob {
	if j.AcceptedAt.IsZero() {
		j.AcceptedAt = now
	}
	job := &trackedJob{
		spec:      j,
		workspace: s.workspace(j.Workspace),
	}
	s.updateEstimates(job)
	s.trackedJobs[j.ID] = job
	return job
}

// updateEstimates sets the run time estimates and the queue time of a job.
func (s *Scheduler) updateEstimates(job *trackedJob) {
	job.expectedRunTime, job.runTimeBound = s.runTimeEstimator.estimate(job.spec)
	job.queueTime = job.spec.AcceptedAt.Add(min(slackFactor*job.expectedRunTime, s.config.MaxSlack))
}

// slackFactor bounds how much later than a waiting job another job may arrive and still pass it, as a multiple of the
// expected run time of the waiting job.
const slackFactor = 4

// requeue queues a job again after its run or claim has ended. It keeps its original acceptance time.
func (s *Scheduler) requeue(job *trackedJob) {
	job.probe = false
	s.updateEstimates(job)
	job.workspace.push(job)
}

// updateSlots replaces the slots of a workspace after its guarantees changed. Slots whose shape is still guaranteed
// stay, preferably those with jobs.
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

// workspace returns the state of a workspace and creates it on first use.
func (s *Scheduler) workspace(name string) *workspace {
	ws, ok := s.workspaces[name]
	if !ok {
		ws = newWorkspace(Workspace{
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
