package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/routing"
)

// noTime marks a heartbeat that answers no call of this process.
var noTime time.Time //nolint:gochecknoglobals // the zero time, never assigned.

// Entry accepts jobs, owns them and takes part in placement.
type Entry struct {
	config  Config
	logger  hclog.Logger
	started time.Time
	leaving atomic.Bool
	// running ends when the process stops; jobs run under it.
	running context.Context
	stop    context.CancelFunc

	members      *members
	terms        *terms
	termChanges  *signal
	documents    *documents
	jobs         *jobs
	fleet        *fleet
	fleetChanges *signal
	placer       *placer
	owner        *owner
	router       *routing.Router
	retries      *routing.Budget
	handovers    *handovers
	trace        *trace
}

// New returns an Entry that does nothing until Run.
func New(config Config) *Entry {
	config = config.withDefaults()
	e := &Entry{
		config:       config,
		logger:       config.Logger.Named("entry"),
		started:      config.Clock.Now(),
		terms:        newTerms(),
		termChanges:  newSignal(),
		documents:    newDocuments(config),
		fleet:        newFleet(),
		fleetChanges: newSignal(),
		router:       routing.New(routing.Config{}),
		retries:      routing.NewBudget(),
		handovers:    newHandovers(),
		trace:        newTrace(config),
	}
	e.running, e.stop = context.WithCancel(context.Background())
	e.members = newMembers(e.info(), e.started, config.Peers)
	e.jobs = newJobs(config, e.observeChange)
	e.placer = newPlacer(e)
	e.owner = newOwner(e)
	return e
}

// Leave turns readiness off and gives up the placer's role. Run returns after its context ends.
func (e *Entry) Leave() {
	if e.leaving.CompareAndSwap(false, true) {
		e.logger.Info("leaving")
	}
}

// Ready says why the entry should get no traffic; nil means that it should.
func (e *Entry) Ready() error {
	switch {
	case e.isLeaving():
		return errLeaving
	case !e.jobs.isCaughtUp(), !e.documents.isKnown():
		return errNotCaughtUp
	default:
		return nil
	}
}

// Run serves until ctx ends. It then hands its jobs over and returns. End ctx only after the callers' connections have
// ended.
func (e *Entry) Run(ctx context.Context, listener net.Listener) error {
	run := e.running
	defer e.stop()
	server := peer.NewServer(peer.ServerConfig{
		Logger: e.logger,
		Handle: e.Handle,
		TLS:    e.config.TLS,
	})
	running := newGroup()
	running.spawn(run, "peer server", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	running.spawn(run, "documents", e.documents.follow)
	running.spawn(run, "jobs", e.jobs.run)
	running.spawn(run, "heartbeats", e.runHeartbeats)
	running.spawn(run, "succession", e.runSuccession)
	running.spawn(run, "placer", e.placer.run)
	running.spawn(run, "owner", e.owner.run)
	running.spawn(run, "adoption", e.runAdoption)
	running.spawn(run, "carries", e.runCarries)
	running.spawn(run, "expiry", e.runExpiry)
	running.spawn(run, "shutdown", func(context.Context) error { return e.shutdown(ctx, run) })
	if err := running.wait(e.stop); err != nil {
		return fmt.Errorf("entry %s: %w", e.config.ID, err)
	}
	return nil
}

// info is the entry's address for other processes.
func (e *Entry) info() *peerpb.EntryInfo {
	return &peerpb.EntryInfo{
		Id:      e.config.ID,
		Address: e.config.Address,
	}
}

// isLeaving says whether the entry is shutting down.
func (e *Entry) isLeaving() bool {
	return e.leaving.Load()
}
