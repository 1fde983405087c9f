package scheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/recovery"
)

// Scheduler claims the leadership of a cell and schedules the cell's jobs while it is the leader.
type Scheduler struct {
	config Config
	mu     sync.Mutex
	// term is the current term; nil while this process isn't the leader.
	term            *term
	resignRequested chan struct{}
	resignOnce      sync.Once
	// lastLedEpoch is the epoch of the last term of this process.
	lastLedEpoch int64
	// claimedEpoch is the epoch of this process's last claim, claimedAt when that was sent.
	claimedEpoch int64
	claimedAt    time.Duration
	// vacantSince is when this process first saw that the cell has no leader, vacantEpoch the epoch that had ended; 0
	// before the first claim.
	vacantSince time.Duration
	vacantEpoch int64
}

// New returns a scheduler.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:          config,
		resignRequested: make(chan struct{}),
	}
}

// PrepareShutdown resigns the leadership and stops claiming it.
func (s *Scheduler) PrepareShutdown() {
	s.resignOnce.Do(func() { close(s.resignRequested) })
}

// Report processes an agent's report and waits for orders. It returns false while this process isn't the leader.
func (s *Scheduler) Report(ctx context.Context, report *cellpb.Report) (*cellpb.Orders, bool) {
	s.mu.Lock()
	current := s.term
	s.mu.Unlock()
	if current == nil {
		return nil, false
	}
	return current.report(ctx, report)
}

// Run claims the leadership whenever the cell has no leader and schedules while this process is the leader, until ctx
// ends or PrepareShutdown is called.
func (s *Scheduler) Run(ctx context.Context) error {
	// The random delay keeps processes that start together from claiming at the same time.
	delay := time.Duration(rand.Int64N(int64(tickInterval)))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.resignRequested:
			return nil
		case <-s.config.Clock.After(delay):
		}
		delay = tickInterval
		if epoch, ok := s.claimLeadership(ctx); ok {
			s.lastLedEpoch = epoch
			s.runTerm(ctx, epoch)
		}
	}
}

// claimLeadership claims the leadership if the cell has no leader, and returns the epoch if this process is the leader
// according to the log. If the claim fails because this process hadn't read the end of the log, it reads on and tries
// once more: an entry that doesn't schedule reads with pauses, and while callers submit jobs, an entry that is due to
// claim first would otherwise lose to a later one that happens to have read the newest record.
func (s *Scheduler) claimLeadership(ctx context.Context) (int64, bool) {
	epoch, err := s.tryClaim(ctx)
	var mismatchErr *cell.EndMismatchError
	if errors.As(err, &mismatchErr) && s.awaitLogEnd(ctx, mismatchErr.End) == nil {
		epoch, err = s.tryClaim(ctx)
	}
	return epoch, err == nil && epoch != 0
}

// awaitLogEnd waits until this process has read the log up to an offset.
func (s *Scheduler) awaitLogEnd(ctx context.Context, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, claimCatchUpTimeout)
	defer cancel()
	return s.config.AwaitOffset(ctx, end-1)
}

// tryClaim makes one attempt to claim the leadership. It returns the epoch in which this process is the leader, 0 if it
// may not claim, and an error if the claim failed.
func (s *Scheduler) tryClaim(ctx context.Context) (int64, error) {
	if !s.config.Mirror.Operations().Loaded {
		return 0, nil
	}
	// The end is read before the state, so that the claim fails if the log has a record that the decision to claim
	// doesn't know. Asking the holder takes a while, in which another entry may have claimed.
	logEnd := s.config.NextOffset()
	claim, lastRecordAt := s.config.Mirror.Claim()
	if claim.GetHolder() == s.config.Holder && claim.GetEpoch() != s.lastLedEpoch && !claim.GetResigned() {
		return claim.GetEpoch(), nil
	}
	if logAge, ok := s.config.Age(); !ok || logAge > maxLogAge {
		return 0, nil
	}
	silence := s.config.BootTime.Now() - lastRecordAt
	if !s.mayClaim(ctx, claim, silence) {
		return 0, nil
	}
	newClaim := &cellpb.Claim{
		Epoch:   cell.FirstEpoch(logEnd) + rand.Int64N(cell.EpochsPerOffset),
		Holder:  s.config.Holder,
		Address: s.config.Address,
		// The sizes that the former leader published hold until this one has heard of the executors.
		Capacities: claim.GetCapacities(),
	}
	s.config.Logger.Info("claiming leadership", "epoch", newClaim.GetEpoch(), "at", logEnd, "former", claim.GetHolder(),
		"resigned", claim.GetResigned(), "silent", silence.Milliseconds(), "cores", s.config.Cores)
	return s.appendClaim(ctx, newClaim, logEnd)
}

// appendClaim appends a claim if the log ends at logEnd. It returns the epoch once the log shows that the claim is the
// newest one, and 0 if another one is.
func (s *Scheduler) appendClaim(ctx context.Context, claim *cellpb.Claim, logEnd int64) (int64, error) {
	record, err := cell.ClaimRecord(claim)
	if err != nil {
		s.config.Logger.Error("failed to encode claim", "error", err)
		return 0, err
	}
	fence := &cell.Fence{
		Producer: producerName,
		Epoch:    claim.GetEpoch(),
	}
	s.claimedEpoch, s.claimedAt = claim.GetEpoch(), s.config.BootTime.Now()
	offset, err := s.appendOnce(ctx, []cell.LogRecord{record}, fence, logEnd, maxAppendTimeout)
	if err != nil {
		s.config.Logger.Info("failed to append claim", "epoch", claim.GetEpoch(), "error", err)
		return 0, err
	}
	if !s.confirmClaim(ctx, claim, offset) {
		return 0, nil
	}
	return claim.GetEpoch(), nil
}

// mayClaim reports whether the cell has been without a leader for the claim delay, or has lost it. The delay counts
// from when the cell could be claimed, not from the start of the process: all entries learn of the first configuration,
// or of a resignation, at about the same moment.
func (s *Scheduler) mayClaim(ctx context.Context, claim *cellpb.Claim, silence time.Duration) bool {
	if claim.GetEpoch() != 0 && !claim.GetResigned() {
		return s.leaderLost(ctx, claim, silence)
	}
	now := s.config.BootTime.Now()
	if s.vacantSince == 0 || s.vacantEpoch != claim.GetEpoch() {
		s.vacantSince, s.vacantEpoch = now, claim.GetEpoch()
	}
	return now-s.vacantSince >= s.claimDelay()
}

// leaderLost reports whether the leader has stopped, or has written nothing for so long that it must be replaced.
func (s *Scheduler) leaderLost(ctx context.Context, claim *cellpb.Claim, silence time.Duration) bool {
	switch {
	case silence >= leaderTimeout+s.claimDelay():
		return true
	case silence < leaderProbeTimeout+s.claimDelay():
		return false
	}
	return s.config.HolderStopped(ctx, claim)
}

// Leading returns the epoch of the current term; 0 while this process isn't the leader.
func (s *Scheduler) Leading() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil {
		return 0
	}
	return s.term.epoch
}

// claimDelay returns how long this process waits so that larger ones can claim first.
func (s *Scheduler) claimDelay() time.Duration {
	return time.Duration(max(1-s.config.Cores, 0) * float64(maxClaimDelay))
}

// confirmClaim waits until the claim was read back from the log, and reports whether it is the newest one. Only the log
// decides between concurrent claims.
func (s *Scheduler) confirmClaim(ctx context.Context, claim *cellpb.Claim, offset int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	if err := s.config.AwaitOffset(ctx, offset); err != nil {
		s.config.Logger.Warn("failed to read back claim", "epoch", claim.GetEpoch(), "error", err)
		return false
	}
	latest, _ := s.config.Mirror.Claim()
	return latest.GetEpoch() == claim.GetEpoch() && latest.GetHolder() == s.config.Holder
}

func (s *Scheduler) runTerm(ctx context.Context, epoch int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The claim may be read long after it was appended. It says nothing about claims of others since.
	claimedAt := time.Duration(0)
	if epoch == s.claimedEpoch {
		claimedAt = s.claimedAt
	}
	t := newTerm(s.config, epoch, claimedAt, s.resignRequested, s.appendOnce)
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	s.config.Logger.Info("scheduling begins", "epoch", epoch, "cores", s.config.Cores)
	// After a panic the entry goes on serving callers, and another one, or this one again, claims the leadership.
	reason := recovery.Run(s.config.Logger, s.config.Metrics, "scheduler", func() error { return t.run(ctx) })
	s.mu.Lock()
	s.term = nil
	s.mu.Unlock()
	close(t.done)
	s.config.Logger.Info("scheduling ends", "epoch", epoch, "reason", reason)
}

func (s *Scheduler) appendOnce(
	ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64, timeout time.Duration,
) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := s.config.BootTime.Now()
	offset, err := s.config.Append(ctx, records, fence, expectedEnd)
	s.config.Metrics.Timer("append").Record(s.config.BootTime.Now() - startedAt)
	return offset, err
}

// errSuperseded ends a term once the log holds a claim with a higher epoch.
var errSuperseded = errors.New("another scheduler took over")

func currentInstant(config Config) dispatch.Instant {
	return dispatch.Instant{
		BootTime: config.BootTime.Now(),
		WallMs:   config.Clock.Now().UnixMilli(),
	}
}
