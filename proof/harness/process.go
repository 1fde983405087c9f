package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// readyLimit is generous because many tests may share a busy machine; no verdict depends on it.
	readyLimit = 30 * time.Second
	// endLimit bounds a graceful shutdown.
	endLimit = 60 * time.Second
	pollStep = 10 * time.Millisecond
	// tailBytes of each process's output are logged when a test fails.
	tailBytes   = 4000
	fileMode    = 0o600
	exitUnknown = -1
)

// Process is a child process that can be stopped, killed and started again.
type Process struct {
	// Name is the name in the network and of the output file.
	Name string
	t    T
	// ctx ends the process when the test is over.
	ctx   context.Context
	clock clockwork.Clock
	path  string
	args  []string
	// listens are the addresses that the process accepts connections on once it is ready.
	listens []string
	output  string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	code    int
	// paused is when the process was stopped, zero if it runs.
	paused time.Time
	deaths []time.Time
}

// Continue lets a stopped process run again.
func (p *Process) Continue() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Time{}
}

// Deaths returns when the process ended, once per run; a process killed while it was stopped ended when it was stopped.
func (p *Process) Deaths() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time{}, p.deaths...)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.await(endLimit)
}

// Listens returns the addresses that the process accepts connections on; the first one is for its peers.
func (p *Process) Listens() []string {
	return append([]string{}, p.listens...)
}

// Output returns the path of the file with the process's standard output and standard error.
func (p *Process) Output() string {
	return p.output
}

// Path returns the path of the binary.
func (p *Process) Path() string {
	return p.path
}

// PID returns the id of the last run's process, 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return 0
	}
	return p.process.Pid
}

// Restart kills the process if it runs and starts it again with the same addresses and settings.
func (p *Process) Restart() {
	p.t.Helper()
	if p.running() {
		p.Kill()
	}
	p.start()
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	return p.running()
}

// Stop pauses the process with SIGSTOP and returns once all its threads are paused.
func (p *Process) Stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	deadline := p.clock.Now().Add(readyLimit)
	for !isPaused(p.PID()) {
		if p.clock.Now().After(deadline) {
			p.t.Fatalf("%s is not paused after %s", p.Name, readyLimit)
			return
		}
		p.clock.Sleep(pollStep / 10)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = p.clock.Now()
}

// Terminate sends SIGTERM, waits for the end, and returns the exit code; -1 means that a signal ended the process.
func (p *Process) Terminate() int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.await(endLimit)
}

// await waits for the end of the process.
func (p *Process) await(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-p.clock.After(limit):
		p.t.Fatalf("%s did not end within %s", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// awaitReady waits until the process accepts connections.
func (p *Process) awaitReady() error {
	deadline := p.clock.Now().Add(readyLimit)
	dialer := net.Dialer{}
	for _, address := range p.listens {
		for {
			conn, err := dialer.DialContext(p.ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
				break
			}
			if !p.running() {
				return errors.New("ended before it listened")
			}
			if p.clock.Now().After(deadline) {
				return fmt.Errorf("does not listen: %w", err)
			}
			p.clock.Sleep(pollStep)
		}
	}
	return nil
}

// kill ends the process at the end of the test.
func (p *Process) kill() {
	p.mu.Lock()
	process, ended := p.process, p.ended
	p.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Kill()
	<-ended
}

// run starts the process and waits for its end. It stays on one thread meanwhile, because the kernel sends the parent
// death signal when the thread that started the process ends.
func (p *Process) run(cmd *exec.Cmd, started chan<- error, ended chan<- struct{}) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(ended)
	err := cmd.Start()
	p.mu.Lock()
	p.process = cmd.Process
	p.mu.Unlock()
	started <- err
	if err != nil {
		return
	}
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.code = cmd.ProcessState.ExitCode()
	death := p.paused
	if death.IsZero() {
		death = p.clock.Now()
	}
	p.deaths = append(p.deaths, death)
	p.paused = time.Time{}
}

func (p *Process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *Process) signal(signal syscall.Signal) {
	p.t.Helper()
	p.mu.Lock()
	process := p.process
	p.mu.Unlock()
	if process == nil {
		p.t.Fatalf("%s was not started", p.Name)
		return
	}
	if err := process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("send %s to %s: %v", signal, p.Name, err)
	}
}

// start starts the process and waits until it is ready.
func (p *Process) start() {
	p.t.Helper()
	if err := p.launch(); err != nil {
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	if err := p.awaitReady(); err != nil {
		p.t.Fatalf("%s %v:\n%s", p.Name, err, p.tail())
	}
}

func (p *Process) launch() error {
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.CommandContext(p.ctx, p.path, p.args...)
	cmd.Dir = filepath.Dir(p.output)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	started := make(chan error, 1)
	ended := make(chan struct{})
	p.mu.Lock()
	p.ended = ended
	p.code = exitUnknown
	p.mu.Unlock()
	go p.run(cmd, started, ended)
	if err = <-started; err != nil {
		return fmt.Errorf("run %s: %w", p.path, err)
	}
	return nil
}

// tail returns the end of the output.
func (p *Process) tail() string {
	text, err := os.ReadFile(p.output)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-tailBytes):])
}

// isPaused reports whether every thread of the process is stopped.
func isPaused(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		text, readErr := os.ReadFile(path)
		// The state follows the name, which stands in parentheses.
		if readErr != nil || !bytes.Contains(text, []byte(") T ")) {
			return false
		}
	}
	return true
}
