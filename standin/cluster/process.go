package cluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/storeserver"
)

// Process is a process of the cluster that can be stopped and restarted.
type Process struct {
	Name string
	// ReadyAddress is the address of the readiness check; empty for an agent.
	ReadyAddress string
	// AdminAddress and PeerAddress are the addresses for metrics and of the peer protocol.
	AdminAddress string
	PeerAddress  string
	// Endpoint is the handler through which an entry accesses the store; nil for an agent.
	Endpoint *storeserver.Endpoint
	clock    clockwork.Clock
	args     []string
	binary   string
	// settingsPath is the path of the settings file.
	settingsPath string
	logPath      string
	// files is the number of descriptors that the process may open; 0 means no limit.
	files  int
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// restartMu is held during a restart.
	restartMu sync.Mutex
}

// Start starts the process. The kernel kills it when the calling process dies.
func (p *Process) Start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	p.cmd = p.command(ctx)
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = p.cmd.Start(); err != nil {
		_ = logFile.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		defer close(exited)
		// Processes are ended by signals, so their exit status is irrelevant.
		_ = cmd.Wait()
		_ = logFile.Close()
	}(p.cmd, p.exited)
	return nil
}

// SignalAndWait sends a signal and waits until the process has exited.
func (p *Process) SignalAndWait(signal syscall.Signal) {
	p.Signal(signal)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.SignalAndWait(syscall.SIGKILL)
}

// Pause suspends the process for a duration, as if its machine were suspended.
func (p *Process) Pause(duration time.Duration) {
	p.Signal(syscall.SIGSTOP)
	<-p.clock.After(duration)
	p.Signal(syscall.SIGCONT)
}

// Restart ends the process with a signal, waits for the downtime and starts the process again. It first resumes a
// paused process, which would otherwise never exit.
func (p *Process) Restart(ctx context.Context, signal syscall.Signal, downtime time.Duration) error {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.SignalAndWait(signal)
	<-p.clock.After(downtime)
	return p.Start(ctx)
}

// ID returns the id of the running process.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// HasExited reports whether the process has ended since its last start.
func (p *Process) HasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// command returns the command that runs the process, through a shell if that has to limit its descriptors.
func (p *Process) command(ctx context.Context) *exec.Cmd {
	if p.files == 0 {
		return exec.CommandContext(ctx, p.binary, p.args...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.files)
	return exec.CommandContext(ctx, "sh", append([]string{"-c", script, p.binary}, p.args...)...)
}

// Signal sends a signal to the process if it was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		// The process may have exited already.
		_ = p.cmd.Process.Signal(signal)
	}
}
