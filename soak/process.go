package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"radishpath.example/radishpath/standin/storeserver"
)

// process is one of the programs under test, which may be ended and started again.
type process struct {
	name string
	args []string
	bin  string
	logs string
	// door is the process's own way into the store.
	door *storeserver.Door
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// restart is held while the process is ended and started again.
	restart sync.Mutex
}

// start starts the process. It ends with the soak: the kernel kills it if the soak dies.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	p.cmd = exec.CommandContext(ctx, p.bin, p.args...)
	p.cmd.Stdout = output
	p.cmd.Stderr = output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = p.cmd.Start(); err != nil {
		_ = output.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		defer close(done)
		// The soak ends processes by signals, so their errors say nothing.
		_ = cmd.Wait()
		_ = output.Close()
	}(p.cmd, p.done)
	return nil
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has ended takes no signal.
	_ = p.cmd.Process.Signal(signal)
}

// end sends a signal and waits for the end.
func (p *process) end(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}
