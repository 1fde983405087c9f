package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Process is a process of the deployment.
type Process struct {
	Name    string
	logPath string
	args    []string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Start starts the process. The kernel kills it when the case dies.
func (p *Process) Start(ctx context.Context) error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Name, err)
	}
	p.cmd = exec.CommandContext(ctx, p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
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

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		// The process may have exited already.
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	if p.exited != nil {
		<-p.exited
	}
}
