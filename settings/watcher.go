package settings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

// readInterval is how often a Watcher reads the file without a signal. The file is small, and notifications of file
// changes aren't available everywhere.
const readInterval = 2 * time.Second

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	Files  FileSystem
	// Path is the path of the settings file, and Parse is ParseEntry or ParseAgent.
	Path  string
	Parse func(name string, text []byte) (ProcessSettings, error)
	// Current contains the settings with which the process has started.
	Current ProcessSettings
	// Signals requests a read of the file for each signal.
	Signals <-chan os.Signal
	// Apply is called with the new settings after each change.
	Apply func(changed ProcessSettings)
}

// Watcher reads the settings file of a process again and again, and passes on what has changed. Without a signal, a
// change is noticed after readInterval. A file that can't be read or is invalid changes nothing.
type Watcher struct {
	config WatcherConfig
	// text is the content of the file at the last read.
	text []byte
	// current are the settings last applied.
	current ProcessSettings
	// unreadable is set while the file can't be read.
	unreadable bool
}

// NewWatcher returns a Watcher.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{
		config:  config,
		current: config.Current,
	}
}

// Run watches the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case signal := <-w.config.Signals:
			changed := w.read()
			w.config.Logger.Info("settings read again", "signal", signal.String(), "changed", changed)
		case <-w.config.Clock.After(readInterval):
			w.read()
		}
	}
}

// read reads the file and reports whether the settings have changed.
func (w *Watcher) read() bool {
	text, err := w.config.Files.ReadFile(w.config.Path)
	if err != nil {
		if !w.unreadable {
			w.config.Logger.Warn("failed to read settings; keeping the previous ones", "error", err)
		}
		w.unreadable = true
		return false
	}
	w.unreadable = false
	if bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	parsed, err := w.config.Parse(w.config.Path, text)
	if err != nil {
		// The file may be in the middle of being written.
		w.config.Logger.Warn("invalid settings; keeping the previous ones", "error", err)
		return false
	}
	if reflect.DeepEqual(parsed, w.current) {
		return false
	}
	needsRestart := !reflect.DeepEqual(parsed.WithSeedAddresses(nil), w.current.WithSeedAddresses(nil))
	w.config.Logger.Info("settings changed", "seeds", parsed.SeedAddresses, "restart", needsRestart)
	w.current = parsed
	w.config.Apply(parsed)
	return true
}
