package runtimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minMachines is the number of machines beside each other from which a step tells its work and their speeds: with
	// two, nothing shows which one is unusual.
	minMachines = 3
	// maxSteps is the number of steps whose work is computed anew as the speeds of their machines become known.
	maxSteps = 256
	// maxStepRuns is the number of runs of a step that count.
	maxStepRuns = 64
	// minDifference is the ratio to the mean machine from which a machine's speed counts. Smaller differences are lost
	// among those between the tasks of one step.
	minDifference = 1.3
	// minClassShare is the share of the known machines in a class from which a machine of unknown speed may belong to it.
	minClassShare = 0.1
	// fitRounds is the number of times that works and speeds are computed from each other after a change. Each time
	// starts from the last result.
	fitRounds = 4
	// defaultDeviation is the standard deviation that the logarithms of the run times of a step's tasks are taken to have.
	// It counts like as many runs as defaultRuns: a fit to few runs leaves little over, however far they differ.
	defaultDeviation = 0.2
	defaultRuns      = 20
)

// Model learns run times. It isn't safe for concurrent use.
type Model struct {
	machines map[string]*machine
	queues   map[string]*queue
	pairs    map[pairKey]*pair
	// steps holds the steps whose work is still computed, the oldest first, and byID the same by id.
	steps []*step
	byID  map[string]*step
	// reference is the mean slowdown of the known machines on the model's own scale, deviation that of the tasks of a
	// step. fastest and slowest are the slowdowns of the fastest and the slowest usual class. They are valid unless stale
	// is set.
	reference float64
	deviation float64
	fastest   float64
	slowest   float64
	uneven    bool
	// interferes is set if some kinds of tasks slow others down.
	interferes bool
	stale      bool
}

// New returns a model that knows no machine and no queue.
func New() *Model {
	return &Model{
		machines:  map[string]*machine{},
		queues:    map[string]*queue{},
		pairs:     map[pairKey]*pair{},
		byID:      map[string]*step{},
		reference: 1,
		deviation: defaultDeviation,
		fastest:   1,
		slowest:   1,
	}
}

// Observe learns from the runs of a step beside each other. A later observation of the same step replaces the earlier
// one.
func (m *Model) Observe(observed Step, runs []Run) {
	s, ok := m.byID[observed.ID]
	if !ok {
		s = newStep(observed)
	}
	for _, run := range runs {
		if run.Duration > 0 {
			s.observe(run, m.machine(run.Machine), m.pairsOf(observed.Kind, run.Beside))
		}
	}
	if len(s.runs) == 0 {
		return
	}
	if !ok {
		s.start()
		m.addStep(s)
		m.queue(observed.Queue).addStep(s)
	}
	m.stale = true
}

// Fastest returns the slowdown of the fastest machines, at most 1.
func (m *Model) Fastest() float64 {
	m.refresh()
	return m.fastest
}

// Forget drops what is known of a machine.
func (m *Model) Forget(machine string) {
	delete(m.machines, machine)
	m.stale = true
}

// HasWork reports whether the work of a queue's steps has been observed often enough to be estimated.
func (m *Model) HasWork(queue string) bool {
	q, ok := m.queues[queue]
	return ok && len(q.steps) >= minQueueSteps
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

// Restart notes that a machine restarted: what is known of its speed counts less.
func (m *Model) Restart(machine string) {
	if known, ok := m.machines[machine]; ok {
		m.refresh()
		known.restart()
		m.stale = true
	}
}

// Slowdown returns the factor by which tasks run longer on a machine than on one of mean speed. It is 1 unless the
// difference is clear. While the speeds of machines differ, one of unknown speed counts as one of the slowest class.
func (m *Model) Slowdown(machine string) float64 {
	m.refresh()
	known, ok := m.machines[machine]
	if !ok || known.count() == 0 {
		return m.slowest
	}
	return known.slowdown
}

// Speed returns what is known of a machine, for Inherit; the zero value if nothing is.
func (m *Model) Speed(machine string) Speed {
	m.refresh()
	known, ok := m.machines[machine]
	if !ok || known.count() == 0 {
		return Speed{}
	}
	return known.export()
}

// StepWork returns the work of a step, the run time of a typical task on a machine of mean speed, or false if too few
// of its runs were observed lately. One run that crawls doesn't show how much work it has.
func (m *Model) StepWork(id string) (time.Duration, bool) {
	s, ok := m.byID[id]
	if !ok || !s.isSpread() {
		return 0, false
	}
	m.refresh()
	return seconds(math.Exp(s.work) * m.reference), true
}

// Uneven reports whether the speeds of some machines differ clearly.
func (m *Model) Uneven() bool {
	m.refresh()
	return m.uneven
}

// Work returns the expected work of a step of a queue for which a caller declared a run time.
func (m *Model) Work(queue string, declared time.Duration) time.Duration {
	if !m.HasWork(queue) {
		return declared
	}
	m.refresh()
	return seconds(m.queues[queue].predict(declared) * m.reference)
}

func (m *Model) addStep(s *step) {
	if len(m.steps) == maxSteps {
		delete(m.byID, m.steps[0].id)
		m.steps = slices.Delete(m.steps, 0, 1)
	}
	m.steps = append(m.steps, s)
	m.byID[s.id] = s
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

// refresh computes works, speeds and slowdowns after a change.
func (m *Model) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	for range fitRounds {
		for _, s := range m.steps {
			s.fit()
		}
		for _, known := range m.machines {
			known.fit()
		}
		m.fitPairs()
	}
	for _, q := range m.queues {
		q.refresh()
	}
	m.computeDeviation()
	m.computeSlowdowns()
	m.noteBelieved()
}

// computeDeviation computes how far the tasks of a step differ, corrected for what the fit itself takes up.
func (m *Model) computeDeviation() {
	var residuals []float64
	parameters := len(m.steps)
	seen := map[*machine]bool{}
	for _, s := range m.steps {
		for _, run := range s.runs {
			residuals = append(residuals, run.residual())
			seen[run.machine] = true
		}
	}
	free := float64(len(residuals) - parameters - len(seen))
	m.deviation = defaultDeviation
	if free <= 0 {
		return
	}
	computed := standardDeviation(residuals, 0)
	variance := computed * computed * float64(len(residuals)) / free
	m.deviation = math.Sqrt((free*variance + defaultRuns*defaultDeviation*defaultDeviation) / (free + defaultRuns))
}

// computeSlowdowns computes the slowdowns of the machines relative to their mean.
func (m *Model) computeSlowdowns() {
	wasUneven := m.uneven
	m.reference, m.fastest, m.slowest, m.uneven = 1, 1, 1, false
	known := m.knownMachines()
	if len(known) == 0 {
		return
	}
	sum := 0.0
	for _, machine := range known {
		sum += math.Exp(machine.center)
	}
	m.reference = sum / float64(len(known))
	// Once speeds differ clearly, a difference of that size is enough, so that placement doesn't change with each sample.
	m.uneven = slices.ContainsFunc(known, func(machine *machine) bool {
		return machine.differs(m.reference) && (wasUneven || machine.isClear(m.reference, m.deviation))
	})
	for _, class := range speedClasses(known) {
		slowdown := 1.0
		if m.uneven {
			slowdown = relativeSlowdown(class, m.reference)
		}
		for _, machine := range class {
			machine.slowdown = slowdown
		}
		m.fastest = min(m.fastest, slowdown)
		if float64(len(class)) >= minClassShare*float64(len(known)) {
			m.slowest = max(m.slowest, slowdown)
		}
	}
}

// knownMachines returns the machines with samples, the fastest first.
func (m *Model) knownMachines() []*machine {
	var known []*machine
	for _, machine := range m.machines {
		if machine.count() > 0 {
			known = append(known, machine)
		}
	}
	slices.SortFunc(known, func(x, y *machine) int { return cmp.Compare(x.center, y.center) })
	return known
}

// relativeSlowdown returns the slowdown of a class, or 1 if it hardly differs from the mean machine.
func relativeSlowdown(class []*machine, reference float64) float64 {
	relative := math.Exp(class[len(class)/2].center) / reference
	if relative < minDifference && relative > 1/minDifference {
		return 1
	}
	return relative
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
