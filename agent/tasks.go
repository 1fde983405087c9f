package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// startLease bounds the time between the checks before a start and the start itself.
	startLease = time.Second
	// taskLease ends a task whose agent or gang is gone.
	taskLease = 2 * time.Second
	// leaseHorizon bounds a lease's end by the gang's oldest liveness signal. A worker that hangs beside a live agent is
	// noticed up to 1 s late; with this bound the other members still end within 4.5 s.
	leaseHorizon = 3 * time.Second
	// workerTimeout bounds one call to the worker.
	workerTimeout = time.Second
	// leaseMargin covers the worker's clock running slower than the agent's while a start's outcome is unknown.
	leaseMargin = 200 * time.Millisecond
	// maxMisses is how many lists in a row must not name a task before it counts as lost.
	maxMisses = 2
)

// tasks starts and ends the members that run on the worker.
type tasks struct {
	clock   clockwork.Clock
	worker  WorkerPort
	peers   Peers
	gate    *gate
	fences  *fences
	holds   *holds
	answers *answers
	cleaner *cleaner
	journal *journal
	group   *group
	mu      sync.Mutex
	all     map[key]*task
}

// acknowledge forgets ended tasks of the job's attempts up to k's, here and at the worker.
func (t *tasks) acknowledge(k key) {
	for _, found := range t.list() {
		if !k.covers(found.key) || !found.isEnded() {
			continue
		}
		found.settleNow()
		t.cleaner.add(func(ctx context.Context) error {
			return settled(t.worker.Remove(ctx, found.key.taskID()), t.worker.Rejected)
		}, func() {
			t.drop(found)
		})
	}
}

// adopt takes over a task that was found on the worker. Its gang's members are not known, so its lease is left to
// lapse.
func (t *tasks) adopt(k key, status TaskStatus) {
	found := newTask(k, nil)
	found.launch(t.clock.Now(), nil)
	t.mu.Lock()
	t.all[k] = found
	t.mu.Unlock()
	t.fences.close(k)
	t.holds.occupy(k, status.Task)
	t.answers.reserveFound()
	t.journal.write(decisionAdopt, k, "found on the worker as "+status.State+"; its lease is not renewed")
	t.observe(found, status)
}

// beat answers a heartbeat that a child sent to the member k.
func (t *tasks) beat(ctx context.Context, k key, beat *peerpb.Beat) *peerpb.BeatReply {
	found := t.lookup(k)
	if found != nil && found.member != nil && found.isRunning() {
		return found.member.beat(ctx, beat)
	}
	gone := found == nil && t.fences.closedFor(k) || found != nil && found.member == nil
	return &peerpb.BeatReply{
		Known:  gone,
		Failed: gone,
	}
}

func (t *tasks) list() []*task {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*task, 0, len(t.all))
	for _, found := range t.all {
		all = append(all, found)
	}
	return all
}

func (t *tasks) lookup(k key) *task {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all[k]
}

// poll reads the worker's list and records which tasks have ended.
func (t *tasks) poll(ctx context.Context) error {
	asked := t.clock.Now()
	statuses, err := t.statuses(ctx)
	if err != nil {
		return err
	}
	named := map[key]bool{}
	for _, status := range statuses {
		k := status.key()
		named[k] = true
		found := t.lookup(k)
		switch {
		case found != nil:
			t.observe(found, status)
		case t.fences.closedFor(k):
			t.discard(status)
		default:
			t.adopt(k, status)
		}
	}
	for _, found := range t.list() {
		if !named[found.key] && found.miss(asked) >= maxMisses {
			t.end(found, TaskStatus{
				State:  StateLapsed,
				Reason: "the worker no longer knows the task",
			})
		}
	}
	return nil
}

// recover reads the worker's tasks after a start of the agent.
func (t *tasks) recover(ctx context.Context) error {
	statuses, err := t.statuses(ctx)
	if err != nil {
		return err
	}
	for _, status := range statuses {
		t.adopt(status.key(), status)
	}
	return nil
}

// running returns how many tasks the worker still runs.
func (t *tasks) running() int {
	count := 0
	for _, found := range t.list() {
		if !found.isEnded() {
			count++
		}
	}
	return count
}

// start starts a committed member and returns why not if it was refused. An error that wraps errUnknown leaves the
// outcome open.
func (t *tasks) start(ctx context.Context, k key) error {
	started, err := t.admit(k)
	if err != nil || started == nil {
		return err
	}
	return started.awaitLaunch(ctx)
}

// admit returns the task of a start that is known already, or begins a new one. It returns nil for a task that has
// run and was acknowledged.
func (t *tasks) admit(k key) (*task, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, ok := t.all[k]; ok {
		return found, nil
	}
	if t.fences.hasRun(k) {
		return nil, nil
	}
	if err := t.fences.check(k); err != nil {
		return nil, err
	}
	if err := t.answers.reserve(); err != nil {
		return nil, err
	}
	reserved, err := t.holds.begin(t.clock.Now(), k)
	if err != nil {
		t.answers.cancel()
		return nil, err
	}
	started := newTask(k, newMember(k, reserved.members, t.clock, t.peers))
	t.all[k] = started
	t.group.run(func(ctx context.Context) {
		t.run(ctx, started, reserved)
	})
	return started, nil
}

// discard ends and removes a task that was settled before.
func (t *tasks) discard(status TaskStatus) {
	k := status.key()
	t.cleaner.add(func(ctx context.Context) error {
		if status.State == StateRunning {
			return settled(t.worker.Stop(ctx, k.taskID()), t.worker.Rejected)
		}
		return settled(t.worker.Remove(ctx, k.taskID()), t.worker.Rejected)
	}, func() {})
}

func (t *tasks) drop(found *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, found.key)
}

// end records how a task ended.
func (t *tasks) end(found *task, status TaskStatus) {
	if !found.finish() {
		return
	}
	r := newResult(found.key, status.Answer)
	switch status.State {
	case StateDone:
	case StateFailed:
		r.failed = true
	case StateCheckpointed:
		r.checkpointed = true
	default:
		r.lost = true
	}
	if r.reason == "" {
		r.reason = status.Reason
	}
	t.holds.finish(found.key)
	switch {
	case found.member == nil:
	case r.failed || r.lost && !found.isReleased():
		found.member.fail()
	default:
		found.member.watch.Done()
	}
	t.journal.write(decisionEnd, found.key, status.State+": "+r.reason)
	t.answers.add(r)
}

// launch starts a member in three steps. The start lease is taken before the checks, so a process that is paused
// after the checks finds its lease expired and the worker refuses.
func (t *tasks) launch(ctx context.Context, k key, reserved reservation) error {
	if err := t.lease(ctx, k.taskID(), startLease); err != nil {
		return fmt.Errorf("take the start lease: %w", err)
	}
	leased := t.clock.Now()
	if err := t.check(k); err != nil {
		return err
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, t.clock, workerTimeout)
	defer cancel()
	err := t.worker.Start(callCtx, reserved.task())
	if err == nil || errors.Is(err, t.worker.Rejected) {
		return err
	}
	return t.settleStart(ctx, k, leased, err)
}

func (t *tasks) check(k key) error {
	if err := t.gate.check(); err != nil {
		return err
	}
	if err := t.fences.check(k); err != nil {
		return err
	}
	if found := t.lookup(k); found != nil && found.isReleased() {
		return errors.New("released before the start")
	}
	return nil
}

func (t *tasks) lease(ctx context.Context, id string, ttl time.Duration) error {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, workerTimeout)
	defer cancel()
	return t.worker.Lease(ctx, id, ttl)
}

// observe records the state that the worker's list shows.
func (t *tasks) observe(found *task, status TaskStatus) {
	if !found.isRunning() {
		return
	}
	found.seen()
	if status.State != StateRunning {
		t.end(found, status)
	}
}

// run launches a task, renews its lease until it has ended and keeps its gang informed until the end is settled.
func (t *tasks) run(ctx context.Context, started *task, reserved reservation) {
	k := started.key
	err := t.launch(ctx, k, reserved)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errUnknown, err)
	}
	t.fences.close(k)
	started.launch(t.clock.Now(), err)
	if err != nil {
		t.journal.write(decisionRefuse, k, err.Error())
		t.answers.cancel()
		t.holds.finish(k)
		t.drop(started)
		return
	}
	t.journal.write(decisionStart, k, fmt.Sprintf("member of %d", len(reserved.members)))
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(reserved.members) > 1 {
		t.group.run(func(context.Context) {
			started.member.run(watchCtx)
		})
	}
	t.renewUntilEnded(ctx, started)
	t.linger(ctx, started)
}

// linger keeps the member's heartbeats going after its end: the other members still run after one is done, and after
// one has failed they must learn of it.
func (t *tasks) linger(ctx context.Context, ended *task) {
	incomplete := time.Duration(0)
	for incomplete < lingerLimit {
		timer := t.clock.NewTimer(beatInterval)
		select {
		case <-ended.settled:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
		if !ended.member.watch.Alive() {
			incomplete += beatInterval
		}
	}
}

// renew renews the lease once if the gang is known to be complete.
func (t *tasks) renew(ctx context.Context, running *task) {
	renew, lapsed := running.renewable()
	if lapsed {
		age, failed := running.member.watch.Age()
		t.journal.write(decisionLapse, running.key,
			fmt.Sprintf("gang incomplete: oldest liveness signal %s ago, failed member %t", age, failed))
	}
	if !renew {
		return
	}
	asked := t.clock.Now()
	age, _ := running.member.watch.Age()
	err := t.lease(ctx, running.key.taskID(), min(taskLease, max(leaseHorizon-age, leaseHorizon-taskLease)))
	running.member.watch.Renewed(asked, err == nil)
	if err != nil && ctx.Err() == nil {
		t.journal.logger.Warn("renew task lease", "task", running.key.taskID(), "error", err)
	}
}

func (t *tasks) renewUntilEnded(ctx context.Context, running *task) {
	for {
		t.renew(ctx, running)
		timer := t.clock.NewTimer(beatInterval)
		select {
		case <-running.ended:
			timer.Stop()
			return
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
	}
}

// settleStart finds out whether a start with unknown outcome took effect. The lease is not renewed meanwhile, so
// after its end a list that does not name the task proves that it never started.
func (t *tasks) settleStart(ctx context.Context, k key, leased time.Time, cause error) error {
	retry := newBackoff()
	for {
		if err := sleep(ctx, t.clock, retry.NextBackOff()); err != nil {
			return err
		}
		asked := t.clock.Now()
		statuses, err := t.statuses(ctx)
		if err != nil {
			continue
		}
		for _, status := range statuses {
			if status.key() == k {
				return nil
			}
		}
		if asked.Sub(leased) > startLease+leaseMargin {
			return fmt.Errorf("the start did not reach the worker: %w", cause)
		}
	}
}

func (t *tasks) statuses(ctx context.Context) ([]TaskStatus, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, workerTimeout)
	defer cancel()
	statuses, err := t.worker.Tasks(ctx)
	if err != nil {
		return nil, fmt.Errorf("list the worker's tasks: %w", err)
	}
	return statuses, nil
}

func (r reservation) task() Task {
	return Task{
		ID:           r.key.taskID(),
		Lease:        r.key.taskID(),
		Job:          r.key.job,
		Generation:   r.key.attempt.generation,
		Count:        r.key.attempt.count,
		Member:       r.key.member,
		Accelerators: r.accelerators,
		Cores:        r.job.GetCores(),
		Memory:       r.job.GetMemoryBytes(),
		Payload:      r.job.GetPayload(),
		Resume:       r.job.GetCheckpointable(),
	}
}

func (s TaskStatus) key() key {
	return key{
		job: s.Job,
		attempt: attempt{
			generation: s.Generation,
			count:      s.Count,
		},
		member: s.Member,
	}
}
