package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minMachines is the number of machines beside each other from which a step tells their speeds: with two, nothing
	// shows which one is unusual.
	minMachines = 3
	// minDifference is the ratio to the mean machine from which a machine's speed counts. Smaller differences are lost
	// among those between the tasks of one step.
	minDifference = 1.3
	// classGap is the ratio between neighbours in the order of speed that separates two classes of machines.
	classGap = 1.2
)

// Model learns run times. It isn't safe for concurrent use.
type Model struct {
	machines map[string]*machine
	queues   map[string]*queue
	// reference is the mean slowdown of the known machines. fastest and slowest are the slowdowns of the fastest and the
	// slowest class relative to it. They are valid unless stale is set.
	reference float64
	fastest   float64
	slowest   float64
	stale     bool
}

// Step identifies a step whose runs are observed.
type Step struct {
	ID    string
	Queue string
	// Declared is the run time that the caller declared for each task.
	Declared time.Duration
}

// Run is a run of a task, or what its progress leads to.
type Run struct {
	Task    int32
	Machine string
	// Duration is the run time of the whole task on this machine, without delays that the machine doesn't cause.
	Duration time.Duration
}

// New returns a model that knows no machine and no queue.
func New() *Model {
	return &Model{
		machines:  map[string]*machine{},
		queues:    map[string]*queue{},
		reference: 1,
		fastest:   1,
		slowest:   1,
	}
}

// Observe learns from the runs of a step beside each other, and returns the work of the step: the run time of a typical
// task on a machine of mean speed. A later observation of the same step replaces the earlier one. It returns 0 if there
// are too few runs: one that crawls doesn't show how much work it has.
func (m *Model) Observe(step Step, runs []Run) time.Duration {
	runs = validRuns(runs)
	if len(runs) == 0 {
		return 0
	}
	works := make([]float64, 0, len(runs))
	machines := map[string]bool{}
	for _, run := range runs {
		works = append(works, math.Log(run.Duration.Seconds())-m.logSlowdown(run.Machine))
		machines[run.Machine] = true
	}
	work := median(works)
	if len(machines) >= minMachines {
		for _, run := range runs {
			m.machine(run.Machine).observe(step.ID, run.Task, math.Log(run.Duration.Seconds())-work)
		}
		m.stale = true
	}
	m.refresh()
	relative := work + math.Log(m.reference)
	m.queue(step.Queue).observe(step, relative)
	if len(machines) < minMachines {
		return 0
	}
	return seconds(math.Exp(relative))
}

// HasWork reports whether the work of a queue's steps has been observed often enough to be estimated.
func (m *Model) HasWork(queue string) bool {
	q, ok := m.queues[queue]
	return ok && len(q.samples) >= minQueueSamples
}

// Restart notes that a machine restarted: what is known of its speed counts less.
func (m *Model) Restart(machine string) {
	if known, ok := m.machines[machine]; ok {
		known.restart()
		m.stale = true
	}
}

// Forget drops what is known of a machine.
func (m *Model) Forget(machine string) {
	delete(m.machines, machine)
	m.stale = true
}

// Inherit takes over what an earlier model knew of a machine, unless this one knows as much. Values that no model
// exports are ignored.
func (m *Model) Inherit(machine string, exported Speed) {
	if !exported.valid() || m.machine(machine).count() >= int(exported.Samples) {
		return
	}
	m.machine(machine).inherit(exported)
	m.stale = true
}

// Speed returns what is known of a machine, for Inherit; the zero value if nothing is.
func (m *Model) Speed(machine string) Speed {
	known, ok := m.machines[machine]
	if !ok || known.count() == 0 {
		return Speed{}
	}
	return known.export()
}

// Slowdown returns the factor by which tasks run longer on a machine than on one of mean speed. It is 1 unless the
// difference is clear. While the speeds of machines differ, one of unknown speed counts as one of the slowest.
func (m *Model) Slowdown(machine string) float64 {
	m.refresh()
	known, ok := m.machines[machine]
	if !ok || known.count() < minMachineSamples {
		return m.slowest
	}
	return known.slowdown
}

// Fastest returns the slowdown of the fastest machines, at most 1.
func (m *Model) Fastest() float64 {
	m.refresh()
	return m.fastest
}

// Uneven reports whether the speeds of some machines differ clearly.
func (m *Model) Uneven() bool {
	m.refresh()
	return m.fastest != m.slowest
}

// Work returns the expected work of a step of a queue for which a caller declared a run time.
func (m *Model) Work(queue string, declared time.Duration) time.Duration {
	if !m.HasWork(queue) {
		return declared
	}
	return m.queues[queue].work(declared)
}

func (m *Model) machine(name string) *machine {
	known, ok := m.machines[name]
	if !ok {
		known = &machine{
			slowdown: 1,
		}
		m.machines[name] = known
	}
	return known
}

func (m *Model) queue(name string) *queue {
	known, ok := m.queues[name]
	if !ok {
		known = &queue{}
		m.queues[name] = known
	}
	return known
}

// logSlowdown returns the logarithm of a machine's slowdown on the model's own scale, 0 if nothing is known.
func (m *Model) logSlowdown(name string) float64 {
	if known, ok := m.machines[name]; ok {
		return known.center
	}
	return 0
}

// refresh computes the reference and the slowdowns after a change.
func (m *Model) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	m.reference, m.fastest, m.slowest = 1, 1, 1
	known := m.knownMachines()
	if len(known) == 0 {
		return
	}
	sum := 0.0
	for _, machine := range known {
		sum += math.Exp(machine.center)
	}
	m.reference = sum / float64(len(known))
	uneven := slices.ContainsFunc(known, func(machine *machine) bool { return machine.differs(m.reference) })
	for _, class := range speedClasses(known) {
		slowdown := 1.0
		if uneven {
			slowdown = relativeSlowdown(class, m.reference)
		}
		for _, machine := range class {
			machine.slowdown = slowdown
		}
		m.fastest = min(m.fastest, slowdown)
		m.slowest = max(m.slowest, slowdown)
	}
}

// knownMachines returns the machines of known speed, the fastest first.
func (m *Model) knownMachines() []*machine {
	var known []*machine
	for _, machine := range m.machines {
		if machine.count() >= minMachineSamples {
			known = append(known, machine)
		}
	}
	slices.SortFunc(known, func(x, y *machine) int { return cmp.Compare(x.center, y.center) })
	return known
}

// speedClasses divides machines, the fastest first, where the next one is clearly slower than the one before. Machines
// of one class count as equally fast, so that small differences between them don't decide where work goes.
func speedClasses(machines []*machine) [][]*machine {
	var classes [][]*machine
	first := 0
	for i := 1; i <= len(machines); i++ {
		if i == len(machines) || machines[i].center-machines[i-1].center > math.Log(classGap) {
			classes = append(classes, machines[first:i])
			first = i
		}
	}
	return classes
}

// relativeSlowdown returns the slowdown of a class, or 1 if it hardly differs from the mean machine.
func relativeSlowdown(class []*machine, reference float64) float64 {
	relative := math.Exp(class[len(class)/2].center) / reference
	if relative < minDifference && relative > 1/minDifference {
		return 1
	}
	return relative
}

// validRuns returns the runs with a positive duration.
func validRuns(runs []Run) []Run {
	valid := make([]Run, 0, len(runs))
	for _, run := range runs {
		if run.Duration > 0 {
			valid = append(valid, run)
		}
	}
	return valid
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
