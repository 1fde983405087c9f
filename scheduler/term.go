package scheduler

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/recovery"
)

// appendFunc appends records to the cell's log within a timeout.
type appendFunc func(
	ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64, timeout time.Duration,
) (int64, error)

// term is one period of leadership. Only the goroutine of run uses the planner.
type term struct {
	config          Config
	epoch           int64
	resignRequested <-chan struct{}
	appender        *appender
	planner         *dispatch.Planner
	incomingReports chan *pendingReport
	explainRequests chan *explainRequest
	appendResults   chan appendResult
	adviceResult    chan adviceResult
	// adviceInFlight is set while a request is in flight: the advice service takes one at a time from each machine.
	adviceInFlight        bool
	pendingAdviceRequests []dispatch.AdviceRequest
	done                  chan struct{}
	// pendingReports are the unanswered reports by agent.
	pendingReports map[string]*pendingReport
	// sentVersions are the versions of the orders last sent to each agent.
	sentVersions   map[string]int64
	lastSequence   int64
	appendInFlight bool
	// lastConfirmed is when the last successful append was sent, at first the claim; 0 if that isn't known.
	lastConfirmed time.Duration
	resigning     bool
}

// pendingReport is a report that waits for orders.
type pendingReport struct {
	report   *cellpb.Report
	deadline time.Duration
	orders   chan *cellpb.Orders
}

// appendResult is the result of one call that appends records of a batch.
type appendResult struct {
	batch int64
	// remaining holds the records of the batch's further calls.
	remaining [][]cell.LogRecord
	sentAt    time.Duration
	resigned  bool
	err       error
}

// newTerm returns the term of a claim that was sent at claimedAt.
func newTerm(
	config Config, epoch int64, claimedAt time.Duration, resignRequested <-chan struct{}, appendRecords appendFunc,
) *term {
	now := currentInstant(config)
	config.Dispatch.PredecessorValidity = confirmationValidity
	config.Dispatch.Log = func(event string, fields ...any) {
		config.Metrics.Tagged(map[string]string{"event": event}).Counter("decisions").Inc(1)
		config.Logger.Info(event, append(fields, "epoch", epoch)...)
	}
	config.Dispatch.Count = func(event, cause string) {
		config.Metrics.Tagged(map[string]string{
			"cause": cause,
		}).Counter(event).Inc(1)
	}
	return &term{
		config:          config,
		epoch:           epoch,
		resignRequested: resignRequested,
		appender: &appender{
			append:   appendRecords,
			logger:   config.Logger,
			clock:    config.Clock,
			bootTime: config.BootTime,
		},
		planner:         dispatch.New(config.Dispatch, now),
		incomingReports: make(chan *pendingReport),
		explainRequests: make(chan *explainRequest),
		appendResults:   make(chan appendResult, 1),
		adviceResult:    make(chan adviceResult, 1),
		done:            make(chan struct{}),
		pendingReports:  map[string]*pendingReport{},
		sentVersions:    map[string]int64{},
		lastConfirmed:   claimedAt,
	}
}

// report passes an agent's report to the goroutine of run and waits for orders.
func (t *term) report(ctx context.Context, report *cellpb.Report) (*cellpb.Orders, bool) {
	pending := &pendingReport{
		report: report,
		orders: make(chan *cellpb.Orders, 1),
	}
	return exchange(ctx, t, t.incomingReports, pending, pending.orders)
}

// run schedules until another scheduler takes over, this one has resigned or ctx ends, and returns the reason.
func (t *term) run(ctx context.Context) error {
	t.loadState()
	ticker := t.config.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	resignRequested := t.resignRequested
	for {
		t.runCycle(ctx)
		select {
		case <-ctx.Done():
			return fmt.Errorf("scheduling: %w", context.Cause(ctx))
		case <-resignRequested:
			resignRequested = nil
			t.resigning = true
		case pending := <-t.incomingReports:
			t.acceptReport(pending)
			t.acceptQueuedReports()
		case request := <-t.explainRequests:
			request.answer <- t.planner.Explain(request.request, currentInstant(t.config))
		case result := <-t.appendResults:
			t.appendInFlight = false
			if result.err != nil {
				return result.err
			}
			t.lastConfirmed = result.sentAt
			if len(result.remaining) > 0 {
				t.appendNext(ctx, result)
				continue
			}
			t.planner.Commit(result.batch)
			if result.resigned {
				return errResigned
			}
		case result := <-t.adviceResult:
			t.adviceInFlight = false
			t.planner.HandleAdvice(result.adviceRequest, result.advice, currentInstant(t.config))
		case <-t.config.Mirror.Changed():
			if err := t.applyChanges(); err != nil {
				return err
			}
		case <-ticker.Chan():
		}
	}
}

var errResigned = errors.New("resigned")

func (t *term) loadState() {
	now := currentInstant(t.config)
	t.config.Mirror.TakeChangedJobs()
	t.config.Mirror.View(func(state *cell.State) {
		for _, jobState := range state.Jobs() {
			t.planner.RestoreJob(jobState, now)
		}
	})
	t.planner.SetOperations(t.config.Mirror.Operations())
	claim, _ := t.config.Mirror.Claim()
	t.planner.InheritCapacities(claim.GetCapacities())
}

func (t *term) applyChanges() error {
	now := currentInstant(t.config)
	if claim, _ := t.config.Mirror.Claim(); claim.GetEpoch() > t.epoch {
		return errSuperseded
	}
	for _, jobState := range t.config.Mirror.TakeChangedJobs() {
		t.planner.SetJob(jobState, now)
	}
	t.planner.SetOperations(t.config.Mirror.Operations())
	return nil
}

// acceptReport handles an agent's report. An earlier report of the same agent is answered at once, because the agent no
// longer waits for it.
func (t *term) acceptReport(pending *pendingReport) {
	now := currentInstant(t.config)
	agent := pending.report.GetAgent()
	if earlier, ok := t.pendingReports[agent]; ok {
		t.reply(earlier, now)
	}
	pending.deadline = now.BootTime + maxReportWait
	if pending.report.GetNoWait() || pending.report.GetEpoch() != t.epoch {
		pending.deadline = now.BootTime
	}
	t.planner.Report(pending.report, t.epoch, now)
	t.pendingReports[agent] = pending
}

// acceptQueuedReports accepts further queued reports, so that one scheduling cycle serves them all.
func (t *term) acceptQueuedReports() {
	for range maxReportsPerCycle {
		select {
		case pending := <-t.incomingReports:
			t.acceptReport(pending)
		default:
			return
		}
	}
}

// runCycle runs one scheduling cycle: it plans, appends the decisions to the log and replies to agents.
func (t *term) runCycle(ctx context.Context) {
	now := currentInstant(t.config)
	t.planner.Expire(now)
	t.planner.Plan(now)
	t.startAppend(ctx, now)
	t.requestAdvice(ctx, now)
	for _, pending := range t.pendingReports {
		if now.BootTime >= pending.deadline ||
			t.planner.OrdersVersion(pending.report.GetAgent()) != t.sentVersions[pending.report.GetAgent()] {
			t.reply(pending, now)
		}
	}
}

func (t *term) orders(agent string, now dispatch.Instant) *cellpb.Orders {
	orders := t.planner.Orders(agent, now)
	orders.Epoch = t.epoch
	orders.Scheduler = t.config.Address
	orders.Agents = t.planner.Agents(maxRelayAgents, now)
	t.config.Mirror.View(func(state *cell.State) {
		orders.Entries = slices.Sorted(maps.Values(state.Members()))
	})
	if now.BootTime-t.lastConfirmed > confirmationValidity {
		orders.GrantMs = 0
	}
	return orders
}

func (t *term) reply(pending *pendingReport, now dispatch.Instant) {
	agent := pending.report.GetAgent()
	delete(t.pendingReports, agent)
	t.sentVersions[agent] = t.planner.OrdersVersion(agent)
	pending.orders <- t.orders(agent, now)
}

// startAppend starts to append the planner's next batch, or a heartbeat or resignation if one is due, unless an append
// is in flight.
func (t *term) startAppend(ctx context.Context, now dispatch.Instant) {
	if t.appendInFlight {
		return
	}
	batch := t.planner.TakeBatch()
	heartbeatDue := now.BootTime-t.lastConfirmed >= heartbeatInterval
	if batch.Empty() && !heartbeatDue && !t.resigning {
		return
	}
	t.appendNext(ctx, appendResult{
		batch:     batch.Number,
		remaining: splitCalls(t.records(batch), maxCallBytes),
		resigned:  t.resigning,
	})
}

// appendNext starts the next call for the remaining records of a batch. The batch is committed after its last call.
func (t *term) appendNext(ctx context.Context, result appendResult) {
	records := result.remaining[0]
	result.remaining = result.remaining[1:]
	t.lastSequence++
	fence := &cell.Fence{
		Producer: producerName,
		Epoch:    t.epoch,
		Sequence: t.lastSequence,
	}
	t.appendInFlight = true
	go func() {
		result.err = recovery.Run(t.config.Logger, t.config.Metrics, "append", func() error {
			sentAt, err := t.appender.run(ctx, records, fence)
			result.sentAt = sentAt
			return err
		})
		t.appendResults <- result
	}()
}

// splitCalls splits records into consecutive calls of at most maxBytes each, or of one larger record. There is at least
// one call.
func splitCalls(records []cell.LogRecord, maxBytes int) [][]cell.LogRecord {
	var calls [][]cell.LogRecord
	first, size := 0, 0
	for i, record := range records {
		recordSize := recordOverhead + len(record.Key) + len(record.Value)
		if i > first && size+recordSize > maxBytes {
			calls = append(calls, records[first:i])
			first, size = i, 0
		}
		size += recordSize
	}
	return append(calls, records[first:])
}

// records returns the log records of a batch. It adds a claim if the batch is empty, as a heartbeat, or if the
// scheduler resigns.
func (t *term) records(batch dispatch.Batch) []cell.LogRecord {
	var records []cell.LogRecord
	for _, progress := range batch.Progress {
		record, err := cell.ProgressRecord(progress)
		if err != nil {
			t.config.Logger.Error("failed to encode progress", "job", progress.GetId(), "error", err)
			continue
		}
		records = append(records, record)
	}
	for _, job := range batch.DroppedJobs {
		records = append(records, cell.DeleteRecords(job)...)
	}
	if len(records) > 0 && !t.resigning {
		return records
	}
	claim, err := cell.ClaimRecord(&cellpb.Claim{
		Epoch:      t.epoch,
		Holder:     t.config.Holder,
		Address:    t.config.Address,
		Resigned:   t.resigning,
		Capacities: t.planner.Capacities(currentInstant(t.config)),
	})
	if err != nil {
		t.config.Logger.Error("failed to encode claim", "error", err)
		return records
	}
	return append(records, claim)
}
