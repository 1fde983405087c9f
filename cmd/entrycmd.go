package cmd

import (
	"context"
	"errors"
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
	"radishpath.example/radishpath/gateway"
	"radishpath.example/radishpath/logfollower"
	"radishpath.example/radishpath/mirror"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/scheduler"
	"radishpath.example/radishpath/settings"
)

const (
	// operationsPollTimeout is how long a read of the operators' log waits for new records. While the store responds, an
	// entry's copy of the API keys is never older than this plus the response time.
	operationsPollTimeout = time.Second
	// cellPollTimeout is how long a read of the cell's log waits for new records. Between two reads of a log without any,
	// an entry's copy grows twice as old, which must not look like an unreachable store.
	cellPollTimeout = 500 * time.Millisecond
	// maxCellReadsPerSecond bounds the reads of the cell's log by all entries that don't schedule. maxCellReadPause keeps
	// their copies fresh enough to find jobs that another entry has just accepted, and to notice a lost scheduler.
	maxCellReadsPerSecond = 400
	maxCellReadPause      = 150 * time.Millisecond
	// leaseExtension is how far beyond the time of its report an agent may extend leases. It bridges outages of the store
	// and the scheduler. Tasks of a lost executor are given up only after this time.
	leaseExtension = 10 * time.Second
	// drainFraction is the fraction of the grace period during which an entry that shuts down still accepts calls.
	drainFraction = 0.45
	// shutdownFraction is the fraction of the grace period after which remaining calls are aborted.
	shutdownFraction = 0.8
)

func (c *Config) newEntryCmd() *cobra.Command {
	return newProcessCmd("entry", "Run an entry, which serves callers and may become the scheduler", settings.ParseEntry,
		c.runEntry)
}

// entry is the process of an entry with its components.
type entry struct {
	*process
	mirror             *mirror.Mirror
	operationsFollower *logfollower.Follower
	cellFollower       *logfollower.Follower
	cellLog            *platform.Topic
	scheduler          *scheduler.Scheduler
	gateway            *gateway.Gateway
	peerService        *gateway.PeerService
}

func (c *Config) newEntry(process *process) *entry {
	bootClock := boottime.NewClock()
	store := platform.NewStore(platform.StoreConfig{
		Address: process.read.StoreAddress,
	})
	e := &entry{
		process: process,
		cellLog: store.Topic(cellTopic),
		mirror: mirror.New(mirror.Config{
			Logger:      process.logger,
			BootTime:    bootClock,
			Metrics:     process.metrics.Scope,
			ApplyRecord: platform.ApplyOperation,
		}),
	}
	e.operationsFollower = c.newFollower(process.logger, bootClock, "operations", operationsPollTimeout,
		store.Operations(), e.mirror.ApplyOperations, nil)
	e.cellFollower = c.newFollower(process.logger, bootClock, "cell", cellPollTimeout, e.cellLog, e.mirror.ApplyCell,
		e.cellReadPause)
	e.scheduler = scheduler.New(scheduler.Config{
		Holder:      process.read.ID + "." + strconv.FormatInt(c.Clock.Now().UnixNano(), 36),
		Cores:       process.read.Cores,
		Address:     process.read.Listen,
		Logger:      process.logger,
		Clock:       c.Clock,
		BootTime:    bootClock,
		Metrics:     process.metrics.Scope,
		Mirror:      e.mirror,
		Age:         e.cellFollower.Age,
		NextOffset:  e.cellFollower.NextOffset,
		AwaitOffset: e.cellFollower.AwaitOffset,
		HolderStopped: func(ctx context.Context, claim *cellpb.Claim) bool {
			return e.peerService.HolderStopped(ctx, claim)
		},
		Append:        e.cellLog.Append,
		RequestAdvice: newAdviceFunc(process.read.AdviceAddress),
		Dispatch: dispatch.Config{
			LeaseDuration:  leaseExtension,
			MaxLease:       process.read.MaxLeaseDuration,
			StopGrace:      process.read.TaskStopGrace,
			ReclaimTimeout: process.read.ReclaimTimeout,
			Retention:      process.read.JobRetention,
			RemoteSlowdown: float64(process.read.RemoteSlowdownFactor),
		},
	})
	e.peerService = gateway.NewPeerService(gateway.PeerServiceConfig{
		Address:              process.read.Listen,
		Seeds:                process.read.SeedAddresses,
		Logger:               process.logger,
		Clock:                c.Clock,
		BootTime:             bootClock,
		Mirror:               e.mirror,
		StateAge:             e.cellFollower.Age,
		Report:               e.scheduler.Report,
		Explain:              e.scheduler.Explain,
		Leading:              e.scheduler.Leading,
		NextOperationsOffset: e.operationsFollower.NextOffset,
		Append:               e.cellLog.Append,
		Call:                 process.pool.Call,
	})
	e.gateway = c.newGateway(e, bootClock)
	return e
}

func (c *Config) newGateway(e *entry, bootClock boottime.Clock) *gateway.Gateway {
	return gateway.New(gateway.Config{
		Logger:             e.logger,
		Clock:              c.Clock,
		BootTime:           bootClock,
		Metrics:            e.metrics.Scope,
		Mirror:             e.mirror,
		OperationsAge:      e.operationsFollower.Age,
		StateAge:           e.cellFollower.Age,
		KeyRevocationLimit: e.read.KeyRevocationDelay,
		Append:             e.cellLog.Append,
		RelayAppend:        e.peerService.RelayAppend,
	})
}

// newAdviceFunc returns the function that requests advice, or nil if no advice service is configured.
func newAdviceFunc(
	address string,
) func(ctx context.Context, step string, executors []string) (map[string]string, time.Duration, error) {
	if address == "" {
		return nil
	}
	return platform.NewAdviceService(platform.AdviceServiceConfig{
		Address: address,
	}).RequestAdvice
}

func (c *Config) newFollower(
	logger hclog.Logger, bootClock boottime.Clock, name string, wait time.Duration, topic *platform.Topic,
	apply func(records []cell.LogRecord, reset bool), pause func() time.Duration,
) *logfollower.Follower {
	return logfollower.New(logfollower.Config{
		Name:       name,
		Logger:     logger,
		Clock:      c.Clock,
		BootTime:   bootClock,
		Wait:       wait,
		ReadLatest: topic.ReadLatest,
		Read:       topic.Read,
		Apply:      apply,
		Pause:      pause,
	})
}

// cellReadPause is how long this entry pauses after it has read records of the cell's log, so that all entries together
// read it at most maxCellReadsPerSecond times a second. The scheduler reads without a pause: jobs wait for it.
func (e *entry) cellReadPause() time.Duration {
	if e.scheduler.Leading() > 0 {
		return 0
	}
	entries := 0
	e.mirror.View(func(state *cell.State) { entries = len(state.Members()) })
	return min(time.Duration(entries)*time.Second/maxCellReadsPerSecond, maxCellReadPause)
}

// runEntry serves until ctx ends. It then resigns as scheduler, lets callers reconnect to other entries and
// returns within the grace period.
func (c *Config) runEntry(ctx context.Context, path string, processSettings settings.ProcessSettings) error {
	process, err := c.newProcess("entry", path, processSettings)
	if err != nil {
		return err
	}
	defer process.close()
	e := c.newEntry(process)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	watcherDone := process.watchSettings(runCtx, settings.WatcherConfig{
		Clock: c.Clock,
		Path:  path,
		Parse: settings.ParseEntry,
	}, e.peerService.SetSeeds)
	loopDone := make(chan error, 4)
	go func() { loopDone <- e.operationsFollower.Run(runCtx) }()
	go func() { loopDone <- e.cellFollower.Run(runCtx) }()
	go func() { loopDone <- e.scheduler.Run(runCtx) }()
	go func() { loopDone <- e.peerService.WatchClaim(runCtx) }()
	peerServerDone, err := process.servePeerProtocol(runCtx, e.peerService.Handle)
	if err != nil {
		return err
	}
	_, readinessServerDone, err := process.serveHTTP(runCtx, "readiness", processSettings.Ready,
		platform.NewReadinessHandler(e.gateway.Ready), bodyLimits{})
	if err != nil {
		return err
	}
	adminServerDone, err := process.serveAdmin(runCtx, processSettings.AdminAddress)
	if err != nil {
		return err
	}
	callers, callerServerDone, err := process.serveHTTP(runCtx, "callers", processSettings.CallerAddress,
		caller.CloseAfterResponse(ctx, e.callers()), bodyLimits{
			max:  e.maxBodyBytes,
			cost: caller.SubmissionCost,
		})
	if err != nil {
		return err
	}
	stopJobServer, jobServerDone, err := e.serveJobAPI(runCtx, c)
	if err != nil {
		return err
	}
	go e.announceMember(runCtx, c)
	select {
	case <-ctx.Done():
	case err = <-loopDone:
	case err = <-peerServerDone:
	case err = <-readinessServerDone:
	case err = <-adminServerDone:
	case err = <-callerServerDone:
	case err = <-jobServerDone:
	}
	stopJobServer()
	e.drain(c, callers)
	cancel()
	return errors.Join(err, <-watcherDone)
}

// serveJobAPI serves the jobs API if the settings contain an address for it. The returned function starts the
// shutdown of the server, which interrupts no pending call.
func (e *entry) serveJobAPI(ctx context.Context, c *Config) (func(), <-chan error, error) {
	serverDone := make(chan error, 1)
	if e.read.JobsAddress == "" {
		return func() {}, serverDone, nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.read.JobsAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for jobs API: %w", err)
	}
	jobService := gateway.NewJobService(e.gateway)
	server := caller.NewServer(caller.ServerConfig{
		Logger:       e.logger,
		Clock:        c.Clock,
		Metrics:      e.metrics.Scope,
		Submit:       jobService.Submit,
		Lookup:       jobService.Lookup,
		Cancel:       jobService.Cancel,
		Authenticate: jobService.Authenticate,
		Ready:        jobService.Ready,
		Limiter:      e.clients,
		DrainDelay:   time.Duration(drainFraction * float64(e.read.ShutdownGrace)),
	})
	serveCtx, cancel := context.WithCancel(ctx)
	go func() { serverDone <- server.Serve(serveCtx, listener) }()
	return cancel, serverDone, nil
}

// drain resigns as scheduler and shuts down the caller server. Until drainFraction of the grace period is over, the
// server accepts calls, on open connections too; then it closes the idle ones. Calls that are still pending at
// shutdownFraction are aborted when the process exits.
func (e *entry) drain(c *Config, callerServer *http.Server) {
	e.logger.Info("shutting down")
	e.gateway.PrepareShutdown()
	e.scheduler.PrepareShutdown()
	<-c.Clock.After(time.Duration(drainFraction * float64(e.read.ShutdownGrace)))
	ctx, cancel := context.WithTimeout(context.Background(),
		time.Duration((shutdownFraction-drainFraction)*float64(e.read.ShutdownGrace)))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.logger.Warn("caller server shutdown incomplete; remaining calls aborted", "error", err)
	}
}

func (e *entry) callers() http.Handler {
	return platform.NewCallerHandler(platform.CallerHandlerConfig{
		Submit: e.gateway.Submit,
		Lookup: e.gateway.Lookup,
		Cancel: e.gateway.Cancel,
	})
}

// maxBodyBytes is the largest size of a submission, as published.
func (e *entry) maxBodyBytes() int64 {
	if limit := e.mirror.Operations().Config.Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return platform.DefaultMaxBodyBytes
}

// announceMember writes the address of this entry to the cell's log, where other entries find it, and retries until it
// succeeds.
func (e *entry) announceMember(ctx context.Context, c *Config) {
	record, err := cell.MemberRecord(&cellpb.Member{
		Id:      e.read.ID,
		Address: e.read.Listen,
	})
	if err != nil {
		e.logger.Error("failed to encode member record", "error", err)
		return
	}
	for ctx.Err() == nil {
		appendCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err = e.cellLog.Append(appendCtx, []cell.LogRecord{record}, nil, -1)
		cancel()
		if err == nil {
			return
		}
		e.logger.Warn("failed to append member record to the log; retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(time.Second):
		}
	}
}
