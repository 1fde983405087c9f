package settings

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const (
	agentPath = "agent.ini"
	agentText = "[agent]\nid = agent-1\nzone = suva\nlisten = 10.0.0.9:7000\nseeds = "
)

// TestWatcher guards against settings that never take effect because the change came without a signal, before or after
// its signal, or while the file was being written.
func TestWatcher(t *testing.T) {
	type step struct {
		// text is the content of the file from this step on; empty if it is missing.
		text   string
		signal bool
		// want are the seeds that are applied; nil if none are.
		want []string
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{
			name: "changed with a signal",
			steps: []step{
				{text: agentText + "10.0.0.2:1", signal: true, want: []string{"10.0.0.2:7000"}},
				{text: agentText + "10.0.0.2:1"},
			},
		},
		{
			name: "changed without a signal, twice",
			steps: []step{
				{text: agentText + "10.0.0.2:1", want: []string{"10.0.0.2:7000"}},
				{text: agentText + "10.0.0.3:1,10.0.0.4:1", want: []string{"10.0.0.3:7000", "10.0.0.4:7000"}},
			},
		},
		{
			name: "changed after the signal",
			steps: []step{
				{text: agentText + "10.0.0.1:1", signal: true},
				{text: agentText + "10.0.0.2:1", want: []string{"10.0.0.2:7000"}},
			},
		},
		{
			name: "read while it is written",
			steps: []step{
				{text: "", signal: true},
				{text: "[agent]\nid = agent-1\n", signal: true},
				{text: agentText + "10.0.0", signal: true},
				{text: agentText + "10.0.0.2:1", want: []string{"10.0.0.2:7000"}},
			},
		},
		{
			name: "changed back",
			steps: []step{
				{text: agentText + "10.0.0.2:1", want: []string{"10.0.0.2:7000"}},
				{text: agentText + "10.0.0.1:1", want: []string{"10.0.0.1:7000"}},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				files := &fakeFileSystem{
					files: map[string][]byte{agentPath: []byte(agentText + "10.0.0.1:1")},
				}
				current, err := ReadProcess(files, agentPath, ParseAgent)
				require.NoError(t, err)
				signals := make(chan os.Signal)
				clock := clockwork.NewRealClock()
				var applied []string
				watcher := NewWatcher(WatcherConfig{
					Logger:  hclog.NewNullLogger(),
					Clock:   clock,
					Files:   files,
					Path:    agentPath,
					Parse:   ParseAgent,
					Current: current,
					Signals: signals,
					Apply:   func(changed ProcessSettings) { applied = changed.SeedAddresses },
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- watcher.Run(ctx) }()
				for _, step := range test.steps {
					files.files = map[string][]byte{agentPath: []byte(step.text)}
					if step.text == "" {
						files.files = nil
					}
					applied = nil
					if step.signal {
						signals <- syscall.SIGHUP
					} else {
						<-clock.After(readInterval + time.Millisecond)
					}
					synctest.Wait()
					require.Equal(t, step.want, applied)
				}
				cancel()
				require.NoError(t, <-done)
			})
		})
	}
}
