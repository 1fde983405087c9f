package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/executorserver"
	"radishpath.example/radishpath/standin/storeserver"
)

const (
	// readyTimeout is the time within which a new deployment serves its first job.
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	zone         = "port-louis"
)

// deploymentConfig configures a deployment.
type deploymentConfig struct {
	root    string
	entries int
	// racks holds the rack of each executor.
	racks []string
	// accelerators is the size of each executor.
	accelerators int64
	// maxLease is the longest lease that executors grant.
	maxLease time.Duration
	// jobs adds the address of the project's own interface for callers to the settings of the entries.
	jobs bool
}

// deployment is a running deployment.
type deployment struct {
	deploymentConfig
	clock     clockwork.Clock
	record    *record
	directory string
	network   string
	port      int
	store     *storeserver.Server
	storeURL  string
	recorder  *executorserver.Recorder
	executors []*executorHost
	// controls holds the addresses for the heartbeats of the executors.
	controls []string
	entries  []*process
	agents   []*process
	servers  []*http.Server
	cancel   context.CancelFunc
}

// startDeployment starts the store, the executors, the entries and the agents and publishes the configuration.
func startDeployment(
	ctx context.Context, clock clockwork.Clock, r *record, config deploymentConfig,
) (*deployment, error) {
	directory, err := os.MkdirTemp("", "radishpath-checks-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{
		deploymentConfig: config,
		clock:            clock,
		record:           r,
		directory:        directory,
		network:          fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+rand.IntN(250)),
		store:            storeserver.New(clock),
		recorder:         executorserver.NewRecorder(clock),
		cancel:           cancel,
	}
	if err = d.startAll(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startAll(ctx context.Context) error {
	published, err := os.ReadFile(filepath.Join(d.root, "review", "checks47", "config.json"))
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	d.store.AppendOperation("config", published)
	if d.port, err = freePort(ctx, d.network+"1"); err != nil {
		return err
	}
	if d.storeURL, err = d.serve(ctx, d.store.Endpoint()); err != nil {
		return err
	}
	roles, err := readRoles(d.root)
	if err != nil {
		return err
	}
	for i := range d.deploymentConfig.entries {
		if err = d.addEntry(ctx, roles["entry"], i); err != nil {
			return err
		}
	}
	for i, rack := range d.racks {
		if err = d.addExecutor(ctx, roles["agent"], i, rack); err != nil {
			return err
		}
	}
	for _, p := range slices.Concat(d.entries, d.agents) {
		if err = p.start(ctx); err != nil {
			return err
		}
		d.record.line("started %s as process %d: %s", p.name, p.cmd.Process.Pid, strings.Join(p.shownArgs(), " "))
	}
	return nil
}

// seeds are the addresses of the entries for heartbeats, as the settings of all processes name them.
func (d *deployment) seeds() string {
	var seeds []string
	for i := range d.deploymentConfig.entries {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", d.network, i+1, d.port+4))
	}
	return strings.Join(seeds, ",")
}

func (d *deployment) addEntry(ctx context.Context, role role, index int) error {
	ip := fmt.Sprintf("%s%d", d.network, index+1)
	endpoint := d.store.Endpoint()
	storeAddress, err := d.serve(ctx, endpoint)
	if err != nil {
		return err
	}
	values := d.values(fmt.Sprintf("front-%d", index+1), ip, storeAddress)
	values["listen.front"] = fmt.Sprintf("%s:%d", ip, d.port+2)
	values["listen.ready"] = fmt.Sprintf("%s:%d", ip, d.port+3)
	p, err := role.process(d.root, d.directory, values)
	if err != nil {
		return err
	}
	p.endpoint = endpoint
	p.callerAddress = values["listen.front"]
	p.readyAddress = values["listen.ready"]
	if d.jobs {
		p.jobsAddress = fmt.Sprintf("%s:%d", ip, d.port+5)
		if err = p.addSetting("jobs = " + p.jobsAddress); err != nil {
			return err
		}
	}
	d.entries = append(d.entries, p)
	return nil
}

func (d *deployment) addExecutor(ctx context.Context, role role, index int, rack string) error {
	ip := fmt.Sprintf("%s%d", d.network, index+101)
	h := &executorHost{
		id:      fmt.Sprintf("i-%d", index+1),
		address: fmt.Sprintf("%s:%d", ip, d.port+5),
	}
	h.Executor = executorserver.New(executorserver.Config{
		ID:           h.id,
		Service:      "desk",
		Zone:         zone,
		Rack:         rack,
		Accelerators: d.accelerators,
		MaxLease:     d.maxLease,
		Clock:        d.clock,
		Recorder:     d.recorder,
		Random:       rand.New(rand.NewPCG(1, uint64(index))),
	})
	if err := h.listen(ctx); err != nil {
		return err
	}
	control := fmt.Sprintf("%s:%d", ip, d.port+4)
	go h.Run(ctx)
	go h.SendHeartbeats(ctx, "http://"+control)
	d.executors = append(d.executors, h)
	d.controls = append(d.controls, control)
	values := d.values(fmt.Sprintf("side-%d", index+1), ip, d.storeURL)
	values["listen.control"] = control
	values["app"] = h.address
	p, err := role.process(d.root, d.directory, values)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, p)
	return nil
}

// values are the fields of the settings of a process, for the templates of the deploy file.
func (d *deployment) values(node, ip, storeAddress string) map[string]string {
	return map[string]string{
		"node":               node,
		"zone":               zone,
		"ip":                 ip,
		"internalPorts.0":    fmt.Sprint(d.port),
		"internalPorts.1":    fmt.Sprint(d.port + 1),
		"platform.address":   storeAddress,
		"advice":             "",
		"seeds":              d.seeds(),
		"limits.memoryMb":    "284",
		"limits.cpuShare":    "0.4",
		"limits.maxFds":      "4100",
		"bounds.revokeMs":    "5000",
		"bounds.graceS":      "6",
		"bounds.holdMaxMs":   fmt.Sprint(d.maxLease.Milliseconds()),
		"bounds.stopGraceMs": "200",
		"bounds.reclaimMs":   "2700",
		"bounds.status_s":    "120",
		"bounds.farFactor":   "3",
	}
}

// awaitReady waits until all entries are ready and a first job has been completed.
func (d *deployment) awaitReady(ctx context.Context) error {
	c := d.newCaller(weddingsKey)
	for i, entry := range d.entries {
		err := d.await(ctx, readyTimeout, entry.name+" is ready", func() bool {
			result, sendErr := c.send(ctx, entry.readyAddress, http.MethodGet, "/v1/ready", nil)
			return sendErr == nil && result.status == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
	}
	const path = batchPrefix + "00000000000000ff"
	if err := c.submit(ctx, 0, path, "checks47/first.json"); err != nil {
		return err
	}
	return d.await(ctx, readyTimeout, "the first job is completed", func() bool {
		state, err := c.state(ctx, path)
		return err == nil && state == "completed"
	})
}

// await waits until a condition holds, or returns an error after a timeout.
func (d *deployment) await(ctx context.Context, timeout time.Duration, what string, holds func() bool) error {
	deadline := d.clock.Now().Add(timeout)
	for !holds() {
		if d.clock.Now().After(deadline) {
			return fmt.Errorf("within %s, %s: %w", timeout, what, context.DeadlineExceeded)
		}
		if err := d.sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// awaitRun waits until an executor runs a task.
func (d *deployment) awaitRun(ctx context.Context, task string, timeout time.Duration) error {
	return d.await(ctx, timeout, task+" runs", func() bool { return d.recorder.RunningOn(task) != "" })
}

// awaitStart waits until an executor has started a task.
func (d *deployment) awaitStart(ctx context.Context, task string, timeout time.Duration) error {
	return d.await(ctx, timeout, task+" starts", func() bool { return d.recorder.StartCount(task) > 0 })
}

func (d *deployment) sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", context.Cause(ctx))
	case <-d.clock.After(duration):
		return nil
	}
}

// serve serves a handler on a free loopback port and returns the address.
func (d *deployment) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
	}
	d.servers = append(d.servers, server)
	// Serve ends when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close ends all processes, writes down what the executors did and removes the temporary files.
func (d *deployment) close() {
	for _, p := range slices.Concat(d.entries, d.agents) {
		p.kill()
	}
	d.cancel()
	for _, h := range d.executors {
		h.close()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.record.line("what the executors did:")
	for _, event := range d.recorder.Events() {
		d.record.line("  %s", event)
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		// A failure leaves the logs where they are.
		_ = os.Rename(d.directory, kept)
		return
	}
	// A failure leaves files in the directory for temporary files.
	_ = os.RemoveAll(d.directory)
}

// freePort returns a free port of an address. Only this deployment uses the address, so that the next ports are free.
func freePort(ctx context.Context, ip string) (int, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return 0, fmt.Errorf("find free port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return 0, fmt.Errorf("find free port: %s is not a TCP address", listener.Addr())
	}
	return min(address.Port, 65000), nil
}
