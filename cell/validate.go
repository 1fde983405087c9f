package cell

import (
	"errors"
	"fmt"
	"math"

	"radishpath.example/radishpath/cell/cellpb"
)

const (
	// maxTasksPerJob bounds memory: every entry keeps the state of each task.
	maxTasksPerJob = 10000
	// maxAmount bounds each resource request and each time in milliseconds, so that sums of them can't overflow.
	maxAmount = math.MaxInt64 / (4 * maxTasksPerJob)
	// maxRunTimeMs bounds the sum of the estimates of a job's steps, which is added up as nanoseconds: a hundred years.
	maxRunTimeMs = 100 * 365 * 24 * 60 * 60 * 1000
	// maxSlackMs and maxStretch bound a job's objective: ten years, and what the configuration may set.
	maxSlackMs = 10 * 365 * 24 * 60 * 60 * 1000
	maxStretch = 1e6
)

// ValidateJob returns why a job can't be scheduled, or nil. It applies to jobs of callers and to records of the log, as
// another version of the program may have written them.
func ValidateJob(job *cellpb.Job) error {
	if len(job.GetSteps()) == 0 {
		return errors.New("job has no steps")
	}
	if job.GetOccurrences() < 1 {
		return fmt.Errorf("%d occurrences", job.GetOccurrences())
	}
	if !inRange(job.GetStartMs()) || !inRange(job.GetIntervalMs()) {
		return errors.New("start time or interval out of range")
	}
	if err := validatePolicy(job); err != nil {
		return err
	}
	tasks, runTimeMs := int64(0), int64(0)
	for i, step := range job.GetSteps() {
		if err := validateStep(step, i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += int64(step.GetCount())
		if tasks > maxTasksPerJob || tasks*int64(job.GetOccurrences()) > maxTasksPerJob {
			return fmt.Errorf("more than %d tasks", maxTasksPerJob)
		}
		runTimeMs += step.GetEstimateMs()
		if runTimeMs > maxRunTimeMs {
			return errors.New("estimates out of range")
		}
	}
	return nil
}

// validatePolicy checks what a job has from its queue. Not a number and infinity are out of range, too.
func validatePolicy(job *cellpb.Job) error {
	if !inRange(job.GetAcceptedMs()) {
		return errors.New("time of acceptance out of range")
	}
	if job.GetPriority() < 0 || job.GetMaxFailures() < 0 {
		return errors.New("priority or failures out of range")
	}
	inStretchRange := job.GetStretch() >= 0 && job.GetStretch() <= maxStretch
	if !inStretchRange || job.GetSlackMs() < 0 || job.GetSlackMs() > maxSlackMs {
		return errors.New("objective out of range")
	}
	return nil
}

func validateStep(step *cellpb.Step, index int) error {
	if step.GetCount() < 1 {
		return fmt.Errorf("count %d is below 1", step.GetCount())
	}
	for _, amount := range []int64{step.GetCpu(), step.GetMemoryMb(), step.GetAccelerators()} {
		if !inRange(amount) {
			return fmt.Errorf("resource request %d out of range", amount)
		}
	}
	if !inRange(step.GetEstimateMs()) || !inRange(step.GetTargetMs()) {
		return errors.New("estimate or target out of range")
	}
	if step.GetSpread() < 0 || step.GetMayMiss() < 0 {
		return errors.New("negative limit")
	}
	for _, dependency := range step.GetDependsOn() {
		if dependency < 0 || int(dependency) >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier step", dependency)
		}
	}
	return nil
}

func inRange(amount int64) bool {
	return amount >= 0 && amount <= maxAmount
}
