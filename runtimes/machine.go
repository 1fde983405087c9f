package runtimes

import (
	"math"
	"slices"
)

const (
	// maxMachineSamples is the number of runs from which a machine's speed is computed. It follows a change of speed
	// after half as many new runs.
	maxMachineSamples = 12
	// minMachineSamples is the number of runs from which a machine's speed is known.
	minMachineSamples = 3
	// restartSamples is the number of runs for which what is known of a machine counts after its restart.
	restartSamples = 4
	// minTaskDeviation is the least standard deviation that the tasks of a step are taken to have. A few samples may
	// agree by chance.
	minTaskDeviation = 0.25
	// clearErrors is the number of standard errors by which a machine must differ from the mean one. With hundreds of
	// machines, smaller differences arise by chance on some of them.
	clearErrors = 3
)

// machine holds what is known of the speed of one machine.
type machine struct {
	// samples holds the newest runs, the oldest first.
	samples []machineSample
	// center is the median of the samples.
	center float64
	// slowdown is that of the machine's class relative to the mean machine.
	slowdown float64
}

// machineSample is the logarithm of the slowdown that one run shows. A run is identified by its step and task; what was
// inherited has no step.
type machineSample struct {
	step  string
	task  int32
	value float64
}

func (m *machine) count() int {
	return len(m.samples)
}

// differs reports whether the machine clearly differs from the mean one.
func (m *machine) differs(reference float64) bool {
	difference := math.Abs(m.center - math.Log(reference))
	return difference >= math.Log(minDifference) && difference > m.uncertainty()
}

func (m *machine) export() Speed {
	return Speed{
		LogMilli: int32(math.Round(1000 * m.center)),
		Samples:  int32(m.count()),
	}
}

// inherit replaces the samples by as many with the exported value.
func (m *machine) inherit(exported Speed) {
	m.samples = nil
	for range min(int(exported.Samples), maxMachineSamples) {
		m.samples = append(m.samples, machineSample{
			value: float64(exported.LogMilli) / 1000,
		})
	}
	m.center = median(m.values())
}

// observe records what a run shows. It replaces what the same run showed earlier.
func (m *machine) observe(step string, task int32, value float64) {
	i := slices.IndexFunc(m.samples, func(sample machineSample) bool {
		return sample.step == step && sample.task == task
	})
	switch {
	case i >= 0:
		m.samples[i].value = value
	default:
		if len(m.samples) == maxMachineSamples {
			m.samples = slices.Delete(m.samples, 0, 1)
		}
		m.samples = append(m.samples, machineSample{
			step:  step,
			task:  task,
			value: value,
		})
	}
	m.center = median(m.values())
}

// restart keeps the machine's speed as that of few runs.
func (m *machine) restart() {
	center := m.center
	m.samples = m.samples[:min(len(m.samples), restartSamples)]
	for i := range m.samples {
		m.samples[i] = machineSample{
			value: center,
		}
	}
}

// uncertainty is the difference that may be due to the tasks rather than to the machine.
func (m *machine) uncertainty() float64 {
	deviation := max(standardDeviation(m.values(), m.center), minTaskDeviation)
	return clearErrors * deviation / math.Sqrt(float64(m.count()))
}

func (m *machine) values() []float64 {
	values := make([]float64, 0, len(m.samples))
	for _, sample := range m.samples {
		values = append(values, sample.value)
	}
	return values
}
