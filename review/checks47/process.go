package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"

	"radishpath.example/radishpath/standin/storeserver"
)

// settingsPath is where the platform puts the settings of a process.
const settingsPath = "/etc/radishpath/local.json"

// role is a role of the deploy file.
type role struct {
	run      string
	template string
}

// placeholder matches a placeholder of a template, rolePattern the parts of a role of the deploy file that are used.
const (
	placeholder = `\{\{([A-Za-z0-9_.]+)\}\}`
	rolePattern = `(?s)\[roles\.(\w+)\]\nrun = "([^"]+)"\ntemplate = "([^"]+)"`
)

// readRoles reads the roles of the deploy file.
func readRoles(root string) (map[string]role, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, fmt.Errorf("read deploy file: %w", err)
	}
	roles := map[string]role{}
	for _, match := range regexp.MustCompile(rolePattern).FindAllStringSubmatch(string(text), -1) {
		roles[match[1]] = role{
			run:      match[2],
			template: match[3],
		}
	}
	if len(roles) != 2 {
		return nil, fmt.Errorf("deploy file: %d roles instead of 2", len(roles))
	}
	return roles, nil
}

// render fills in a template.
func render(text string, values map[string]string) string {
	return regexp.MustCompile(placeholder).ReplaceAllStringFunc(text, func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
}

// process returns the process of a role, which isn't started yet. It runs in the root of the repository, with its
// settings in a temporary directory.
func (r role) process(root, directory string, values map[string]string) (*process, error) {
	template, err := os.ReadFile(filepath.Join(root, r.template))
	if err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	name := values["node"]
	path := filepath.Join(directory, name+".ini")
	if err = os.WriteFile(path, []byte(render(string(template), values)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return &process{
		name:     name,
		root:     root,
		args:     strings.Fields(strings.ReplaceAll(render(r.run, values), settingsPath, path)),
		logPath:  filepath.Join(directory, name+".log"),
		settings: path,
	}, nil
}

// process is a process of the project.
type process struct {
	name    string
	root    string
	args    []string
	logPath string
	// settings is the path of the settings file.
	settings string
	// endpoint is the handler through which an entry reaches the store; nil for an agent.
	endpoint      *storeserver.Endpoint
	callerAddress string
	readyAddress  string
	// jobsAddress is the address of the project's own interface for callers; empty if it isn't served.
	jobsAddress string
	cmd         *exec.Cmd
	exited      chan struct{}
}

// start starts the process. The kernel kills it when this program dies.
func (p *process) start(ctx context.Context) error {
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	p.cmd = exec.CommandContext(ctx, filepath.Join(p.root, p.args[0]), p.args[1:]...)
	p.cmd.Dir = p.root
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = p.cmd.Start(); err != nil {
		_ = logFile.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		defer close(exited)
		// Processes are ended by signals, so that their exit status says nothing.
		_ = cmd.Wait()
		_ = logFile.Close()
	}(p.cmd, p.exited)
	return nil
}

// addSetting adds a line to the settings of a process that isn't started yet.
func (p *process) addSetting(line string) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err = os.WriteFile(p.settings, append(text, []byte("\n"+line+"\n")...), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// shownArgs returns the command line without the temporary directory.
func (p *process) shownArgs() []string {
	shown := make([]string, 0, len(p.args))
	for _, arg := range p.args {
		shown = append(shown, strings.TrimPrefix(arg, filepath.Dir(p.logPath)+"/"))
	}
	return shown
}

// kill kills the process, if it was started, and waits until it has ended.
func (p *process) kill() {
	if p.exited == nil {
		return
	}
	// The process may have ended already.
	_ = p.cmd.Process.Kill()
	<-p.exited
}
