package dispatch

import (
	"time"

	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// smoothingFactor is the weight of a new sample in the moving average.
	smoothingFactor = 0.2
	// minRunTimeSamples is the number of samples after which the average replaces the declared run time.
	minRunTimeSamples = 3
)

// estimates holds moving averages of task run times by queue. Declared run times can be wrong by a large factor.
type estimates struct {
	byQueue map[string]*estimate
}

type estimate struct {
	mean    time.Duration
	samples int
}

func newEstimates() estimates {
	return estimates{
		byQueue: map[string]*estimate{},
	}
}

// addSample records the run time of a completed run, unless its start wasn't reported or it resumed from earlier
// progress.
func (s estimates) addSample(g *group, run *taskRun, now Instant) {
	if !run.running || run.basePercent > 0 {
		return
	}
	e, ok := s.byQueue[g.job.spec.GetQueue()]
	if !ok {
		e = &estimate{}
		s.byQueue[g.job.spec.GetQueue()] = e
	}
	runTime := now.BootTime - run.startedAt
	e.samples++
	if e.samples == 1 {
		e.mean = runTime
		return
	}
	e.mean += time.Duration(smoothingFactor * float64(runTime-e.mean))
}

// isMeasured reports whether the estimate is based on completed runs rather than on the declared run time.
func (s estimates) isMeasured(g *group) bool {
	_, ok := s.measuredMean(g.job.spec)
	return ok
}

// measuredMean returns the average run time of a queue's tasks, or false if there are too few samples.
func (s estimates) measuredMean(spec *cellpb.Job) (time.Duration, bool) {
	e, ok := s.byQueue[spec.GetQueue()]
	if !ok || e.samples < minRunTimeSamples {
		return 0, false
	}
	return e.mean, true
}

// lowest returns the lower of the declared and the estimated run time.
func (s estimates) lowest(g *group) time.Duration {
	return min(s.forGroup(g), declaredRunTime(g.step))
}

// forGroup returns the expected run time of a group's tasks.
func (s estimates) forGroup(g *group) time.Duration {
	return s.forStep(g.job.spec, g.step)
}

// forStep returns the expected run time of the tasks of a job's step.
func (s estimates) forStep(spec *cellpb.Job, step *cellpb.Step) time.Duration {
	if mean, ok := s.measuredMean(spec); ok {
		return mean
	}
	return declaredRunTime(step)
}

func declaredRunTime(step *cellpb.Step) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}
