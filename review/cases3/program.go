package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// maxFiles is the number of descriptors of a process, as on the small sites.
const maxFiles = "4100"

// program is one process of the deployed binary.
type program struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
}

// startProgram renders a role's template and starts the role's command with it, as the deploy file says.
func startProgram(directory, role, name string, values map[string]string, args ...string) (*program, error) {
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	text := string(template)
	for placeholder, value := range values {
		text = strings.ReplaceAll(text, "{{"+placeholder+"}}", value)
	}
	path := filepath.Join(directory, name+".ini")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	logFile, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	p := &program{
		name: name,
		args: append([]string{role, "--settings", path, "--files", maxFiles}, args...),
		log:  logFile,
	}
	return p, p.start()
}

func (p *program) start() error {
	p.cmd = exec.Command("target/radishpath", p.args...) //nolint:noctx // it is ended by close
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	return nil
}

// restart kills the process and starts it again after a wait.
func (p *program) restart(wait func()) error {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	wait()
	return p.start()
}

// close kills the process and waits for its end.
func (p *program) close() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	_ = p.log.Close()
}
