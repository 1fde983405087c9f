package agent

import (
	"errors"
	"fmt"
	"math/bits"
	"sync"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxHold bounds a hold; the placer and the owner need less than 1 s between hold and commit.
	maxHold = 3 * time.Second
	// maxCommitment bounds the time between commit and start, so that accelerators of an owner that is gone
	// become free.
	maxCommitment = 5 * time.Second
	// maxReservations bounds the members on one worker. A member without accelerators takes no bit of the set.
	maxReservations = 256
)

var (
	errNoHold   = errors.New("no hold")
	errOccupied = errors.New("accelerators are taken")
)

type reservationState int

const (
	held reservationState = iota
	committed
	started
)

// reservation is a member's claim on accelerators, cores and memory from the hold until its task has ended.
type reservation struct {
	key          key
	state        reservationState
	job          *peerpb.Job
	accelerators uint64
	expires      time.Time
	members      []*peerpb.Member
}

// holds promises the worker's accelerators, each to one member at a time. Times are by the agent's clock.
type holds struct {
	mu   sync.Mutex
	term *peerpb.Term
	all  map[key]*reservation
	// change grows whenever a reservation appears, changes its state or goes.
	change uint64
}

func newHolds() *holds {
	return &holds{
		term: &peerpb.Term{},
		all:  map[key]*reservation{},
	}
}

// begin turns a commitment into a start and returns it.
func (h *holds) begin(now time.Time, k key) (reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	r, ok := h.all[k]
	if !ok || r.state != committed {
		return reservation{}, fmt.Errorf("start %s: no commitment", k.taskID())
	}
	r.state = started
	h.change++
	return *r, nil
}

// commit turns a hold into a commitment. A hold whose time limit has passed is gone.
func (h *holds) commit(now time.Time, request *peerpb.Commit) error {
	k := newKey(request.GetJob(), request.GetAttempt(), request.GetMember())
	if int(k.member) >= len(request.GetMembers()) || k.member < 0 {
		return fmt.Errorf("commit %s: member is not among the %d members", k.taskID(), len(request.GetMembers()))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	r, ok := h.all[k]
	if !ok {
		return fmt.Errorf("commit %s: %w", k.taskID(), errNoHold)
	}
	if r.state != held {
		return nil
	}
	r.state = committed
	r.members = request.GetMembers()
	r.expires = now.Add(maxCommitment)
	h.change++
	return nil
}

// count returns the number of holds, commitments and started tasks.
func (h *holds) count(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	return len(h.all)
}

// finish frees what a started task occupied.
func (h *holds) finish(k key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.all[k]; ok {
		delete(h.all, k)
		h.change++
	}
}

// follow takes over a higher term and reports whether the given one is the highest known.
func (h *holds) follow(term *peerpb.Term) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followLocked(term)
}

// hold reserves accelerators until the time limit. A repeated hold of the same member changes nothing.
func (h *holds) hold(now time.Time, request *peerpb.Hold, worker *peerpb.WorkerInfo) error {
	k := newKey(request.GetJob().GetId(), request.GetAttempt(), request.GetMember())
	if err := checkSize(request, worker); err != nil {
		return fmt.Errorf("hold %s: %w", k.taskID(), err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.followLocked(request.GetTerm()) {
		return fmt.Errorf("hold %s: term %d.%d is lower than %d.%d", k.taskID(), request.GetTerm().GetOffset(),
			request.GetTerm().GetSuccessor(), h.term.GetOffset(), h.term.GetSuccessor())
	}
	h.expire(now)
	if r, ok := h.all[k]; ok && r.state != started && r.accelerators == request.GetAccelerators() {
		return nil
	}
	h.dropOlder(k)
	if err := h.checkFree(request, worker); err != nil {
		return fmt.Errorf("hold %s: %w", k.taskID(), err)
	}
	limit := request.GetLimit().AsDuration()
	if limit <= 0 || limit > maxHold {
		limit = maxHold
	}
	h.all[k] = &reservation{
		key:          k,
		state:        held,
		job:          request.GetJob(),
		accelerators: request.GetAccelerators(),
		expires:      now.Add(limit),
	}
	h.change++
	return nil
}

// occupy records a task that was found on the worker.
func (h *holds) occupy(k key, task Task) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[k] = &reservation{
		key:   k,
		state: started,
		job: &peerpb.Job{
			Id:          k.job,
			Cores:       task.Cores,
			MemoryBytes: task.Memory,
		},
		accelerators: task.Accelerators,
	}
	h.change++
}

// known reports whether the member has an unexpired hold, a commitment or a started task.
func (h *holds) known(now time.Time, k key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	_, ok := h.all[k]
	return ok
}

// release drops holds and commitments of the job's attempts up to k's, and returns how many.
func (h *holds) release(k key) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	dropped := 0
	for other, r := range h.all {
		if r.state != started && k.covers(other) {
			delete(h.all, other)
			h.change++
			dropped++
		}
	}
	return dropped
}

// snapshot returns the reservations, the count of changes so far and the followed term.
func (h *holds) snapshot(now time.Time) ([]*peerpb.TaskInfo, uint64, *peerpb.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	infos := make([]*peerpb.TaskInfo, 0, len(h.all))
	for k, r := range h.all {
		infos = append(infos, &peerpb.TaskInfo{
			Job:          k.job,
			Attempt:      k.attempt.message(),
			Member:       k.member,
			Accelerators: r.accelerators,
			Cores:        r.job.GetCores(),
			MemoryBytes:  r.job.GetMemoryBytes(),
			Hold:         r.state != started,
		})
	}
	return infos, h.change, h.term
}

// version returns the count of changes so far and the followed term.
func (h *holds) version(now time.Time) (uint64, *peerpb.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	return h.change, h.term
}

func (h *holds) checkFree(request *peerpb.Hold, worker *peerpb.WorkerInfo) error {
	if len(h.all) >= maxReservations {
		return fmt.Errorf("%d members are on this worker", len(h.all))
	}
	cores, memory := request.GetJob().GetCores(), request.GetJob().GetMemoryBytes()
	for _, r := range h.all {
		if taken := r.accelerators & request.GetAccelerators(); taken != 0 {
			return fmt.Errorf("%w: %#x by %s", errOccupied, taken, r.key.taskID())
		}
		cores += r.job.GetCores()
		memory += r.job.GetMemoryBytes()
	}
	if cores > worker.GetCores() {
		return fmt.Errorf("%d cores would be used of %d", cores, worker.GetCores())
	}
	if memory > worker.GetMemoryBytes() {
		return fmt.Errorf("%d bytes of memory would be used of %d", memory, worker.GetMemoryBytes())
	}
	return nil
}

// dropOlder drops holds and commitments of the job's older attempts, and that of the same member.
func (h *holds) dropOlder(k key) {
	for other, r := range h.all {
		older := k.job == other.job && other.attempt.compare(k.attempt) < 0
		if r.state != started && (older || other == k) {
			delete(h.all, other)
			h.change++
		}
	}
}

func (h *holds) expire(now time.Time) {
	for k, r := range h.all {
		if r.state != started && !now.Before(r.expires) {
			delete(h.all, k)
			h.change++
		}
	}
}

func (h *holds) followLocked(term *peerpb.Term) bool {
	order := compareTerms(term, h.term)
	if order > 0 {
		h.term = term
	}
	return order >= 0
}

func checkSize(request *peerpb.Hold, worker *peerpb.WorkerInfo) error {
	if worker == nil {
		return errors.New("the worker has not been described yet")
	}
	set := request.GetAccelerators()
	if bits.Len64(set) > int(worker.GetAccelerators()) {
		return fmt.Errorf("accelerators %#x are not among %d", set, worker.GetAccelerators())
	}
	if bits.OnesCount64(set) != int(request.GetJob().GetAccelerators()) {
		return fmt.Errorf("accelerators %#x are not %d", set, request.GetJob().GetAccelerators())
	}
	return nil
}

func compareTerms(a, b *peerpb.Term) int {
	return attempt{
		generation: a.GetOffset(),
		count:      a.GetSuccessor(),
	}.compare(attempt{
		generation: b.GetOffset(),
		count:      b.GetSuccessor(),
	})
}
