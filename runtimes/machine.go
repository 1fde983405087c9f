package runtimes

import (
	"math"
	"slices"
)

const (
	// maxMachineSamples is the number of runs from which a machine's speed is computed.
	maxMachineSamples = 12
	// restartSamples is the number of runs for which what is known of a machine counts after its restart.
	restartSamples = 4
	// priorWeight is the number of runs for which the assumption counts that a machine is like the others.
	priorWeight = 0.1
	// clearErrors is the number of standard errors by which a machine must differ from the mean one. With hundreds of
	// machines, smaller differences arise by chance on some of them.
	clearErrors = 3.5
	// minClearRuns is the least number of runs that show that a machine differs.
	minClearRuns = 2.5
)

// machine holds what is known of the speed of one machine.
type machine struct {
	// samples holds the newest runs, the oldest first.
	samples []machineSample
	// center is the logarithm of the slowdown on the model's own scale.
	center float64
	// weight is the number of samples, of which those that are outliers count less.
	weight float64
	// slowdown is that of the machine's class relative to the mean machine.
	slowdown float64
}

// machineSample is a run on a machine. What was inherited has no run, only the logarithm of the slowdown.
type machineSample struct {
	run       *stepRun
	inherited float64
}

func (m *machine) addSample(run *stepRun) {
	if len(m.samples) == maxMachineSamples {
		m.samples = slices.Delete(m.samples, 0, 1)
	}
	m.samples = append(m.samples, machineSample{
		run: run,
	})
}

func (m *machine) count() int {
	return len(m.samples)
}

// differs reports whether the machine differs from the mean one so much that its speed counts.
func (m *machine) differs(reference float64) bool {
	return math.Abs(m.center-math.Log(reference)) >= math.Log(minDifference)
}

func (m *machine) export() Speed {
	return Speed{
		LogMilli: int32(math.Round(1000 * m.center)),
		Samples:  int32(m.count()),
	}
}

// fit computes the center from the work of the steps.
func (m *machine) fit() {
	sum, weights := 0.0, priorWeight
	for _, sample := range m.samples {
		value := sample.value()
		weight := robustWeight(value - m.center)
		sum += weight * value
		weights += weight
	}
	m.center = sum / weights
	m.weight = weights - priorWeight
}

// inherit replaces the samples by as many with the exported value.
func (m *machine) inherit(exported Speed) {
	m.samples = nil
	m.center = float64(exported.LogMilli) / 1000
	m.repeatCenter(min(int(exported.Samples), maxMachineSamples))
}

func (m *machine) repeatCenter(count int) {
	m.samples = m.samples[:0]
	for range count {
		m.samples = append(m.samples, machineSample{
			inherited: m.center,
		})
	}
}

// isClear reports whether the tasks of a step, which deviate from each other, don't explain how the machine differs
// from the mean one: neither that it differs at all, nor that it differs so much that its speed counts. A run or two
// may both be long.
func (m *machine) isClear(reference, deviation float64) bool {
	if m.weight < minClearRuns {
		return false
	}
	difference := math.Abs(m.center - math.Log(reference))
	standardError := deviation / math.Sqrt(m.weight)
	return difference > clearErrors*standardError && difference > math.Log(minDifference)+standardError
}

// restart keeps the machine's speed as that of few runs.
func (m *machine) restart() {
	m.repeatCenter(min(m.count(), restartSamples))
}

// value is the logarithm of the slowdown that the sample shows.
func (s machineSample) value() float64 {
	if s.run == nil {
		return s.inherited
	}
	return s.run.residual() + s.run.machine.center
}
