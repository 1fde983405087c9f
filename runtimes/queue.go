package runtimes

import (
	"math"
	"slices"
	"time"
)

const (
	// maxQueueSamples is the number of steps from which the work of a queue is estimated.
	maxQueueSamples = 32
	// minQueueSamples is the number of steps after which the estimate replaces the declared run time.
	minQueueSamples = 3
	// minQueueDeviation is the least standard deviation, as a share, that either predictor of work is taken to have. It
	// keeps a few samples that happen to agree from deciding alone.
	minQueueDeviation = 0.1
)

// queue holds what is known of the work of a queue's steps.
type queue struct {
	// samples holds the newest steps, the oldest first.
	samples []queueSample
	// typicalWork is the median of the logarithms of the work, typicalRatio that of the ratios to what was declared, and
	// declaredWeight the weight of the latter; valid unless stale is set.
	typicalWork    float64
	typicalRatio   float64
	declaredWeight float64
	stale          bool
}

// queueSample is one observed step: the logarithm of its work, and of its work relative to what was declared.
type queueSample struct {
	step    string
	work    float64
	ratio   float64
	isRatio bool
}

// observe records the logarithm of the work of a step. It replaces what was recorded of the same step earlier.
func (q *queue) observe(step Step, work float64) {
	sample := queueSample{
		step:    step.ID,
		work:    work,
		isRatio: step.Declared > 0,
	}
	if sample.isRatio {
		sample.ratio = work - math.Log(step.Declared.Seconds())
	}
	q.stale = true
	i := slices.IndexFunc(q.samples, func(known queueSample) bool { return known.step == step.ID })
	if i >= 0 {
		q.samples[i] = sample
		return
	}
	if len(q.samples) == maxQueueSamples {
		q.samples = slices.Delete(q.samples, 0, 1)
	}
	q.samples = append(q.samples, sample)
}

// work returns the expected work of a step. It weighs two predictors by the variance of their errors: what the queue's
// steps took, and what was declared, corrected by how declarations of the queue relate to the work.
func (q *queue) work(declared time.Duration) time.Duration {
	q.refresh()
	if declared <= 0 || q.declaredWeight == 0 {
		return seconds(math.Exp(q.typicalWork))
	}
	corrected := math.Log(declared.Seconds()) + q.typicalRatio
	return seconds(math.Exp(q.declaredWeight*corrected + (1-q.declaredWeight)*q.typicalWork))
}

// refresh computes the predictors after a change.
func (q *queue) refresh() {
	if !q.stale {
		return
	}
	q.stale = false
	var works, ratios []float64
	for _, sample := range q.samples {
		works = append(works, sample.work)
		if sample.isRatio {
			ratios = append(ratios, sample.ratio)
		}
	}
	q.typicalWork = median(works)
	q.declaredWeight = 0
	if len(ratios) < minQueueSamples {
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
