package replay

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Measures are the figures that the targets are about. Times are in seconds.
type Measures struct {
	// Small is the 99th percentile of small requests' completion in units of their unloaded time, for those that
	// were submitted while an accelerator was free, outside the burst.
	Small float64
	// Calm is the same for all small requests outside the burst, whether or not an accelerator was free.
	Calm float64
	// Burst is the 99th percentile of completion of the small requests of the burst.
	Burst float64
	// Large is the 95th percentile of completion of large jobs.
	Large float64
	// Packing is the mean of the largest placeable adjacent shape over that of an offline packing.
	Packing float64
	// Outage is the work done while a zone is out over the remaining capacity's part of the work before.
	Outage float64
	// Return is the time until the returned zone is used at 95 % or nothing waits.
	Return float64
	// Reclaimed is the part of guaranteed shapes that started within the limit.
	Reclaimed float64
	// Urgent is the longest time until an urgent job started.
	Urgent float64
	// Done, Refused and Cancelled count outcomes; Wrong lists jobs whose outcome is not the stated one.
	Done      int
	Refused   int
	Cancelled int
	Wrong     []string
	// Work is the mean number of busy accelerators until the last large job ended.
	Work float64
	// Evictions counts evictions of all jobs.
	Evictions int
}

// Measure computes the figures of a replay.
func Measure(events []Event, o *Outcome) Measures {
	var m Measures
	by := map[string][]float64{}
	reclaimed, asked := 0, 0
	for _, r := range o.Records {
		took := (r.End - r.Submit).Seconds()
		switch r.Outcome {
		case "done":
			m.Done++
		case "refused":
			m.Refused++
		case "cancelled":
			m.Cancelled++
		default:
			took = math.Inf(1)
		}
		m.Evictions += r.Evictions
		if want := strings.TrimSpace(r.Job.Want); want != r.Outcome && (want != "" || r.Outcome != "done") {
			m.Wrong = append(m.Wrong, r.ID+" "+r.Outcome)
		}
		switch r.Job.Class {
		case "small":
			ratio := took / milliseconds(r.Job.Run).Seconds()
			by["calm"] = append(by["calm"], ratio)
			if r.roomy {
				by["small"] = append(by["small"], ratio)
			}
		case "claim":
			asked++
			if r.started && r.Start-r.Submit <= reclaimLimit {
				reclaimed++
			}
		case "urgent":
			wait := (r.Start - r.Submit).Seconds()
			if !r.started {
				wait = math.Inf(1)
			}
			m.Urgent = max(m.Urgent, wait)
		default:
			by[r.Job.Class] = append(by[r.Job.Class], took)
		}
	}
	m.Small = percentile(by["small"], 0.99)
	m.Calm = percentile(by["calm"], 0.99)
	m.Burst = percentile(by["burst"], 0.99)
	m.Large = percentile(by["large"], 0.95)
	m.Reclaimed = float64(reclaimed) / float64(max(asked, 1))
	m.fromSamples(events, o)
	return m
}

// reclaimLimit is the limit in the traces' policies.
const reclaimLimit = 10 * time.Second

// fromSamples computes the figures that are about the cell over time.
func (m *Measures) fromSamples(events []Event, o *Outcome) {
	out, back, zone := outage(events)
	var largest, offline, busy, before, during float64
	var samplesBefore, samplesDuring, samples int
	m.Return = math.Inf(1)
	for _, s := range o.Samples {
		largest += float64(s.Largest)
		offline += float64(s.Offline)
		total, remaining := 0, 0
		for name, n := range s.Busy {
			total += n
			if name != zone {
				remaining += n
			}
		}
		busy += float64(total)
		samples++
		switch {
		case s.At >= out-time.Minute && s.At < out:
			before += float64(total)
			samplesBefore++
		case s.At >= out && s.At < back:
			during += float64(remaining)
			samplesDuring++
		case s.At >= back && (float64(s.Busy[zone]) >= 0.95*float64(s.Open[zone]) || s.Waiting == 0):
			m.Return = min(m.Return, (s.At - back).Seconds())
		}
	}
	m.Packing = largest / max(offline, 1)
	m.Work = busy / float64(max(samples, 1))
	m.Outage = during / float64(max(samplesDuring, 1)) /
		max(before/float64(max(samplesBefore, 1))*remainingPart(events, zone), 1)
}

// outage returns when a zone went out, when it returned, and its name.
func outage(events []Event) (out, back time.Duration, zone string) {
	for _, e := range events {
		if e.Event != SetPolicy {
			continue
		}
		at := milliseconds(e.At)
		was := zone
		for _, z := range e.Policy.Zones {
			if !z.In {
				zone, out = z.Name, at
			}
		}
		if was != "" && was == zone && out != at {
			back = at
		}
	}
	return out, back, zone
}

// remainingPart is the part of the accelerators that is not in a zone.
func remainingPart(events []Event, zone string) float64 {
	all, rest := 0, 0
	for _, e := range events {
		if e.Event == SetWorker {
			all += e.Worker.Accelerators
			if e.Worker.Zone != zone {
				rest += e.Worker.Accelerators
			}
		}
	}
	return float64(rest) / float64(max(all, 1))
}

// percentile returns the value that the part p of values does not exceed.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(p*float64(len(values))))-1]
}
