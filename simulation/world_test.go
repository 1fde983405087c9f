package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

const (
	hostCount  = 5
	entryCount = 3
	// faultsEnd is when the last fault begins; it and all others end soon after.
	faultsEnd = 45 * time.Second
	// settleTime is how long the jobs have to end once all faults have ended.
	settleTime = 100 * time.Second
	// drainTime is how long a draining executor goes on after its notice was acknowledged; unacknowledgedDrainTime
	// applies without an acknowledgement.
	drainTime               = 2 * time.Second
	unacknowledgedDrainTime = 6 * time.Second
	checkInterval           = 500 * time.Millisecond
	hostCPU                 = 4000
	maxFailures             = 1000
)

// world is one simulation of a cell.
type world struct {
	faultSet  faultSet
	clock     clockwork.Clock
	startedAt time.Time
	// ctx ends with the simulation.
	ctx     context.Context
	cancel  context.CancelFunc
	journal *journal
	log     *cellLog
	network *network
	fleet   *fleet
	jobs    []jobPlan
	faults  []fault
	entries []*entryProcess
	// entryMu guards entries.
	entryMu sync.Mutex
	// randomMu guards random, which decides what happens to single messages.
	randomMu sync.Mutex
	random   *rand.Rand
	// restarting holds a channel for each entry, which holds a value while the entry is being restarted.
	restarting []chan struct{}
	// calm is closed when the faults end.
	calm chan struct{}
}

// newWorld returns the simulation of a seed.
func newWorld(ctx context.Context, seed uint64, set faultSet) *world {
	plan := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewRealClock()
	w := &world{
		faultSet:  set,
		clock:     clock,
		startedAt: clock.Now(),
		journal:   newJournal(clock),
		log:       newCellLog(),
		random:    rand.New(rand.NewPCG(seed, 2)),
		calm:      make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.network = newNetwork(w)
	var kinds []string
	for _, kind := range append(faultKinds(), faultRefuse) {
		if set.enabled(kind) {
			kinds = append(kinds, kind)
		}
	}
	w.jobs = planJobs(plan, faultsEnd, set.enabled(faultCrashingTasks))
	if set.enabled(faultFailingGangs) {
		// A source of its own keeps the jobs and faults of the other sets as they are.
		planFailures(rand.New(rand.NewPCG(seed, 3)), w.jobs)
	}
	w.faults = planFaults(plan, kinds, faultsEnd)
	maxLease := []time.Duration{8 * time.Second, 10 * time.Second}[plan.IntN(2)]
	stopGrace := []time.Duration{200 * time.Millisecond, 900 * time.Millisecond}[plan.IntN(2)]
	w.fleet = newFleet(w, maxLease, stopGrace, w.jobs)
	return w
}

// run runs the simulation to its end and returns the broken rules.
func (w *world) run() []violation {
	for i := range hostCount {
		w.addHost(i)
	}
	for i := range entryCount {
		w.restarting = append(w.restarting, make(chan struct{}, 1))
		w.entries = append(w.entries, startEntryProcess(w, entryName(i)))
	}
	w.spawn(func() { w.fleet.run(w.ctx) })
	if w.faultSet.enabled(faultFailingGangs) {
		w.spawn(w.watchFailedJobs)
	}
	for _, job := range w.jobs {
		w.spawn(func() { w.submit(job) })
	}
	for _, f := range w.faults {
		w.spawn(func() {
			if w.sleep(w.ctx, f.at) {
				w.apply(f)
			}
		})
	}
	w.sleep(w.ctx, faultsEnd)
	close(w.calm)
	w.fleet.mu.Lock()
	w.fleet.crashing = false
	w.fleet.failing = false
	w.fleet.mu.Unlock()
	w.awaitJobs()
	w.cancel()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fleet.checker.violations
}

func (w *world) addHost(index int) {
	h := &host{
		world:      w,
		fleet:      w.fleet,
		name:       fmt.Sprintf("x%d", index),
		service:    serviceOpen,
		fullSize:   hostCPU,
		capacity:   hostCPU,
		restarting: make(chan struct{}, 1),
	}
	if index%2 == 1 {
		h.service = serviceGuarded
		h.guarded = true
	}
	w.fleet.hosts = append(w.fleet.hosts, h)
	startAgentProcess(w, h)
	w.startIncarnation(h, true)
}

// startIncarnation starts an executor on a host and its heartbeats.
func (w *world) startIncarnation(h *host, newID bool) {
	l := w.fleet.begin(h, newID)
	w.spawn(func() { w.sendHeartbeats(h, l) })
}

// sendHeartbeats sends the heartbeats of an incarnation until it ends.
func (w *world) sendHeartbeats(h *host, l *incarnation) {
	for w.ctx.Err() == nil {
		w.fleet.mu.Lock()
		over := l.over
		heartbeat := l.heartbeat(w.now())
		w.fleet.mu.Unlock()
		if over {
			return
		}
		w.spawn(func() {
			if h.sendHeartbeat(heartbeat, l) && heartbeat.Executor.GetDraining() {
				w.fleet.mu.Lock()
				defer w.fleet.mu.Unlock()
				l.drainAcknowledged = true
			}
		})
		w.sleep(w.ctx, heartbeatInterval)
	}
}

// submit stores a job, and its cancellation if it is cancelled.
func (w *world) submit(job jobPlan) {
	w.sleep(w.ctx, job.submitAt)
	record, err := cell.JobRecord(job.message())
	if err == nil {
		_, err = w.log.append([]cell.LogRecord{record}, nil, -1)
	}
	w.journal.add("client", "job %s submitted: %v", job.id, err)
	if job.cancelAt == 0 {
		return
	}
	w.sleep(w.ctx, job.cancelAt-job.submitAt)
	record, err = cell.CancelRecord(job.id)
	if err == nil {
		_, err = w.log.append([]cell.LogRecord{record}, nil, -1)
	}
	w.journal.add("client", "job %s cancelled: %v", job.id, err)
}

// awaitJobs waits until all jobs have ended and records those that don't.
func (w *world) awaitJobs() {
	var open []string
	for deadline := w.now() + settleTime; w.now() < deadline; w.sleep(w.ctx, checkInterval) {
		if open = w.openJobs(); len(open) == 0 {
			return
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	processes := map[string]bool{}
	for _, h := range w.fleet.hosts {
		processes[h.name] = true
		processes[agentName(h.name)] = true
	}
	for _, id := range open {
		w.fleet.checker.violations = append(w.fleet.checker.violations, violation{
			at:        w.now(),
			task:      id,
			kind:      "job doesn't end",
			text:      fmt.Sprintf("job doesn't end: %+v", w.fleet.jobs[id]),
			processes: processes,
		})
	}
}

// watchFailedJobs checks each job when it is recorded as failed.
func (w *world) watchFailedJobs() {
	state := cell.NewState()
	failed := map[string]bool{}
	for next := int64(0); w.ctx.Err() == nil; {
		page := w.log.read(w.ctx, next)
		next += int64(len(page.Records))
		for _, record := range page.Records {
			id, _ := state.Apply(record)
			job, ok := state.Job(id)
			if !ok || failed[id] || job.Cancelled || job.State() != cellpb.State_STATE_FAILED {
				continue
			}
			failed[id] = true
			w.fleet.mu.Lock()
			w.fleet.checker.jobFailed(id, w.now())
			w.fleet.mu.Unlock()
		}
	}
}

func (w *world) openJobs() []string {
	state := cell.NewState()
	for _, record := range w.log.newest().Records {
		_, _ = state.Apply(record)
	}
	var open []string
	for _, job := range w.jobs {
		jobState, ok := state.Job(job.id)
		if !ok || jobState.State() == cellpb.State_STATE_QUEUED || jobState.State() == cellpb.State_STATE_RUNNING {
			open = append(open, job.id)
		}
	}
	return open
}

// applyConfig returns the operations with the simulation's configuration.
func (w *world) applyConfig(operations cell.Operations, _ cell.LogRecord) (cell.Operations, error) {
	config := cell.Config{
		Version:  1,
		Services: map[string]cell.Service{},
	}
	for _, service := range []string{serviceGuarded, serviceOpen} {
		config.Services[service] = cell.Service{
			Name:            service,
			ChecksAdmission: service == serviceGuarded,
		}
		for _, attempts := range []int{0, 2, 3} {
			config.Queues = append(config.Queues, cell.Queue{
				Name:        queueName(service, attempts),
				Service:     service,
				Priority:    1,
				MaxFailures: jobPlan{attempts: attempts}.maxAttempts(),
				Stretch:     3,
			})
		}
	}
	return operations.WithConfig(config), nil
}

func (w *world) entry(index int) *entryProcess {
	w.entryMu.Lock()
	defer w.entryMu.Unlock()
	return w.entries[index]
}

func (w *world) setEntry(index int, entry *entryProcess) {
	w.entryMu.Lock()
	defer w.entryMu.Unlock()
	w.entries[index] = entry
}

func (w *world) entryNames() []string {
	names := make([]string, 0, entryCount)
	for i := range entryCount {
		names = append(names, entryName(i))
	}
	return names
}

func entryName(index int) string {
	return fmt.Sprintf("entry-%d", index)
}

// now returns the time since the start of the simulation.
func (w *world) now() time.Duration {
	return w.clock.Since(w.startedAt)
}

// bootTime is the boot-time clock of all processes. It doesn't start at 0, which followers take for no reading.
func (w *world) bootTime() time.Duration {
	return w.now() + time.Hour
}

// sleep waits for a duration; false if ctx ends before.
func (w *world) sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-w.clock.After(duration):
		return true
	}
}

// spawn runs a function in a goroutine. The bubble of the test waits for its end.
func (w *world) spawn(run func()) {
	go run()
}

func (w *world) chance(share float64) bool {
	return w.fraction() < share
}

func (w *world) fraction() float64 {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return w.random.Float64()
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.fraction()*float64(high-low))
}

func (w *world) shuffle(runs []*taskRun) {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	w.random.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
}

func (w *world) faultEnabled(kind string) bool {
	select {
	case <-w.calm:
		return false
	default:
		return w.faultSet.enabled(kind)
	}
}
