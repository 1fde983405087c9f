package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// maxQueueSteps is the number of steps from which the work of a queue is estimated.
	maxQueueSteps = 32
	// minQueueSteps is the number of steps after which the estimate replaces the declared run time.
	minQueueSteps = 3
	// minQueueDeviation is the least standard deviation, as a share, that either predictor of work is taken to have. It
	// keeps a few steps that happen to agree from deciding alone.
	minQueueDeviation = 0.1
)

// queue holds what is known of the work of a queue's steps, in logarithms of seconds.
type queue struct {
	// steps holds the newest steps, the oldest first.
	steps []*step
	// typicalWork is the median work, typicalRatio that of the work to what was declared, and declaredWeight the weight
	// of the latter as a predictor.
	typicalWork    float64
	typicalRatio   float64
	declaredWeight float64
}

func (q *queue) addStep(s *step) {
	if len(q.steps) == maxQueueSteps {
		q.steps = slices.Delete(q.steps, 0, 1)
	}
	q.steps = append(q.steps, s)
}

// predict returns the expected work of a step on the model's own scale, in seconds.
func (q *queue) predict(declared time.Duration) float64 {
	if declared <= 0 {
		return math.Exp(q.typicalWork)
	}
	corrected := math.Log(declared.Seconds()) + q.typicalRatio
	return math.Exp(q.declaredWeight*corrected + (1-q.declaredWeight)*q.typicalWork)
}

// refresh weighs two predictors by the variance of their errors: what the queue's steps took, and what was declared,
// corrected by how declarations of the queue relate to the work.
func (q *queue) refresh() {
	works := make([]float64, 0, len(q.steps))
	ratios := make([]float64, 0, len(q.steps))
	for _, s := range q.steps {
		works = append(works, s.work)
		if !math.IsNaN(s.declared) {
			ratios = append(ratios, s.work-s.declared)
		}
	}
	q.typicalWork, q.typicalRatio, q.declaredWeight = median(works), 0, 0
	if len(ratios) < minQueueSteps {
		return
	}
	q.typicalRatio = median(ratios)
	workVariance, ratioVariance := variance(works, q.typicalWork), variance(ratios, q.typicalRatio)
	q.declaredWeight = workVariance / (workVariance + ratioVariance)
}

func variance(values []float64, center float64) float64 {
	deviation := max(standardDeviation(values, center), minQueueDeviation)
	return deviation * deviation
}
