package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/jonboulle/clockwork"
)

const directoryMode = 0o700

// Config configures a Harness.
type Config struct {
	// Clock is the real clock.
	Clock clockwork.Clock
	// Binaries is a directory with radishpath and standin; empty builds them once per test process.
	Binaries string
	// Directory receives settings, records and output, in a new directory in it that stays after the test; empty takes
	// a directory that is removed.
	Directory string
}

// Harness owns the processes of one test.
type Harness struct {
	config  Config
	t       T
	ctx     context.Context
	ports   *ports
	network *Network

	mu        sync.Mutex
	processes []*Process
	workers   []*Worker
}

// New returns a Harness whose processes end with the test.
func New(t T, config Config) *Harness {
	t.Helper()
	directory, err := newDirectory(t, config.Directory)
	if err != nil {
		t.Fatalf("%v", err)
	}
	config.Directory = directory
	if config.Binaries == "" {
		if config.Binaries, err = build(t.Context()); err != nil {
			t.Fatalf("%v", err)
		}
	}
	binaries, err := filepath.Abs(config.Binaries)
	if err != nil {
		t.Fatalf("find binaries: %v", err)
	}
	config.Binaries = binaries
	claimed, err := newPorts()
	if err != nil {
		t.Fatalf("%v", err)
	}
	// The context of T ends before cleanups run; processes must live until the harness's own cleanup.
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	h := &Harness{
		config: config,
		t:      t,
		ctx:    ctx,
		ports:  claimed,
	}
	h.network = newNetwork(config.Clock, h.pids)
	t.Cleanup(func() {
		h.close()
		cancel()
	})
	return h
}

// Front puts the Network in front of a process that the harness did not start and returns the address to dial instead.
func (h *Harness) Front(name, address string) (string, error) {
	return h.network.front(name, address)
}

// Network returns the network between the processes. It takes part only in clusters with ClusterConfig.Linked.
func (h *Harness) Network() *Network {
	return h.network
}

// StartCommand starts any other program, which takes part in the network under the name.
func (h *Harness) StartCommand(name, path string, args ...string) *Process {
	h.t.Helper()
	p := h.process(name, path, nil, args...)
	p.start()
	return p
}

// StartLog starts a log service; the arguments are added to the command line.
func (h *Harness) StartLog(args ...string) *Log {
	h.t.Helper()
	address := h.address()
	log := newLog(h.process("log", "standin", []string{address},
		append([]string{"log", "--listen", address}, args...)...), address)
	log.start()
	return log
}

// StartWorker starts a worker and backend server.
func (h *Harness) StartWorker(config WorkerConfig) *Worker {
	h.t.Helper()
	address := h.address()
	checkpoints := filepath.Join(h.config.Directory, "checkpoints")
	if err := os.MkdirAll(checkpoints, directoryMode); err != nil {
		h.t.Fatalf("make directory for checkpoints: %v", err)
	}
	record := filepath.Join(h.config.Directory, config.ID+".record")
	args := append(config.args(), "--listen", address, "--record", record, "--checkpoints", checkpoints)
	worker := newWorker(h.process(config.ID, "standin", []string{address}, args...), config, address, record)
	h.mu.Lock()
	h.workers = append(h.workers, worker)
	h.mu.Unlock()
	worker.start()
	return worker
}

// address returns a free address.
func (h *Harness) address() string {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	address, err := h.ports.take()
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	return address
}

// close ends everything.
func (h *Harness) close() {
	h.mu.Lock()
	processes := h.processes
	h.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	h.network.close()
	h.ports.close()
	if !h.t.Failed() {
		return
	}
	for _, p := range processes {
		h.t.Logf("output of %s:\n%s", p.Name, p.tail())
	}
}

// pids returns the running processes by name.
func (h *Harness) pids() map[string]int {
	h.mu.Lock()
	processes := h.processes
	h.mu.Unlock()
	pids := map[string]int{}
	for _, p := range processes {
		if p.running() {
			pids[p.Name] = p.PID()
		}
	}
	return pids
}

func (h *Harness) process(name, binary string, listens []string, args ...string) *Process {
	path := binary
	if !filepath.IsAbs(path) {
		path = filepath.Join(h.config.Binaries, binary)
	}
	p := &Process{
		Name:    name,
		t:       h.t,
		ctx:     h.ctx,
		clock:   h.config.Clock,
		path:    path,
		args:    args,
		listens: listens,
		output:  filepath.Join(h.config.Directory, name+".log"),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = append(h.processes, p)
	return p
}

// write writes a file of the test and returns its path.
func (h *Harness) write(name, text string) string {
	h.t.Helper()
	path := filepath.Join(h.config.Directory, name)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		h.t.Fatalf("%v", fmt.Errorf("write %s: %w", name, err))
	}
	return path
}

// newDirectory makes a directory of the harness's own, because records of an earlier harness would count as its.
func newDirectory(t T, parent string) (string, error) {
	t.Helper()
	if parent == "" {
		return t.TempDir(), nil
	}
	if err := os.MkdirAll(parent, directoryMode); err != nil {
		return "", fmt.Errorf("make directory: %w", err)
	}
	directory, err := os.MkdirTemp(parent, "run-")
	if err != nil {
		return "", fmt.Errorf("make directory: %w", err)
	}
	return directory, nil
}
