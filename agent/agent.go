package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/peer"
)

const (
	// pollInterval is how often worker and backend server are asked while the agent runs.
	pollInterval = 500 * time.Millisecond
	// closeDelay lets the connections close before waiting calls end, so that their callers see a lost connection and
	// not a reply that looks like a refusal.
	closeDelay = 100 * time.Millisecond
	// bootLength gives 50 random bits; the whole text would cost 100 B/s in the heartbeats.
	bootLength = 10
	// drainInterval is how often a leaving agent looks whether its work is done.
	drainInterval = 50 * time.Millisecond
)

// Agent runs beside one backend server and one worker and is the only one to start work on them.
type Agent struct {
	config    Config
	journal   *journal
	documents *documents
	freshness *freshness
	gate      *gate
	fences    *fences
	holds     *holds
	answers   *answers
	slots     *slots
	worker    *description
	recovery  *recovery
	cleaner   *cleaner
	group     *group
	calls     *group
	handled   chan struct{}
	announcer *announcer
	reporter  *reporter
	requests  *requests
	tasks     *tasks
	gauges    gauges
}

// New returns an Agent. Run starts it.
func New(config Config) *Agent {
	config = config.withDefaults()
	a := &Agent{
		config: config,
		documents: &documents{
			parse: config.Parse,
		},
		freshness: &freshness{},
		fences:    newFences(),
		holds:     newHolds(),
		slots:     newSlots(config.Slots, config.Queue),
		worker: &description{
			config: config,
		},
		recovery: newRecovery(config.Clock, config.Logger),
		cleaner:  newCleaner(config.Clock, config.Logger),
		group:    newGroup(context.Background()),
		calls:    newGroup(context.Background()),
		handled:  make(chan struct{}, maxHandled),
		journal:  newJournal(config.Logger, config.Metrics, config.ID, config.Zone),
	}
	a.gauges = newGauges(config.Metrics)
	a.gate = &gate{
		zone:      config.Zone,
		clock:     config.Clock,
		documents: a.documents,
		freshness: a.freshness,
	}
	a.answers = newAnswers(a.added)
	a.announcer = a.newAnnouncer()
	a.reporter = a.newReporter()
	a.requests = a.newRequests()
	a.tasks = a.newTasks()
	return a
}

// Leave announces that the agent is leaving, refuses new work, and returns when its tasks have ended and all answers
// are acknowledged, or when ctx ends. Afterwards Run may be stopped.
func (a *Agent) Leave(ctx context.Context) error {
	a.gate.leave()
	a.config.Logger.Info("leaving")
	// The entries hear of it with the next heartbeat.
	if err := sleep(ctx, a.config.Clock, announceInterval+announceInterval/jitterShare); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	for !a.isDrained() {
		if err := sleep(ctx, a.config.Clock, drainInterval); err != nil {
			return fmt.Errorf("leave: %d tasks, %d requests and %d answers are left: %w", a.tasks.running(),
				a.requests.outstanding(), len(a.answers.list()), err)
		}
	}
	return nil
}

// Run answers peers and announces the agent until ctx ends. It runs once.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := a.config.Listen(ctx, "tcp", a.config.Address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a.config.Address, err)
	}
	a.announcer.address = a.advertised(listener)
	a.config.Logger.Info("agent started", "agent", a.config.ID, "address", a.announcer.address, "zone", a.config.Zone)
	a.startLoops()
	ctx, cancel := context.WithCancel(ctx)
	a.group.run(func(context.Context) {
		<-ctx.Done()
		a.config.Clock.Sleep(closeDelay)
		a.calls.stop()
	})
	err = peer.NewServer(peer.ServerConfig{
		Logger: a.config.Logger,
		Handle: a.handle,
		TLS:    a.config.TLS,
	}).Serve(ctx, listener)
	cancel()
	a.group.close()
	if err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// added passes a new result on.
func (a *Agent) added(r result) {
	a.reporter.add(r)
	a.announcer.changed()
}

func (a *Agent) advertised(listener net.Listener) string {
	if a.config.Advertise != "" {
		return a.config.Advertise
	}
	return listener.Addr().String()
}

func (a *Agent) isDrained() bool {
	return a.recovery.tasksRead() && a.tasks.running() == 0 && a.requests.outstanding() == 0 &&
		len(a.answers.list()) == 0
}

func (a *Agent) newAnnouncer() *announcer {
	return &announcer{
		config:    a.config,
		boot:      rand.Text()[:bootLength],
		worker:    a.worker,
		gate:      a.gate,
		documents: a.documents,
		freshness: a.freshness,
		holds:     a.holds,
		answers:   a.answers,
		slots:     a.slots,
		logger:    a.config.Logger,
		group:     a.group,
		entries:   map[string]*entryLink{},
	}
}

func (a *Agent) newReporter() *reporter {
	return &reporter{
		agent:   a.config.ID,
		clock:   a.config.Clock,
		peers:   a.config.Peers,
		answers: a.answers,
		entries: a.announcer.addresses,
		drop:    a.acknowledge,
		logger:  a.config.Logger,
		wake:    make(chan struct{}, 1),
		all:     map[key]*reportState{},
	}
}

func (a *Agent) newRequests() *requests {
	return &requests{
		clock:   a.config.Clock,
		backend: a.config.Backend,
		gate:    a.gate,
		fences:  a.fences,
		answers: a.answers,
		slots:   a.slots,
		cleaner: a.cleaner,
		journal: a.journal,
		group:   a.group,
		all:     map[key]*call{},
	}
}

func (a *Agent) newTasks() *tasks {
	return &tasks{
		clock:   a.config.Clock,
		worker:  a.config.Worker,
		peers:   a.config.Peers,
		gate:    a.gate,
		fences:  a.fences,
		holds:   a.holds,
		answers: a.answers,
		cleaner: a.cleaner,
		journal: a.journal,
		group:   a.group,
		all:     map[key]*task{},
	}
}

func (a *Agent) pollBackend(ctx context.Context) error {
	asked := a.config.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, a.config.Clock, backendTimeout)
	defer cancel()
	leaving, err := a.config.Backend.Leaving(ctx)
	if err != nil {
		return fmt.Errorf("read the backend server's state: %w", err)
	}
	a.gate.setBackend(leaving, asked)
	return nil
}

func (a *Agent) pollWorker(ctx context.Context) error {
	if !a.recovery.tasksRead() || len(a.tasks.list()) == 0 {
		return nil
	}
	return a.tasks.poll(ctx)
}

func (a *Agent) startLoops() {
	clock := a.config.Clock
	a.group.run(func(ctx context.Context) { a.recovery.run(ctx, a.recovery.tasks, a.tasks.recover) })
	a.group.run(func(ctx context.Context) { a.recovery.run(ctx, a.recovery.requests, a.requests.recover) })
	a.group.run(func(ctx context.Context) { every(ctx, clock, describeInterval, a.worker.read) })
	a.group.run(func(ctx context.Context) { every(ctx, clock, pollInterval, a.pollBackend) })
	a.group.run(func(ctx context.Context) { every(ctx, clock, pollInterval, a.pollWorker) })
	a.group.run(func(ctx context.Context) { every(ctx, clock, time.Second, a.updateGauges) })
	a.group.run(a.cleaner.run)
	a.group.run(a.reporter.run)
	a.announcer.start()
}
