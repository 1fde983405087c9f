package replay

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Metrics are the results that have targets, and a few others. Times are in seconds.
type Metrics struct {
	// SmallSlowdown is the 99th percentile of the slowdown (completion time divided by run time) of the small jobs that
	// were submitted before the load peak while an accelerator was free.
	SmallSlowdown float64
	// SmallSlowdownAnyLoad is the same for all small jobs before the load peak, whether or not an accelerator was free.
	SmallSlowdownAnyLoad float64
	// BurstCompletion is the 99th percentile of the completion time of the small jobs of the burst.
	BurstCompletion float64
	// LargeCompletion is the 95th percentile of the completion time of large jobs.
	LargeCompletion float64
	// PackingRatio is the mean size of the largest free adjacent shape, divided by the mean size after an offline packing
	// of the running jobs.
	PackingRatio float64
	// OutageWorkRatio is the mean number of busy accelerators outside the zone during its outage, divided by the number
	// in the minute before the outage scaled to the remaining capacity.
	OutageWorkRatio float64
	// ZoneRefillTime is the time from the end of the outage until 95 % of the zone is in use or no job is waiting.
	ZoneRefillTime float64
	// ReclaimedInTime is the fraction of the jobs claiming a guarantee that started within the reclaim limit.
	ReclaimedInTime float64
	// MaxUrgentWait is the longest wait of an urgent job until its start.
	MaxUrgentWait float64
	// Done, Refused and Cancelled count the jobs by outcome. UnexpectedOutcomes lists the jobs with another outcome than
	// the expected one.
	Done               int
	Refused            int
	Cancelled          int
	UnexpectedOutcomes []string
	// MeanBusyAccelerators is the mean number of accelerators in use over all samples.
	MeanBusyAccelerators float64
	// Evictions is the number of evictions of all jobs.
	Evictions int
}

// Measure computes the metrics of a replay.
func Measure(events []Event, result *Outcome) Metrics {
	var m Metrics
	byClass := map[string][]float64{}
	reclaimed, claims := 0, 0
	for _, r := range result.Records {
		completion := (r.EndTime - r.Submit).Seconds()
		switch r.Outcome {
		case "done":
			m.Done++
		case "refused":
			m.Refused++
		case "cancelled":
			m.Cancelled++
		default:
			completion = math.Inf(1)
		}
		m.Evictions += r.Evictions
		if want := strings.TrimSpace(r.Job.WantOutcome); want != r.Outcome && (want != "" || r.Outcome != "done") {
			m.UnexpectedOutcomes = append(m.UnexpectedOutcomes, r.ID+" "+r.Outcome)
		}
		switch r.Job.Class {
		case "small":
			slowdown := completion / millisToDuration(r.Job.RunMillis).Seconds()
			byClass["small, any load"] = append(byClass["small, any load"], slowdown)
			if r.freeAtSubmit {
				byClass["small"] = append(byClass["small"], slowdown)
			}
		case "claim":
			claims++
			if r.started && r.StartTime-r.Submit <= reclaimLimit {
				reclaimed++
			}
		case "urgent":
			wait := (r.StartTime - r.Submit).Seconds()
			if !r.started {
				wait = math.Inf(1)
			}
			m.MaxUrgentWait = max(m.MaxUrgentWait, wait)
		default:
			byClass[r.Job.Class] = append(byClass[r.Job.Class], completion)
		}
	}
	m.SmallSlowdown = percentile(byClass["small"], 0.99)
	m.SmallSlowdownAnyLoad = percentile(byClass["small, any load"], 0.99)
	m.BurstCompletion = percentile(byClass["burst"], 0.99)
	m.LargeCompletion = percentile(byClass["large"], 0.95)
	m.ReclaimedInTime = float64(reclaimed) / float64(max(claims, 1))
	m.addSampleMetrics(events, result)
	return m
}

// reclaimLimit is the reclaim limit of all workspaces in the generated traces.
const reclaimLimit = 10 * time.Second

// addSampleMetrics computes the metrics that are based on samples of the cluster.
func (m *Metrics) addSampleMetrics(events []Event, result *Outcome) {
	outageStart, outageEnd, zone := zoneOutage(events)
	var largest, repacked, busy, busyBefore, busyDuring float64
	var samplesBefore, samplesDuring, samples int
	m.ZoneRefillTime = math.Inf(1)
	for _, s := range result.Samples {
		largest += float64(s.LargestFree)
		repacked += float64(s.LargestFreeRepacked)
		total, outsideZone := 0, 0
		for name, n := range s.BusyByZone {
			total += n
			if name != zone {
				outsideZone += n
			}
		}
		busy += float64(total)
		samples++
		switch {
		case s.At >= outageStart-time.Minute && s.At < outageStart:
			busyBefore += float64(total)
			samplesBefore++
		case s.At >= outageStart && s.At < outageEnd:
			busyDuring += float64(outsideZone)
			samplesDuring++
		case s.At >= outageEnd && (float64(s.BusyByZone[zone]) >= 0.95*float64(s.CapacityByZone[zone]) || s.WaitingJobs == 0):
			m.ZoneRefillTime = min(m.ZoneRefillTime, (s.At - outageEnd).Seconds())
		}
	}
	m.PackingRatio = largest / max(repacked, 1)
	m.MeanBusyAccelerators = busy / float64(max(samples, 1))
	m.OutageWorkRatio = busyDuring / float64(max(samplesDuring, 1)) /
		max(busyBefore/float64(max(samplesBefore, 1))*remainingCapacityRatio(events, zone), 1)
}

// zoneOutage returns the start and the end of the zone outage in a trace, and the name of the zone.
func zoneOutage(events []Event) (start, end time.Duration, zone string) {
	for _, e := range events {
		if e.Event != SetPolicy {
			continue
		}
		at := millisToDuration(e.AtMillis)
		previousZone := zone
		for _, z := range e.Policy.Zones {
			if !z.In {
				zone, start = z.Name, at
			}
		}
		if previousZone != "" && previousZone == zone && start != at {
			end = at
		}
	}
	return start, end, zone
}

// remainingCapacityRatio returns the fraction of all accelerators that are outside the zone.
func remainingCapacityRatio(events []Event, zone string) float64 {
	total, remaining := 0, 0
	for _, e := range events {
		if e.Event == SetWorker {
			total += e.Worker.Accelerators
			if e.Worker.Zone != zone {
				remaining += e.Worker.Accelerators
			}
		}
	}
	return float64(remaining) / float64(max(total, 1))
}

// percentile returns the smallest value that at least the given fraction of the values does not exceed. It sorts
// values in place.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(fraction*float64(len(values))))-1]
}
