package runtimes

import (
	"math"
	"time"
)

// Step identifies a step whose runs are observed.
type Step struct {
	ID    string
	Queue string
	// Kind names what the tasks run; tasks of one kind behave alike.
	Kind string
	// Declared is the run time that the caller declared for each task.
	Declared time.Duration
}

// Run is a run of a task, or what its progress leads to.
type Run struct {
	Task    int32
	Machine string
	// Duration is the run time of the whole task on this machine, without delays that the machine doesn't cause.
	Duration time.Duration
	// Beside holds the kinds of the other tasks that ran on the machine all the while.
	Beside []string
}

// step holds the observed runs of a step. Run times are logarithms of seconds.
type step struct {
	id string
	// declared is the declared run time; NaN if there is none.
	declared float64
	runs     []*stepRun
	// work is the run time of a typical task on a machine whose center is 0.
	work float64
}

// stepRun is a task on a machine. It holds the newest run of that task there.
type stepRun struct {
	step    *step
	task    int32
	machine *machine
	runTime float64
	// pairs are those of the step's kind and the kinds beside the run.
	pairs []*pair
}

// newStep returns a step without runs.
func newStep(observed Step) *step {
	s := &step{
		id:       observed.ID,
		declared: math.NaN(),
	}
	if observed.Declared > 0 {
		s.declared = math.Log(observed.Declared.Seconds())
	}
	return s
}

// fit computes the work from the speeds of the machines.
func (s *step) fit() {
	sum, weights := 0.0, 0.0
	for _, run := range s.runs {
		weight := robustWeight(run.residual())
		sum += weight * (run.residual() + s.work)
		weights += weight
	}
	if weights > 0 {
		s.work = sum / weights
	}
}

// isSpread reports whether there are runs on enough machines to tell work and speed apart.
func (s *step) isSpread() bool {
	machines := map[*machine]bool{}
	for _, run := range s.runs {
		machines[run.machine] = true
	}
	return len(machines) >= minMachines
}

// observe records a run on a machine beside some kinds of tasks.
func (s *step) observe(run Run, m *machine, pairs []*pair) {
	runTime := math.Log(run.Duration.Seconds())
	for _, known := range s.runs {
		if known.task == run.Task && known.machine == m {
			known.runTime, known.pairs = runTime, pairs
			return
		}
	}
	if len(s.runs) == maxStepRuns {
		return
	}
	added := &stepRun{
		step:    s,
		task:    run.Task,
		machine: m,
		runTime: runTime,
		pairs:   pairs,
	}
	s.runs = append(s.runs, added)
	m.addSample(added)
}

// start computes a first estimate of the work, from which fit improves it.
func (s *step) start() {
	works := make([]float64, 0, len(s.runs))
	for _, run := range s.runs {
		works = append(works, run.runTime-run.machine.center)
	}
	s.work = median(works)
}

// residual is what the work of the step, the speed of the machine and the tasks beside the run leave unexplained.
func (r *stepRun) residual() float64 {
	residual := r.runTime - r.step.work - r.machine.center
	for _, p := range r.pairs {
		residual -= p.center
	}
	return residual
}
