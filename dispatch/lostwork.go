package dispatch

import "radishpath.example/radishpath/cell/cellpb"

// lostWork is the work, in core-seconds, that is lost by stopping a run.
func lostWork(run *taskRun, now Instant) float64 {
	step := run.task.group.step
	lostSince := run.startedAt - run.earlierRunTime
	if step.GetCheckpoints() {
		lostSince = run.checkpointedAt
	}
	if !run.running {
		lostSince = now.BootTime - run.earlierRunTime
	}
	return coreEquivalents(step) * max(now.BootTime-lostSince, 0).Seconds()
}

// coreEquivalents is the size of a task in cores, with accelerators converted to cores.
func coreEquivalents(step *cellpb.Step) float64 {
	return float64(step.GetCpu())/1000 + coresPerAccelerator*float64(step.GetAccelerators())
}

// coresPerAccelerator is the number of cores that one accelerator counts as.
const coresPerAccelerator = 8

// victims returns the runs that must be stopped together with a run: the run itself or, for a gang, the runs of all
// members that aren't being stopped already.
func victims(run *taskRun) []*taskRun {
	g := run.task.group
	if !g.step.GetGang() {
		return []*taskRun{run}
	}
	var runs []*taskRun
	for _, t := range g.tasks {
		if t.run != nil && !t.run.stopping {
			runs = append(runs, t.run)
		}
	}
	return runs
}
