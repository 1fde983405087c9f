package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/caller"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/dispatch"
	"radishpath.example/radishpath/follow"
	"radishpath.example/radishpath/gateway"
	"radishpath.example/radishpath/mirror"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/scheduler"
	"radishpath.example/radishpath/settings"
)

const (
	// operationsPoll is how long a read of the operators' log waits: an entry's trust in keys is never older than that
	// and an answer's time.
	operationsPoll = time.Second
	cellPoll       = time.Second
	// grant is how far beyond its report an agent may extend leases. It covers outages of the store and of the
	// scheduler; what ran at an executor that is gone is given up only after it.
	grant = 10 * time.Second
	// drainShare is the part of the grace period for which a stopping entry goes on taking calls.
	drainShare = 0.45
	// lingerShare is the part after which it ends, answered or not.
	lingerShare = 0.8
)

func (c *Config) newEntryCmd() *cobra.Command {
	return newProcessCmd("entry", "Run an entry, which serves callers and may be the scheduler", settings.ParseEntry,
		c.runEntry)
}

// entry is an entry of a cell and its parts.
type entry struct {
	*process
	mirror     *mirror.Mirror
	operations *follow.Follower
	cell       *follow.Follower
	topic      *platform.Topic
	scheduler  *scheduler.Scheduler
	gateway    *gateway.Gateway
	peers      *gateway.Peers
}

func (c *Config) newEntry(process *process) *entry {
	boot := boottime.NewClock()
	store := platform.NewStore(platform.StoreConfig{
		Address: process.read.StoreAddress,
	})
	e := &entry{
		process: process,
		topic:   store.Topic(cellTopic),
		mirror: mirror.New(mirror.Config{
			Logger: process.logger,
			Boot:   boot,
			Decode: platform.ApplyOperation,
		}),
	}
	e.operations = c.newFollower(process.logger, boot, "operations", operationsPoll, store.Operations(),
		e.mirror.ApplyOperations)
	e.cell = c.newFollower(process.logger, boot, "cell", cellPoll, e.topic, e.mirror.ApplyCell)
	e.scheduler = scheduler.New(scheduler.Config{
		Holder:  process.read.ID + "." + strconv.FormatInt(c.Clock.Now().UnixNano(), 36),
		Cores:   process.read.Cores,
		Address: process.read.PeerAddress,
		Logger:  process.logger,
		Clock:   c.Clock,
		Boot:    boot,
		Metrics: process.metrics.Scope,
		Mirror:  e.mirror,
		Age:     e.cell.Age,
		Next:    e.cell.Next,
		Await:   e.cell.Await,
		Gone: func(ctx context.Context, claim *cellpb.Claim) bool {
			return e.peers.Gone(ctx, claim)
		},
		Append: e.topic.Append,
		Advise: newAdvise(process.read.AdvisorAddress),
		Dispatch: dispatch.Config{
			Grant:     grant,
			MaxLease:  process.read.MaxLease,
			StopGrace: process.read.StopGrace,
			Reclaim:   process.read.ReclaimTimeout,
			Retention: process.read.JobRetention,
			FarFactor: float64(process.read.RemoteDataFactor),
		},
	})
	e.peers = gateway.NewPeers(gateway.PeersConfig{
		Address:  process.read.PeerAddress,
		Seeds:    process.read.SeedAddresses,
		Logger:   process.logger,
		Clock:    c.Clock,
		Mirror:   e.mirror,
		StateAge: e.cell.Age,
		Report:   e.scheduler.Report,
		Leading:  e.scheduler.Leading,
		Followed: e.operations.Next,
		Append:   e.topic.Append,
		Exchange: process.pool.Exchange,
	})
	e.gateway = gateway.New(gateway.Config{
		Logger:        process.logger,
		Clock:         c.Clock,
		Boot:          boot,
		Metrics:       process.metrics.Scope,
		Mirror:        e.mirror,
		OperationsAge: e.operations.Age,
		StateAge:      e.cell.Age,
		KeyLimit:      process.read.KeyRevocationDelay,
		Append:        e.topic.Append,
		Relay:         e.peers.Relay,
	})
	return e
}

// newAdvise returns the question to the service that knows the queues' policies, nil if there is none.
func newAdvise(
	address string,
) func(ctx context.Context, step string, executors []string) (map[string]string, time.Duration, error) {
	if address == "" {
		return nil
	}
	return platform.NewAdvisor(platform.AdvisorConfig{
		Address: address,
	}).Advise
}

func (c *Config) newFollower(
	logger hclog.Logger, boot boottime.Clock, name string, wait time.Duration, topic *platform.Topic,
	apply func(entries []cell.Entry, reset bool),
) *follow.Follower {
	return follow.New(follow.Config{
		Name:   name,
		Logger: logger,
		Clock:  c.Clock,
		Boot:   boot,
		Wait:   wait,
		Newest: topic.Newest,
		Read:   topic.Read,
		Apply:  apply,
	})
}

// runEntry serves until ctx ends, then gives up the scheduler's place, lets callers move to other entries, and ends
// within the grace period.
func (c *Config) runEntry(ctx context.Context, path string, read settings.ProcessSettings) error {
	process, err := c.newProcess("entry", path, read)
	if err != nil {
		return err
	}
	defer process.close()
	e := c.newEntry(process)
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	process.watchReload(run)
	followed := make(chan error, 4)
	go func() { followed <- e.operations.Run(run) }()
	go func() { followed <- e.cell.Run(run) }()
	go func() { followed <- e.scheduler.Run(run) }()
	go func() { followed <- e.peers.Watch(run) }()
	peersEnded, err := process.servePeers(run, e.peers.Answer)
	if err != nil {
		return err
	}
	_, readyEnded, err := process.serveHTTP(run, "readiness", read.ReadyAddress, platform.NewReady(e.gateway.Ready))
	if err != nil {
		return err
	}
	_, adminEnded, err := process.serveHTTP(run, "metrics", read.AdminAddress, operator.NewAdmin(process.metrics.Handler))
	if err != nil {
		return err
	}
	callers, callersEnded, err := process.serveHTTP(run, "callers", read.CallerAddress, e.callers())
	if err != nil {
		return err
	}
	jobs, jobsEnded, err := e.serveJobs(run, c)
	if err != nil {
		return err
	}
	go e.announce(run, c)
	select {
	case <-ctx.Done():
	case err = <-followed:
	case err = <-peersEnded:
	case err = <-readyEnded:
	case err = <-adminEnded:
	case err = <-callersEnded:
	case err = <-jobsEnded:
	}
	jobs()
	e.drain(c, callers)
	return err
}

// serveJobs serves the project's own interface for callers if the settings name an address for it. The returned
// function ends it; calls that wait are answered.
func (e *entry) serveJobs(ctx context.Context, c *Config) (func(), <-chan error, error) {
	ended := make(chan error, 1)
	if e.read.JobsAddress == "" {
		return func() {}, ended, nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.read.JobsAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for jobs: %w", err)
	}
	jobs := gateway.NewJobs(e.gateway)
	server := caller.NewServer(caller.ServerConfig{
		Logger:       e.logger,
		Clock:        c.Clock,
		Submit:       jobs.Submit,
		Lookup:       jobs.Lookup,
		Cancel:       jobs.Cancel,
		Authenticate: jobs.Authenticate,
		Ready:        jobs.Ready,
		Drain:        time.Duration(drainShare * float64(e.read.ShutdownGrace)),
	})
	serving, stop := context.WithCancel(ctx)
	go func() { ended <- server.Serve(serving, listener) }()
	return stop, ended, nil
}

// drain lets callers' connections end after an answer each.
func (e *entry) drain(c *Config, callers *http.Server) {
	e.logger.Info("stopping")
	e.gateway.Leave()
	e.scheduler.Leave()
	callers.SetKeepAlivesEnabled(false)
	<-c.Clock.After(time.Duration(drainShare * float64(e.read.ShutdownGrace)))
	ctx, cancel := context.WithTimeout(context.Background(),
		time.Duration((lingerShare-drainShare)*float64(e.read.ShutdownGrace)))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.logger.Warn("calls were cut off", "error", err)
	}
}

func (e *entry) callers() http.Handler {
	return platform.NewCallers(platform.CallersConfig{
		Submit: e.gateway.Submit,
		Lookup: e.gateway.Lookup,
		Cancel: e.gateway.Cancel,
		BodyBytes: func() int64 {
			return e.mirror.Operations().Config.Limits.BodyBytes
		},
	})
}

// announce names this entry in the cell's log, where others find it.
func (e *entry) announce(ctx context.Context, c *Config) {
	entry, err := cell.MemberEntry(&cellpb.Member{
		Id:      e.read.ID,
		Address: e.read.PeerAddress,
	})
	if err != nil {
		e.logger.Error("announce", "error", err)
		return
	}
	for ctx.Err() == nil {
		limit, cancel := context.WithTimeout(ctx, time.Second)
		_, err = e.topic.Append(limit, []cell.Entry{entry}, nil, -1)
		cancel()
		if err == nil {
			return
		}
		e.logger.Warn("announce", "error", err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(time.Second):
		}
	}
}
