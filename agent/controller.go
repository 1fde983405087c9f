package agent

import (
	"context"
	"sync"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Controller extends the leases of one executor, carries out the scheduler's orders there and reports the executor's
// state. It is safe for concurrent use.
type Controller struct {
	config Config
	mu     sync.Mutex
	// incarnation is the executor's incarnation that receives orders; unconfirmed are those that may take its place.
	incarnation *incarnation
	unconfirmed candidates
	// epoch is the highest epoch received from a scheduler, generation that of the newest incarnation.
	epoch      int64
	generation int64
	// fenceRaisedAt is when the generation was last raised because the executor rejected the fence.
	fenceRaisedAt    time.Duration
	schedulerAddress string
	// seedAddresses are the entries that the settings name; entryAddresses are those and the ones learned from replies.
	seedAddresses  []string
	entryAddresses []string
	agentAddresses []string
	// speed is what the newest orders said of the machine's speed; nil if none did.
	speed *cellpb.Speed
	// contactAt is when a scheduler last replied to a report; 0 if none has.
	contactAt    time.Duration
	lastSequence uint64
	// lastAnswered is the sequence number of the report whose reply was applied last.
	lastAnswered uint64
	// reportSignal and holdSignal hold a value while a report or a hold is due.
	reportSignal chan struct{}
	holdSignal   chan struct{}
	// contactSignal holds a value once a scheduler has replied.
	contactSignal chan struct{}
	// endHold ends the pending hold; nil before the first one.
	endHold context.CancelCauseFunc
	orders  sync.WaitGroup
	calls   sync.WaitGroup
}

// New returns a controller.
func New(config Config) *Controller {
	return &Controller{
		config:         config,
		seedAddresses:  config.SeedAddresses,
		entryAddresses: config.SeedAddresses,
		reportSignal:   make(chan struct{}, 1),
		holdSignal:     make(chan struct{}, 1),
		contactSignal:  make(chan struct{}, 1),
	}
}

// Run runs the agent until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	holdLoopDone, reportLoopDone, lookupLoopDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(holdLoopDone)
		c.holdLoop(ctx)
	}()
	go func() {
		defer close(reportLoopDone)
		c.reportLoop(ctx)
	}()
	go func() {
		defer close(lookupLoopDone)
		c.lookupLoop(ctx)
	}()
	<-holdLoopDone
	<-reportLoopDone
	<-lookupLoopDone
	// Orders begin calls, but no call begins an order.
	c.orders.Wait()
	c.calls.Wait()
	c.finalHold(context.WithoutCancel(ctx))
	return nil
}

// fence returns the fence for requests to an incarnation. The caller holds the mutex.
func (c *Controller) fence(current *incarnation) cell.ExecutorFence {
	return cell.ExecutorFence{
		Epoch:      c.epoch,
		Generation: current.generation,
	}
}

// raiseRequired applies the generation that the scheduler requires in its reply to the report with the given sequence
// number. If that report didn't name the current incarnation, the generation is that of an earlier one, for which an
// earlier process of this agent may have sent requests with it. The caller holds the mutex.
func (c *Controller) raiseRequired(sequence uint64, generation int64) {
	if c.incarnation == nil || c.incarnation.firstReport == 0 || sequence < c.incarnation.firstReport {
		generation = cell.NextGeneration(generation)
	}
	c.raiseGeneration(generation)
}

// raiseGeneration raises the generation of the newest incarnation. The caller holds the mutex.
func (c *Controller) raiseGeneration(generation int64) {
	if generation <= c.generation {
		return
	}
	c.generation = generation
	if c.incarnation != nil {
		c.incarnation.generation = generation
	}
	c.endPendingHold()
}

// sleep waits for a duration, until a signal or until ctx ends.
func (c *Controller) sleep(ctx context.Context, signal <-chan struct{}, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-signal:
	case <-c.config.Clock.After(duration):
	}
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
