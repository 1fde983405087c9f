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
	// decideInterval is the longest simulated time between calls of Decide. Decide is also called after every event.
	decideInterval = 500 * time.Millisecond
	// checkpointDuration is how long a checkpoint takes. An eviction with a shorter limit loses the progress of the run.
	checkpointDuration = 2 * time.Second
	// failureDelay is how long a failing task runs before it fails.
	failureDelay = time.Second
	// maxDrainTime limits how long a replay continues after the last event of the trace.
	maxDrainTime = 4 * time.Hour
)

// Scheduler is the interface of the code under test. It is implemented by placement.Scheduler and by the baselines.
type Scheduler interface {
	SetPolicy(p placement.Policy)
	SetWorker(now time.Time, w placement.Worker)
	Submit(now time.Time, j placement.Job) error
	Cancel(now time.Time, id string)
	Ended(now time.Time, id string, result placement.Result)
	Decide(now time.Time) []placement.Decision
}

// NewScheduler returns the scheduler of package placement with its default configuration.
func NewScheduler() Scheduler {
	return placement.New(placement.Config{})
}

// JobRecord is the history of a job in a replay. Times are relative to the start of the trace.
type JobRecord struct {
	ID     string
	Job    Job
	Submit time.Duration
	// StartTime is when the job first started, EndTime when its last run ended.
	StartTime   time.Duration
	EndTime     time.Duration
	Outcome     string
	Evictions   int
	started     bool
	remaining   time.Duration
	attempt     int
	assignments []placement.Assignment
	runStart    time.Duration
	evicting    bool
	// freeAtSubmit is set if an accelerator was free when the job was submitted.
	freeAtSubmit bool
}

// Outcome is the result of a replay.
type Outcome struct {
	Records []*JobRecord
	Samples []Sample
	// Decided contains all decisions as trace events, in order.
	Decided []Event
	// DecideCalls is the number of calls of Decide.
	DecideCalls int
	recordsByID map[string]*JobRecord
}

// scheduledEvent is a pending event of the simulation: an event of the trace, or the end of a run if traceEvent is
// nil. Events at the same time are handled in the order of sequence.
type scheduledEvent struct {
	at           time.Duration
	sequence     int
	traceEvent   *Event
	jobID        string
	attempt      int
	result       placement.Result
	checkpointed bool
}

// simulation is the state of a replay.
type simulation struct {
	scheduler         Scheduler
	startTime         time.Time
	queue             eventQueue
	sequence          int
	outcome           *Outcome
	brokenWorkers     map[string]bool
	workers           map[string]placement.Worker
	zonesOutOfService map[string]bool
	unfinishedJobs    int
	running           map[string]*JobRecord
}

// Run replays a trace until all jobs have ended, or until maxDrainTime after the last event.
func Run(events []Event, scheduler Scheduler) *Outcome {
	r := &simulation{
		scheduler:         scheduler,
		startTime:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		brokenWorkers:     map[string]bool{},
		workers:           map[string]placement.Worker{},
		zonesOutOfService: map[string]bool{},
		running:           map[string]*JobRecord{},
		outcome: &Outcome{
			recordsByID: map[string]*JobRecord{},
		},
	}
	for i := range events {
		r.schedule(scheduledEvent{
			at:         millisToDuration(events[i].AtMillis),
			traceEvent: &events[i],
		})
	}
	lastArrival := millisToDuration(events[len(events)-1].AtMillis)
	now, nextDecide := time.Duration(0), time.Duration(0)
	for now < lastArrival+maxDrainTime && (now <= lastArrival || r.unfinishedJobs > 0) {
		now = nextDecide
		if len(r.queue) > 0 {
			now = min(now, r.queue[0].at)
		}
		for len(r.queue) > 0 && r.queue[0].at <= now {
			r.handleEvent(heap.Pop(&r.queue).(scheduledEvent))
		}
		r.outcome.DecideCalls++
		for _, d := range r.scheduler.Decide(r.startTime.Add(now)) {
			r.applyDecision(now, d)
		}
		if now == nextDecide {
			if now <= lastArrival {
				r.takeSample(now)
			}
			nextDecide = now + decideInterval
		}
	}
	return r.outcome
}

func (r *simulation) schedule(event scheduledEvent) {
	r.sequence++
	event.sequence = r.sequence
	heap.Push(&r.queue, event)
}

func (r *simulation) handleEvent(event scheduledEvent) {
	now := r.startTime.Add(event.at)
	if event.traceEvent == nil {
		r.handleRunEnd(event)
		return
	}
	switch e := event.traceEvent; e.Event {
	case SetWorker:
		r.workers[e.Worker.ID] = *e.Worker
		r.scheduler.SetWorker(now, *e.Worker)
	case SetPolicy:
		for _, z := range e.Policy.Zones {
			r.zonesOutOfService[z.Name] = !z.In
		}
		r.scheduler.SetPolicy(*e.Policy)
	case Submit:
		r.submitJob(event.at, e)
	case Cancel:
		if record := r.outcome.recordsByID[e.ID]; record != nil && record.Outcome == "" {
			r.scheduler.Cancel(now, e.ID)
			r.recordOutcome(event.at, record, "cancelled")
			if r.running[e.ID] != nil {
				r.endRun(event.at, record, placement.Result{}, false)
			}
		}
	case BreakWorker:
		r.brokenWorkers[e.ID] = true
	case RepairWorker:
		delete(r.brokenWorkers, e.ID)
	}
}

func (r *simulation) submitJob(at time.Duration, e *Event) {
	record := &JobRecord{
		ID:           e.ID,
		Job:          *e.Job,
		Submit:       at,
		remaining:    millisToDuration(e.Job.RunMillis),
		freeAtSubmit: r.freeAccelerators() > 0,
	}
	r.outcome.Records = append(r.outcome.Records, record)
	r.outcome.recordsByID[e.ID] = record
	r.unfinishedJobs++
	if r.scheduler.Submit(r.startTime.Add(at), e.Job.placement(e.ID)) != nil {
		r.recordOutcome(at, record, "refused")
	}
}

// freeAccelerators counts the free accelerators in the availability zones in service.
func (r *simulation) freeAccelerators() int {
	total := 0
	for _, w := range r.workers {
		if !r.zonesOutOfService[w.Zone] {
			total += w.Accelerators
		}
	}
	for _, record := range r.running {
		for _, m := range record.assignments {
			if !r.zonesOutOfService[r.workers[m.Worker].Zone] {
				total -= bits.OnesCount64(m.Accelerators)
			}
		}
	}
	return total
}

// applyDecision records a decision and schedules its effects.
func (r *simulation) applyDecision(now time.Duration, d placement.Decision) {
	r.outcome.Decided = append(r.outcome.Decided, Event{
		AtMillis: now.Milliseconds(),
		Event:    Decided,
		Decision: &d,
	})
	record := r.outcome.recordsByID[d.Job]
	switch d.Kind {
	case placement.Place:
		r.startJob(now, record, d)
	case placement.Evict:
		if r.running[d.Job] == nil {
			return
		}
		if !record.evicting {
			record.Evictions++
		}
		record.evicting = true
		delay := time.Duration(0)
		if d.Checkpoint {
			delay = min(checkpointDuration, d.Limit)
		}
		r.schedule(scheduledEvent{
			at:           now + delay,
			jobID:        d.Job,
			attempt:      record.attempt,
			checkpointed: d.Checkpoint && d.Limit >= checkpointDuration,
		})
	case placement.Refuse:
		r.recordOutcome(now, record, "refused")
	case placement.Wait:
	}
}

func (r *simulation) startJob(now time.Duration, record *JobRecord, d placement.Decision) {
	if !record.started {
		record.started = true
		record.StartTime = now
	}
	record.attempt++
	record.assignments = d.Members
	record.runStart = now
	record.evicting = false
	r.running[record.ID] = record
	end := scheduledEvent{
		at:      now + record.remaining,
		jobID:   record.ID,
		attempt: record.attempt,
		result: placement.Result{
			OK: true,
		},
	}
	failedMember := slices.IndexFunc(d.Members, func(m placement.Assignment) bool { return r.brokenWorkers[m.Worker] })
	if strings.Contains(record.Job.Flags, "f") {
		failedMember = 0
	}
	if failedMember >= 0 {
		end.at = now + min(failureDelay, record.remaining)
		end.result = placement.Result{
			FailedWorker: d.Members[failedMember].Worker,
			Reason:       "exit 1",
		}
	}
	r.schedule(end)
}

// handleRunEnd ends the run that the event belongs to, unless the run has already ended.
func (r *simulation) handleRunEnd(event scheduledEvent) {
	record := r.outcome.recordsByID[event.jobID]
	if record.attempt == event.attempt && r.running[event.jobID] != nil {
		r.endRun(event.at, record, event.result, event.checkpointed)
	}
}

func (r *simulation) endRun(at time.Duration, record *JobRecord, result placement.Result, checkpointed bool) {
	delete(r.running, record.ID)
	record.attempt++
	record.EndTime = at
	if checkpointed {
		record.remaining -= at - record.runStart
	}
	if result.OK {
		r.recordOutcome(at, record, "done")
	}
	r.scheduler.Ended(r.startTime.Add(at), record.ID, result)
}

func (r *simulation) recordOutcome(at time.Duration, record *JobRecord, outcome string) {
	if record.Outcome != "" {
		return
	}
	record.Outcome = outcome
	record.EndTime = at
	r.unfinishedJobs--
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
		Accelerators:   j.AcceleratorsPerMember,
		Cores:          j.Cores,
		Scope:          placement.Scope(j.Scope),
		Declared:       millisToDuration(j.Declared),
	}
}

// eventQueue is a heap ordered by time, then by the order in which the events were scheduled.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(pushed any) { *q = append(*q, pushed.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
