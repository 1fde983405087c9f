package cluster

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"syscall"
	"time"
)

// Replacement describes how all entries are replaced at once.
type Replacement struct {
	// Pause is the time from the end of the entries until the new ones start.
	Pause time.Duration
	// UpdateSettings writes the addresses of the new entries to the agents' settings files.
	UpdateSettings bool
	// Signal sends SIGHUP to the agents after that.
	Signal bool
}

// ReplaceEntries kills all entries and starts others at new addresses.
func (c *Cluster) ReplaceEntries(ctx context.Context, replacement Replacement) error {
	for _, p := range c.Entries {
		p.Kill()
	}
	<-c.config.Clock.After(replacement.Pause)
	c.generation++
	c.Entries, c.CallerAddresses, c.JobsAddresses = nil, nil, nil
	if err := c.addEntries(); err != nil {
		return err
	}
	for _, p := range c.Entries {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	for _, p := range c.Agents {
		if replacement.UpdateSettings {
			if err := p.updateSeeds(c.seeds()); err != nil {
				return err
			}
		}
		if replacement.Signal {
			p.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

var seedsLine = regexp.MustCompile(`(?m)^seeds = .*$`)

// updateSeeds replaces the settings file by one with other seeds, as a tool does that renames a temporary file.
func (p *Process) updateSeeds(seeds string) error {
	text, err := os.ReadFile(p.settingsPath)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	temporary := p.settingsPath + ".new"
	if err = os.WriteFile(temporary, seedsLine.ReplaceAll(text, []byte("seeds = "+seeds)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err = os.Rename(temporary, p.settingsPath); err != nil {
		return fmt.Errorf("replace settings: %w", err)
	}
	return nil
}
