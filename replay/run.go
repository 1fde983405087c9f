package replay

import (
	"container/heap"
	"math/bits"
	"slices"
	"strings"
	"time"

	"radishpath.example/radishpath/placement"
)

const (
	// tick is how often Decide is called while nothing else happens.
	tick = 500 * time.Millisecond
	// checkpointing is how long a checkpoint takes. A shorter limit stops the job and loses the run.
	checkpointing = 2 * time.Second
	// failing is how long a task runs before it fails.
	failing = time.Second
	// drained bounds a replay after its last event.
	drained = 4 * time.Hour
)

// Placer is what a replay drives: placement.Scheduler or a baseline.
type Placer interface {
	SetPolicy(p placement.Policy)
	SetWorker(now time.Time, w placement.Worker)
	Submit(now time.Time, j placement.Job) error
	Cancel(now time.Time, id string)
	Ended(now time.Time, id string, result placement.Result)
	Decide(now time.Time) []placement.Decision
}

// NewScheduler returns the real code.
func NewScheduler() Placer {
	return placement.New(placement.Config{})
}

// Record is what became of a job.
type Record struct {
	ID     string
	Job    Job
	Submit time.Duration
	// Start is the first start, End the end of the last run.
	Start     time.Duration
	End       time.Duration
	Outcome   string
	Evictions int
	started   bool
	left      time.Duration
	attempt   int
	members   []placement.Assignment
	since     time.Duration
	stopping  bool
	// roomy is set if an accelerator was free when the job was submitted.
	roomy bool
}

// Outcome is the result of a replay.
type Outcome struct {
	Records []*Record
	Samples []Sample
	// Decided lists the decisions as events, in order.
	Decided []Event
	// Decisions counts calls of Decide.
	Decisions int
	byID      map[string]*Record
}

// happening is something that is due: an event of the trace or the end of a run.
type happening struct {
	at      time.Duration
	order   int
	event   *Event
	job     string
	attempt int
	result  placement.Result
	saved   bool
}

// runner is the state of a replay.
type runner struct {
	placer  Placer
	start   time.Time
	due     happenings
	order   int
	out     *Outcome
	broken  map[string]bool
	workers map[string]placement.Worker
	zones   map[string]bool
	live    int
	running map[string]*Record
}

// Run replays a trace until all jobs have ended.
func Run(events []Event, placer Placer) *Outcome {
	r := &runner{
		placer:  placer,
		start:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		broken:  map[string]bool{},
		workers: map[string]placement.Worker{},
		zones:   map[string]bool{},
		running: map[string]*Record{},
		out: &Outcome{
			byID: map[string]*Record{},
		},
	}
	for i := range events {
		r.push(happening{
			at:    milliseconds(events[i].At),
			event: &events[i],
		})
	}
	last := milliseconds(events[len(events)-1].At)
	now, next := time.Duration(0), time.Duration(0)
	for now < last+drained && (now <= last || r.live > 0) {
		now = next
		if len(r.due) > 0 {
			now = min(now, r.due[0].at)
		}
		for len(r.due) > 0 && r.due[0].at <= now {
			r.apply(heap.Pop(&r.due).(happening))
		}
		r.out.Decisions++
		for _, d := range r.placer.Decide(r.start.Add(now)) {
			r.carry(now, d)
		}
		if now == next {
			if now <= last {
				r.sample(now)
			}
			next = now + tick
		}
	}
	return r.out
}

func (r *runner) push(h happening) {
	r.order++
	h.order = r.order
	heap.Push(&r.due, h)
}

func (r *runner) apply(h happening) {
	now := r.start.Add(h.at)
	if h.event == nil {
		r.ended(h)
		return
	}
	switch e := h.event; e.Event {
	case SetWorker:
		r.workers[e.Worker.ID] = *e.Worker
		r.placer.SetWorker(now, *e.Worker)
	case SetPolicy:
		for _, z := range e.Policy.Zones {
			r.zones[z.Name] = !z.In
		}
		r.placer.SetPolicy(*e.Policy)
	case Submit:
		r.submit(h.at, e)
	case Cancel:
		if record := r.out.byID[e.ID]; record != nil && record.Outcome == "" {
			r.placer.Cancel(now, e.ID)
			r.finish(h.at, record, "cancelled")
			if r.running[e.ID] != nil {
				r.end(h.at, record, placement.Result{}, false)
			}
		}
	case Break:
		r.broken[e.ID] = true
	case Repair:
		delete(r.broken, e.ID)
	}
}

func (r *runner) submit(at time.Duration, e *Event) {
	record := &Record{
		ID:     e.ID,
		Job:    *e.Job,
		Submit: at,
		left:   milliseconds(e.Job.Run),
		roomy:  r.free() > 0,
	}
	r.out.Records = append(r.out.Records, record)
	r.out.byID[e.ID] = record
	r.live++
	if r.placer.Submit(r.start.Add(at), e.Job.placement(e.ID)) != nil {
		r.finish(at, record, "refused")
	}
}

// free counts the free accelerators in service.
func (r *runner) free() int {
	total := 0
	for _, w := range r.workers {
		if !r.zones[w.Zone] {
			total += w.Accelerators
		}
	}
	for _, record := range r.running {
		for _, m := range record.members {
			if !r.zones[r.workers[m.Worker].Zone] {
				total -= bits.OnesCount64(m.Accelerators)
			}
		}
	}
	return total
}

// carry does what a decision asks for.
func (r *runner) carry(now time.Duration, d placement.Decision) {
	r.out.Decided = append(r.out.Decided, Event{
		At:       now.Milliseconds(),
		Event:    Decided,
		Decision: &d,
	})
	record := r.out.byID[d.Job]
	switch d.Kind {
	case placement.Place:
		r.place(now, record, d)
	case placement.Evict:
		if r.running[d.Job] == nil {
			return
		}
		if !record.stopping {
			record.Evictions++
		}
		record.stopping = true
		took := time.Duration(0)
		if d.Checkpoint {
			took = min(checkpointing, d.Limit)
		}
		r.push(happening{
			at:      now + took,
			job:     d.Job,
			attempt: record.attempt,
			saved:   d.Checkpoint && d.Limit >= checkpointing,
		})
	case placement.Refuse:
		r.finish(now, record, "refused")
	case placement.Wait:
	}
}

func (r *runner) place(now time.Duration, record *Record, d placement.Decision) {
	if !record.started {
		record.started = true
		record.Start = now
	}
	record.attempt++
	record.members = d.Members
	record.since = now
	record.stopping = false
	r.running[record.ID] = record
	h := happening{
		at:      now + record.left,
		job:     record.ID,
		attempt: record.attempt,
		result: placement.Result{
			OK: true,
		},
	}
	bad := slices.IndexFunc(d.Members, func(m placement.Assignment) bool { return r.broken[m.Worker] })
	if strings.Contains(record.Job.Flags, "f") {
		bad = 0
	}
	if bad >= 0 {
		h.at = now + min(failing, record.left)
		h.result = placement.Result{
			FailedWorker: d.Members[bad].Worker,
			Reason:       "exit 1",
		}
	}
	r.push(h)
}

func (r *runner) ended(h happening) {
	record := r.out.byID[h.job]
	if record.attempt == h.attempt && r.running[h.job] != nil {
		r.end(h.at, record, h.result, h.saved)
	}
}

func (r *runner) end(at time.Duration, record *Record, result placement.Result, saved bool) {
	delete(r.running, record.ID)
	record.attempt++
	record.End = at
	if saved {
		record.left -= at - record.since
	}
	if result.OK {
		r.finish(at, record, "done")
	}
	r.placer.Ended(r.start.Add(at), record.ID, result)
}

func (r *runner) finish(at time.Duration, record *Record, outcome string) {
	if record.Outcome != "" {
		return
	}
	record.Outcome = outcome
	record.End = at
	r.live--
}

func (j Job) placement(id string) placement.Job {
	return placement.Job{
		ID:             id,
		Workspace:      j.Workspace,
		Kind:           j.Kind,
		Idempotent:     strings.Contains(j.Flags, "i"),
		Checkpointable: strings.Contains(j.Flags, "c"),
		Urgent:         strings.Contains(j.Flags, "u"),
		Members:        j.Members,
		Accelerators:   j.Each,
		Cores:          j.Cores,
		Scope:          placement.Scope(j.Scope),
		Declared:       milliseconds(j.Declared),
	}
}

// happenings orders what is due by time and then by the order in which it became known.
type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].order < h[k].order
}
func (h happenings) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop implements heap.Interface.
func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
