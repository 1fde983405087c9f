package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/agent"
	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/settings"
)

// heartbeatCost is the memory that a byte of a heartbeat takes while it is read and decoded.
const heartbeatCost = 2

func (c *Config) newAgentCmd() *cobra.Command {
	return newProcessCmd("agent", "Run the agent of an executor", settings.ParseAgent, c.runAgent)
}

// runAgent runs the agent until ctx ends. Tasks keep running at the executor until their leases expire.
func (c *Config) runAgent(ctx context.Context, path string, processSettings settings.ProcessSettings) error {
	process, err := c.newProcess("agent", path, processSettings)
	if err != nil {
		return err
	}
	defer process.close()
	executor := platform.NewExecutor(platform.ExecutorConfig{
		Address: processSettings.Executor,
	})
	controller := agent.New(agent.Config{
		ID:            processSettings.ID,
		Address:       processSettings.Listen,
		Process:       c.Clock.Now().UnixMilli(),
		SeedAddresses: processSettings.SeedAddresses,
		Logger:        process.logger,
		Clock:         c.Clock,
		BootTime:      boottime.NewClock(),
		Executor: agent.ExecutorClient{
			Hold:  executor.Hold,
			Start: executor.Start,
			Stop:  executor.Stop,
		},
		Call:            process.pool.Call,
		LookupScheduler: c.newSchedulerLookup(),
		CloseSession:    process.pool.CloseSession,
	})
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watcherDone := process.watchSettings(runCtx, settings.WatcherConfig{
		Clock: c.Clock,
		Path:  path,
		Parse: settings.ParseAgent,
	}, controller.SetSeedAddresses)
	peerServerDone, err := process.servePeerProtocol(runCtx, controller.ForwardReport)
	if err != nil {
		return err
	}
	_, heartbeatServerDone, err := process.serveHTTP(runCtx, "heartbeats", processSettings.HeartbeatAddress,
		platform.NewHeartbeatHandler(platform.HeartbeatHandlerConfig{
			Logger:          process.logger,
			HandleHeartbeat: controller.HandleHeartbeat,
		}), bodyLimits{
			max:  func() int64 { return platform.MaxHeartbeatBytes },
			cost: heartbeatCost,
		})
	if err != nil {
		return err
	}
	adminServerDone, err := process.serveAdmin(runCtx, processSettings.AdminAddress)
	if err != nil {
		return err
	}
	controllerDone := make(chan error, 1)
	go func() { controllerDone <- controller.Run(runCtx) }()
	select {
	case <-ctx.Done():
	case err = <-peerServerDone:
	case err = <-heartbeatServerDone:
	case err = <-adminServerDone:
	}
	cancel()
	return errors.Join(err, <-controllerDone, <-watcherDone)
}

// newSchedulerLookup returns the function that reads the address of the scheduler from the store, or nil if the command
// line and the environment name no store.
func (c *Config) newSchedulerLookup() func(ctx context.Context) (string, error) {
	if !c.storeNamed {
		return nil
	}
	topic := platform.NewStore(platform.StoreConfig{
		Address: c.store,
	}).Topic(cellTopic)
	return func(ctx context.Context) (string, error) {
		record, ok, err := topic.ReadLatestOf(ctx, cell.ClaimKey)
		if err != nil || !ok {
			return "", err
		}
		state := cell.NewState()
		if _, err = state.Apply(record); err != nil {
			return "", fmt.Errorf("look up scheduler: %w", err)
		}
		if state.Claim().GetResigned() {
			return "", nil
		}
		return state.Claim().GetAddress(), nil
	}
}
