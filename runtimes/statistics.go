package runtimes

import (
	"math"
	"slices"
)

// normalDeviation is the ratio of a normal distribution's standard deviation to its median deviation.
const normalDeviation = 1.4826

// median returns the median of at least one value. It reorders the values.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// standardDeviation estimates the standard deviation from the median distance to a center, which outliers don't affect.
func standardDeviation(values []float64, center float64) float64 {
	distances := make([]float64, 0, len(values))
	for _, value := range values {
		distances = append(distances, math.Abs(value-center))
	}
	return normalDeviation * median(distances)
}
