package workerserver

import (
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// checkpoints keeps the work done per job and member, in memory or in a directory shared between workers.
type checkpoints struct {
	directory string
	memory    map[string]time.Duration
}

func newCheckpoints(directory string) *checkpoints {
	return &checkpoints{
		directory: directory,
		memory:    map[string]time.Duration{},
	}
}

// load returns the work done, 0 without a checkpoint.
func (c *checkpoints) load(job string, member int32) (time.Duration, error) {
	if c.directory == "" {
		return c.memory[key(job, member)], nil
	}
	text, err := os.ReadFile(c.path(job, member))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("load checkpoint: %w", err)
	}
	done, err := time.ParseDuration(string(text))
	if err != nil {
		return 0, fmt.Errorf("load checkpoint %s: %w", c.path(job, member), err)
	}
	return done, nil
}

// save replaces the checkpoint as a whole, so that a worker that is killed leaves the old or the new one.
func (c *checkpoints) save(job string, member int32, done time.Duration) error {
	if c.directory == "" {
		c.memory[key(job, member)] = done
		return nil
	}
	temporary, err := os.CreateTemp(c.directory, "*.tmp")
	if err != nil {
		return fmt.Errorf("save checkpoint: %w", err)
	}
	_, err = temporary.WriteString(done.String())
	if err = errors.Join(err, temporary.Close()); err != nil {
		return fmt.Errorf("save checkpoint: %w", err)
	}
	if err = os.Rename(temporary.Name(), c.path(job, member)); err != nil {
		return fmt.Errorf("save checkpoint: %w", err)
	}
	return nil
}

func (c *checkpoints) path(job string, member int32) string {
	return filepath.Join(c.directory, key(job, member))
}

func key(job string, member int32) string {
	return fmt.Sprintf("%s.%d", url.PathEscape(job), member)
}
