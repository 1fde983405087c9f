package placement

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed rapid seed so that test runs are reproducible; -rapid.seed selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20260101")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// schedulerModel models the caller of the scheduler: it carries out the decisions and checks each against its own
// record of workers and jobs.
type schedulerModel struct {
	t         *rapid.T
	scheduler *Scheduler
	now       time.Time
	policy    Policy
	workers   map[string]Worker
	jobs      map[string]Job
	running   map[string]Decision
	evicting  map[string]bool
	unplanned int
	nextID    int
	// capacityChanged is set after a change of capacity or guarantees, when slots may lose their place.
	capacityChanged bool
}

func newSchedulerModel(t *rapid.T) *schedulerModel {
	m := &schedulerModel{
		t:               t,
		scheduler:       New(Config{}),
		now:             startTime(),
		workers:         map[string]Worker{},
		jobs:            map[string]Job{},
		running:         map[string]Decision{},
		evicting:        map[string]bool{},
		capacityChanged: true,
	}
	shape := rapid.Custom(func(t *rapid.T) Shape {
		return Shape{
			Members:      rapid.IntRange(1, 2).Draw(t, "members"),
			Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"),
			Scope:        Scope(rapid.IntRange(1, 3).Draw(t, "scope")),
		}
	})
	for _, name := range []string{"a", "b", "c"} {
		m.policy.Workspaces = append(m.policy.Workspaces, Workspace{
			Name:       name,
			Share:      rapid.IntRange(1, 3).Draw(t, "share"),
			Guarantees: rapid.SliceOfN(shape, 0, 2).Draw(t, "guarantees"),
		})
	}
	for _, name := range []string{"z0", "z1"} {
		m.policy.Zones = append(m.policy.Zones, Zone{
			Name: name,
			In:   true,
		})
	}
	m.scheduler.SetPolicy(m.policy)
	for range rapid.IntRange(2, 4).Draw(t, "workers") {
		m.addWorker()
	}
	return m
}

func (m *schedulerModel) addWorker() {
	i := m.nextID
	m.nextID++
	worker := Worker{
		ID:           fmt.Sprintf("w%d", i),
		Zone:         fmt.Sprintf("z%d", i/2%2),
		Rack:         fmt.Sprintf("r%d", i/2),
		Accelerators: 4,
		Cores:        8,
		Memory:       8,
	}
	m.workers[worker.ID] = worker
	m.scheduler.SetWorker(m.now, worker)
}

func (m *schedulerModel) submit(t *rapid.T) {
	m.nextID++
	j := Job{
		ID:             fmt.Sprintf("j%03d", m.nextID),
		Workspace:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Members:        rapid.IntRange(1, 3).Draw(t, "members"),
		Accelerators:   rapid.IntRange(0, 4).Draw(t, "accelerators"),
		Cores:          rapid.IntRange(0, 4).Draw(t, "cores"),
		Scope:          Scope(rapid.IntRange(0, 3).Draw(t, "scope")),
		Idempotent:     rapid.Bool().Draw(t, "idempotent"),
		Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
		Urgent:         rapid.IntRange(0, 5).Draw(t, "urgent") == 0,
		Declared:       time.Duration(rapid.IntRange(1, 300).Draw(t, "declared")) * time.Second,
	}
	if m.scheduler.Submit(m.now, j) == nil {
		m.jobs[j.ID] = j
	}
}

func (m *schedulerModel) decide() {
	for _, d := range m.scheduler.Decide(m.now) {
		switch d.Kind {
		case Place:
			m.place(d)
		case Evict:
			m.evict(d)
		case Refuse:
			delete(m.jobs, d.Job)
		case Wait:
		}
	}
}

func (m *schedulerModel) place(d Decision) {
	j, ok := m.jobs[d.Job]
	if _, already := m.running[d.Job]; !ok || already {
		m.t.Fatalf("%s placed but not waiting", d.Job)
	}
	if len(d.Members) != j.Members {
		m.t.Fatalf("%s placed with %d of %d members", d.Job, len(d.Members), j.Members)
	}
	if d.Borrowed && !j.Idempotent && !j.Checkpointable {
		m.t.Fatalf("%s borrows but cannot be evicted", d.Job)
	}
	for _, member := range d.Members {
		worker, known := m.workers[member.Worker]
		zone := m.policy.Zones[slices.IndexFunc(m.policy.Zones, func(z Zone) bool { return z.Name == worker.Zone })]
		n := m.scheduler.cell.byID[member.Worker]
		if !known || worker.Leaving || !zone.In || n.health.quarantined && n.health.probeJob != d.Job {
			m.t.Fatalf("%s placed on %s, which accepts no jobs", d.Job, member.Worker)
		}
		if n.health.quarantined && !j.Idempotent {
			m.t.Fatalf("%s probes %s but is not idempotent", d.Job, member.Worker)
		}
		if member.Accelerators>>worker.Accelerators != 0 || popcount(member.Accelerators) != j.Accelerators ||
			!contiguous(member.Accelerators) || !sameScope(m.workers[d.Members[0].Worker], worker, j.Scope) {
			m.t.Fatalf("%s placed on %+v, which is not %s", d.Job, d.Members, j.shape())
		}
	}
	m.running[d.Job] = d
	m.checkUsage()
}

func (m *schedulerModel) evict(d Decision) {
	j, r := m.jobs[d.Job], m.running[d.Job]
	if !j.Idempotent && !j.Checkpointable {
		m.t.Fatalf("%s evicted but cannot be run again", d.Job)
	}
	if len(r.Members) == 0 || d.Checkpoint && !j.Checkpointable {
		m.t.Fatalf("%s evicted without members or with an impossible checkpoint: %+v", d.Job, d)
	}
	m.evicting[d.Job] = true
}

// checkUsage fails the test if accelerators are used twice or the cores of a worker are exceeded.
func (m *schedulerModel) checkUsage() {
	masks, cores := map[string]uint64{}, map[string]int{}
	for id, r := range m.running {
		for _, member := range r.Members {
			if masks[member.Worker]&member.Accelerators != 0 {
				m.t.Fatalf("%s shares accelerators %b of %s", id, member.Accelerators, member.Worker)
			}
			masks[member.Worker] |= member.Accelerators
			cores[member.Worker] += m.jobs[id].Cores
		}
	}
	for id, used := range cores {
		if used > m.workers[id].Cores {
			m.t.Fatalf("%d cores used on %s", used, id)
		}
	}
}

// newReferencePacker returns a packer for the current state, and whether there are claims or running jobs that are not
// borrowed.
func (m *schedulerModel) newReferencePacker() (*referencePacker, bool) {
	packer := &referencePacker{
		guaranteedWork: map[string][]memberPlacement{},
	}
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		packer.workers = append(packer.workers, m.workers[id])
		free := lowMask(m.workers[id].Accelerators)
		if !m.scheduler.cell.byID[id].inService() {
			free = 0
		}
		packer.free = append(packer.free, free)
	}
	for _, workspace := range m.policy.Workspaces {
		for _, shape := range workspace.Guarantees {
			packer.shapes = append(packer.shapes, workspaceShape{
				owner: workspace.Name,
				shape: shape,
			})
		}
	}
	hasGuaranteedWork := len(m.scheduler.claims) > 0
	for id := range m.running {
		job := m.scheduler.trackedJobs[id]
		if job == nil || job.occupancy == borrowed {
			continue
		}
		hasGuaranteedWork = true
		for _, member := range m.running[id].Members {
			index := slices.IndexFunc(packer.workers, func(x Worker) bool { return x.ID == member.Worker })
			switch {
			case index < 0 || packer.free[index] == 0:
			case job.occupancy == immovable:
				packer.free[index] &^= member.Accelerators
			default:
				packer.guaranteedWork[job.workspace.Name] = append(packer.guaranteedWork[job.workspace.Name], memberPlacement{
					worker: index,
					mask:   member.Accelerators,
				})
			}
		}
	}
	return packer, hasGuaranteedWork
}

// checkGuarantees compares the plan with the result of the reference packer, and checks that no slot loses its place
// unless the capacity or the guarantees have changed.
func (m *schedulerModel) checkGuarantees() {
	unplanned := len(m.scheduler.Unplanned())
	if unplanned > m.unplanned && !m.capacityChanged {
		m.t.Fatalf("guaranteed slots lost their place although the capacity did not change: %v", m.scheduler.Unplanned())
	}
	m.unplanned, m.capacityChanged = unplanned, false
	packer, hasGuaranteedWork := m.newReferencePacker()
	ok, exhaustive := packer.pack()
	if unplanned == 0 && exhaustive && !ok {
		m.t.Fatalf("the guaranteed shapes cannot be reclaimed together")
	}
	if unplanned > 0 && !hasGuaranteedWork && ok {
		m.t.Fatalf("guaranteed slots without a place although all of them fit: %v", m.scheduler.Unplanned())
	}
}

// endAny ends one of the running jobs that are eligible.
func (m *schedulerModel) endAny(t *rapid.T, eligible func(string) bool, result func(Decision) Result) {
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(m.running)), func(id string) bool { return !eligible(id) })
	if len(ids) == 0 {
		t.Skip("nothing to end")
	}
	m.endRun(rapid.SampledFrom(ids).Draw(t, "job"), result)
}

func (m *schedulerModel) endRun(id string, result func(Decision) Result) {
	d := m.running[id]
	delete(m.running, id)
	delete(m.evicting, id)
	m.scheduler.Ended(m.now, id, result(d))
	if m.scheduler.trackedJobs[id] == nil {
		delete(m.jobs, id)
	}
}

func (m *schedulerModel) drawWorker(t *rapid.T) Worker {
	if len(m.workers) == 0 {
		t.Skip("no workers")
	}
	return m.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(m.workers))).Draw(t, "worker")]
}

func stoppedResult(Decision) Result { return Result{} }

func doneResult(Decision) Result {
	return Result{
		OK: true,
	}
}

func failedResult(d Decision) Result {
	if len(d.Members) == 0 {
		return Result{}
	}
	return Result{
		FailedWorker: d.Members[0].Worker,
		Reason:       "exit 1",
	}
}

// reclaimAll submits one job that cannot be evicted for each guaranteed shape of the workspaces whose guarantees are
// unused, all at once, and checks that all these jobs run after the borrowers have stopped.
func (m *schedulerModel) reclaimAll() {
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if _, ok := m.running[id]; !ok {
			m.scheduler.Cancel(m.now, id)
			delete(m.jobs, id)
		}
	}
	m.now = m.now.Add(10 * time.Second)
	m.decide()
	if len(m.scheduler.Unplanned()) > 0 || len(m.scheduler.claims) > 0 {
		return
	}
	var submitted []string
	for _, workspace := range m.policy.Workspaces {
		used := slices.ContainsFunc(m.scheduler.plan.slots, func(slot *guaranteedSlot) bool {
			return slot.workspace.Name == workspace.Name && slot.jobs > 0
		})
		for i, shape := range workspace.Guarantees {
			if used {
				continue
			}
			j := Job{
				ID:           fmt.Sprintf("reclaim-%s-%d", workspace.Name, i),
				Workspace:    workspace.Name,
				Members:      shape.Members,
				Accelerators: shape.Accelerators,
				Scope:        shape.Scope,
			}
			if err := m.scheduler.Submit(m.now, j); err != nil {
				m.t.Fatalf("guaranteed shape refused: %v", err)
			}
			m.jobs[j.ID] = j
			submitted = append(submitted, j.ID)
		}
	}
	m.decide()
	for _, id := range slices.Sorted(maps.Keys(m.evicting)) {
		m.endRun(id, stoppedResult)
	}
	m.decide()
	for _, id := range submitted {
		if _, ok := m.running[id]; !ok {
			m.t.Fatalf("%s does not run after the borrowers left: %v", id, m.scheduler.Explain(id))
		}
	}
}

// TestInvariants guards against guarantees that cannot be reclaimed together, accelerators used twice, gangs placed in
// part, and jobs placed in a zone out of service or on a leaving or quarantined worker, after any sequence of actions.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerModel(t)
		t.Repeat(m.actions())
		m.reclaimAll()
	})
}
