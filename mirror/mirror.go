// Package mirror holds what an entry has read of the operators' log and of the cell's log, for all of the process.
//
// # Usage
//
//	m := mirror.New(mirror.Config{
//		Decode: platform.ApplyOperation,
//	})
//	follower := follow.New(follow.Config{Apply: m.ApplyCell})
//	m.View(func(state *cell.State) { ... })
package mirror

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Config configures a Mirror.
type Config struct {
	Logger hclog.Logger
	Boot   boottime.Clock
	// Decode folds an entry of the operators' log.
	Decode func(operations cell.Operations, entry cell.Entry) (cell.Operations, error)
}

// Mirror is safe for concurrent use.
type Mirror struct {
	config     Config
	mu         sync.Mutex
	operations cell.Operations
	state      *cell.State
	// told is a claim that another entry has read.
	told *cellpb.Claim
	// heard is when the last record of the scheduler was read.
	heard   time.Duration
	changed map[string]bool
	// signal holds a value while changed or operations changed.
	signal chan struct{}
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	return &Mirror{
		config:  config,
		state:   cell.NewState(),
		changed: map[string]bool{},
		signal:  make(chan struct{}, 1),
	}
}

// ApplyCell takes entries of the cell's log.
func (m *Mirror) ApplyCell(entries []cell.Entry, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reset {
		m.state = cell.NewState()
		m.heard = m.config.Boot.Now()
	}
	for _, entry := range entries {
		before := m.state.Claim().GetEpoch()
		id, err := m.state.Apply(entry)
		if err != nil {
			m.config.Logger.Warn("record left out", "key", entry.Key, "offset", entry.Offset, "error", err)
			continue
		}
		if claim := m.state.Claim(); claim.GetEpoch() != before {
			m.config.Logger.Info("scheduler", "epoch", claim.GetEpoch(), "holder", claim.GetHolder(),
				"offset", entry.Offset)
		}
		if id != "" {
			m.changed[id] = true
		}
		if cell.FromScheduler(entry.Key) {
			m.heard = m.config.Boot.Now()
		}
	}
	m.notify()
}

// ApplyOperations takes entries of the operators' log.
func (m *Mirror) ApplyOperations(entries []cell.Entry, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	operations := m.operations
	if reset {
		// What isn't among the newest entries was taken back; the configuration never goes back.
		operations.Evacuated = nil
	}
	for _, entry := range entries {
		folded, err := m.config.Decode(operations, entry)
		if err != nil {
			m.config.Logger.Warn("operation left out", "key", entry.Key, "offset", entry.Offset, "error", err)
			continue
		}
		operations = folded
	}
	if operations.Config.Version != m.operations.Config.Version || len(entries) > 0 {
		m.config.Logger.Info("operations", "version", operations.Config.Version, "evacuated", operations.Evacuated)
	}
	m.operations = operations
	m.notify()
}

// Changed delivers a value after changes.
func (m *Mirror) Changed() <-chan struct{} {
	return m.signal
}

// Claim returns the newest claim and when the scheduler was last heard.
func (m *Mirror) Claim() (*cellpb.Claim, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.told.GetEpoch() > m.state.Claim().GetEpoch() {
		return m.told, m.heard
	}
	return m.state.Claim(), m.heard
}

// Tell takes over a claim that another entry has read, for an entry that can't read the log itself.
func (m *Mirror) Tell(claim *cellpb.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if claim.GetEpoch() <= max(m.told.GetEpoch(), m.state.Claim().GetEpoch()) {
		return
	}
	m.told = claim
	m.config.Logger.Info("scheduler told", "epoch", claim.GetEpoch(), "holder", claim.GetHolder())
	m.notify()
}

// Job returns what is known of a job.
func (m *Mirror) Job(id string) (cell.Tracked, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Job(id)
}

// Operations returns what the operators published.
func (m *Mirror) Operations() cell.Operations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// TakeChanged returns the jobs that changed since the last call.
func (m *Mirror) TakeChanged() []cell.Tracked {
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []cell.Tracked
	for id := range m.changed {
		if tracked, ok := m.state.Job(id); ok {
			jobs = append(jobs, tracked)
		}
	}
	m.changed = map[string]bool{}
	return jobs
}

// View calls look with the state, which look must not keep.
func (m *Mirror) View(look func(state *cell.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	look(m.state)
}

func (m *Mirror) notify() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}
