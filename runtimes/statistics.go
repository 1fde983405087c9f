package runtimes

import (
	"math"
	"slices"
)

const (
	// normalDeviation is the ratio of a normal distribution's standard deviation to its median deviation.
	normalDeviation = 1.4826
	// outlierResidual is the residual from which a run counts less, the further the less: a task that takes several times
	// as long as its step says little about its machine.
	outlierResidual = 0.3
	// ignoredResidual is the residual from which a run doesn't count: one that takes five times as long is a long task, or
	// a machine that crawls, which shows by its progress.
	ignoredResidual = 1.6
)

// median returns the median of at least one value. It reorders the values.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// robustWeight returns the weight of an observation with a residual (Huber's).
func robustWeight(residual float64) float64 {
	distance := math.Abs(residual)
	if distance >= ignoredResidual {
		return 0
	}
	return outlierResidual / max(distance, outlierResidual)
}

// standardDeviation estimates the standard deviation from the median distance to a center, which outliers don't affect.
func standardDeviation(values []float64, center float64) float64 {
	distances := make([]float64, 0, len(values))
	for _, value := range values {
		distances = append(distances, math.Abs(value-center))
	}
	return normalDeviation * median(distances)
}
