package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/platform"
	"radishpath.example/radishpath/standin/cluster"
	"radishpath.example/radishpath/standin/executorserver"
	"radishpath.example/radishpath/standin/storeserver"
)

// wireNames holds the platform's names that the cases spell.
//
//go:embed wire.json
var wireNames []byte

const (
	entryCount  = 3
	workerCount = 11
	// maxLease is holdMaxMs of the small site.
	maxLease     = 6 * time.Second
	accelerators = 8
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Offsets of a process's ports from its first internal port.
const (
	callerPort = 2 + iota
	readyPort
	controlPort
)

// deployment is a small deployment of the deployed binary: three entries and eleven agents in three zones, as on the
// small sites.
type deployment struct {
	clock     clockwork.Clock
	record    *record
	directory string
	wire      map[string]string
	store     *storeserver.Server
	recorder  *executorserver.Recorder
	workers   []*worker
	// callers are the addresses of the entries for callers.
	callers  []string
	ready    []string
	programs []*program
	servers  []*httptest.Server
	client   *http.Client
	prefix   string
	basePort int
}

func startDeployment(ctx context.Context, clock clockwork.Clock, written *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "cases3-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	d := &deployment{
		clock:     clock,
		record:    written,
		directory: directory,
		wire:      map[string]string{},
		store:     storeserver.New(clock),
		recorder:  executorserver.NewRecorder(clock),
		client:    &http.Client{},
		prefix:    fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	if err = d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// close ends all processes and removes the temporary folder, unless KEEP names that it shall stay.
func (d *deployment) close() {
	for _, p := range d.programs {
		p.close()
	}
	for _, server := range d.servers {
		server.CloseClientConnections()
		server.Close()
	}
	if os.Getenv("KEEP") == "" {
		// A failure only leaves files in the folder for temporary files.
		_ = os.RemoveAll(d.directory)
	}
}

func (d *deployment) start(ctx context.Context) error {
	if err := json.Unmarshal(wireNames, &d.wire); err != nil {
		return fmt.Errorf("decode names: %w", err)
	}
	var err error
	if d.basePort, err = freePort(ctx, d.prefix+"1"); err != nil {
		return err
	}
	if err = d.publish(1, cluster.DocumentText(cluster.DocumentConfig{})); err != nil {
		return err
	}
	for i := range entryCount {
		if err = d.startEntry(i); err != nil {
			return err
		}
	}
	for i := range workerCount {
		if err = d.startWorker(ctx, i); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

// publish publishes a document under a revision.
func (d *deployment) publish(revision int64, text string) error {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	records, err := platform.DiffOperations(d.store.Operations(), parsed.Operations(revision))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	for _, r := range records {
		d.store.AppendOperation(r.Key, r.Value)
	}
	return nil
}

func (d *deployment) startEntry(index int) error {
	values := d.values("front", index, index+1)
	values["listen.front"] = d.address(index+1, callerPort)
	values["listen.ready"] = d.address(index+1, readyPort)
	values["platform.address"] = d.serve(d.store.Endpoint())
	values["limits.memoryMb"], values["limits.cpuShare"] = "284", "0.4"
	d.callers = append(d.callers, values["listen.front"])
	d.ready = append(d.ready, values["listen.ready"])
	p, err := startProgram(d.directory, "entry", values["node"], values)
	if err != nil {
		return err
	}
	d.programs = append(d.programs, p)
	return nil
}

func (d *deployment) startWorker(ctx context.Context, index int) error {
	id := fmt.Sprintf("i-%d", index)
	executor := executorserver.New(executorserver.Config{
		ID:           id,
		Service:      "desk",
		Zone:         zone(index),
		Rack:         fmt.Sprintf("r%d", index%entryCount),
		Accelerators: accelerators,
		MaxLease:     maxLease,
		Clock:        d.clock,
		Recorder:     d.recorder,
	})
	toExecutor, err := newLink(ctx, d.serve(executor))
	if err != nil {
		return err
	}
	values := d.values("side", index, index+101)
	values["listen.control"] = d.address(index+101, controlPort)
	values["app"] = toExecutor.address
	values["limits.memoryMb"], values["limits.cpuShare"] = "152", "0.24"
	w := &worker{
		executor: executor,
		id:       id,
		agentURL: "http://" + values["listen.control"],
		link:     toExecutor,
		client:   d.client,
	}
	d.workers = append(d.workers, w)
	p, err := startProgram(d.directory, "agent", values["node"], values, "--store", d.serve(d.store.Endpoint()))
	if err != nil {
		return err
	}
	d.programs = append(d.programs, p)
	go executor.Run(ctx)
	go executor.SendHeartbeats(ctx, "http://"+d.serve(w))
	return nil
}

// values returns the values of the placeholders that all roles have, with the bounds of the small sites.
func (d *deployment) values(class string, index, host int) map[string]string {
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, d.address(i+1, controlPort))
	}
	return map[string]string{
		"node":               fmt.Sprintf("%s-%s-%d", class, zone(index), index/entryCount+1),
		"zone":               zone(index),
		"ip":                 fmt.Sprintf("%s%d", d.prefix, host),
		"internalPorts.0":    fmt.Sprint(d.basePort),
		"internalPorts.1":    fmt.Sprint(d.basePort + 1),
		"seeds":              strings.Join(seeds, ","),
		"advice":             "",
		"bounds.revokeMs":    "5000",
		"bounds.graceS":      "6",
		"bounds.holdMaxMs":   fmt.Sprint(maxLease.Milliseconds()),
		"bounds.stopGraceMs": "200",
		"bounds.reclaimMs":   "2700",
		"bounds.status_s":    "120",
		"bounds.farFactor":   "3",
	}
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", d.prefix, host, d.basePort+port)
}

func (d *deployment) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.servers = append(d.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// awaitReady waits until all entries are ready and a job has run on the deployment.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := cluster.NewClient(d.clock)
	err := d.await(ctx, readyTimeout, func() bool {
		for _, address := range d.ready {
			if !client.IsReady(ctx, address) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("entries aren't ready: %w", err)
	}
	first := job{
		id:    "00000000000000f0",
		steps: []step{{tasks: workerCount, accelerators: accelerators}},
		spec:  "gpu 8 300ms",
	}
	if status := d.submit(ctx, 0, first); status != http.StatusOK {
		return fmt.Errorf("first job: status %d", status)
	}
	err = d.await(ctx, readyTimeout, func() bool { return d.state(ctx, 0, first.id) == "completed" })
	if err != nil {
		return fmt.Errorf("first job isn't done: %w", err)
	}
	d.record.add("three entries and eleven agents are up; a first job ran on all executors")
	return nil
}

// await polls a condition until it holds.
func (d *deployment) await(ctx context.Context, timeout time.Duration, holds func() bool) error {
	deadline := d.clock.Now().Add(timeout)
	for !holds() {
		if d.clock.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("not within %s", timeout)
		}
		<-d.clock.After(pollInterval)
	}
	return nil
}

// zone returns the zone of the process with an index.
func zone(index int) string {
	return []string{"suva", "lautoka", "nausori"}[index%entryCount]
}

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
