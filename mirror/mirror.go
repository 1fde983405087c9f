// Package mirror holds the state that an entry has read from the operators' log and the cell's log. All parts of the
// process share it.
//
// # Usage
//
//	m := mirror.New(mirror.Config{
//		ApplyRecord: platform.ApplyOperation,
//	})
//	follower := logfollower.New(logfollower.Config{Apply: m.ApplyCell})
//	m.View(func(state *cell.State) { ... })
package mirror

import (
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/recovery"
)

// Names of the logs in log lines and metrics.
const (
	cellLogName       = "cell"
	operationsLogName = "operations"
)

// maxErrorText bounds the text of an error in a log line, which may quote the record.
const maxErrorText = 300

// Config configures a Mirror.
type Config struct {
	Logger   hclog.Logger
	BootTime boottime.Clock
	// Metrics counts invalid records; nil means no metrics.
	Metrics tally.Scope
	// ApplyRecord returns the operations with a record of the operators' log applied. An error says what of the record was
	// left out; the returned operations hold in any case.
	ApplyRecord func(operations cell.Operations, record cell.LogRecord) (cell.Operations, error)
}

// Mirror is a local copy of the state of both logs. It is safe for concurrent use.
type Mirror struct {
	config     Config
	mu         sync.Mutex
	operations cell.Operations
	state      *cell.State
	// peerClaim is the newest claim received from another entry.
	peerClaim *cellpb.Claim
	// schedulerSeenAt is when the newest record of the scheduler was read, or when the cell's log was last reloaded.
	schedulerSeenAt time.Duration
	// reported holds the invalid records that were reported, by the name of their log.
	reported    map[string]reportedOffsets
	changedJobs map[string]bool
	// changeSignal holds a value while there are changes of which the receiver hasn't been notified.
	changeSignal chan struct{}
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	return &Mirror{
		config: config,
		state:  cell.NewState(),
		reported: map[string]reportedOffsets{
			cellLogName:       newReportedOffsets(),
			operationsLogName: newReportedOffsets(),
		},
		changedJobs:  map[string]bool{},
		changeSignal: make(chan struct{}, 1),
	}
}

// ApplyCell applies records of the cell's log.
func (m *Mirror) ApplyCell(records []cell.LogRecord, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reset {
		m.state = cell.NewState()
		m.schedulerSeenAt = m.config.BootTime.Now()
	}
	for _, record := range records {
		m.applyCellRecord(record)
	}
	m.signalChange()
}

// ApplyOperations applies records of the operators' log.
func (m *Mirror) ApplyOperations(records []cell.LogRecord, reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	operations := m.operations
	if reset {
		// After a reset, a zone without a record is back in service. The configuration is kept, because its version
		// never decreases.
		operations.EvacuatedZones = nil
	}
	for _, record := range records {
		err := m.confinePanic(func() error {
			var err error
			operations, err = m.config.ApplyRecord(operations, record)
			return err
		})
		if err != nil {
			m.reportInvalid(operationsLogName, record, err)
		}
	}
	if operations.Config.Version != m.operations.Config.Version || len(records) > 0 {
		m.config.Logger.Info("operations changed",
			"version", operations.Config.Version, "evacuated", operations.EvacuatedZones)
	}
	m.operations = operations
	m.signalChange()
}

// Changed returns a channel that delivers a value after changes.
func (m *Mirror) Changed() <-chan struct{} {
	return m.changeSignal
}

// Claim returns the newest known claim, and when the newest record of the scheduler was read or the cell's log was last
// reloaded.
func (m *Mirror) Claim() (*cellpb.Claim, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peerClaim.GetEpoch() > m.state.Claim().GetEpoch() {
		return m.peerClaim, m.schedulerSeenAt
	}
	return m.state.Claim(), m.schedulerSeenAt
}

// SetPeerClaim records a claim received from another entry, for use while this one can't read the log itself.
func (m *Mirror) SetPeerClaim(claim *cellpb.Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if claim.GetEpoch() <= max(m.peerClaim.GetEpoch(), m.state.Claim().GetEpoch()) || claim.GetEpoch() > cell.MaxEpoch {
		return
	}
	m.peerClaim = claim
	m.config.Logger.Info("new scheduler reported by another entry", "epoch", claim.GetEpoch(), "holder", claim.GetHolder())
	m.signalChange()
}

// Job returns the state of a job; false if the cell's log holds no job of that id.
func (m *Mirror) Job(id string) (cell.JobState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Job(id)
}

// Operations returns the newest state of the operators' log.
func (m *Mirror) Operations() cell.Operations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// TakeChangedJobs returns the jobs that changed since the previous call.
func (m *Mirror) TakeChangedJobs() []cell.JobState {
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []cell.JobState
	for id := range m.changedJobs {
		if jobState, ok := m.state.Job(id); ok {
			jobs = append(jobs, jobState)
		}
	}
	m.changedJobs = map[string]bool{}
	return jobs
}

// View calls visit with the state. The state must not be used after visit returns.
func (m *Mirror) View(visit func(state *cell.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	visit(m.state)
}

// applyCellRecord applies a record of the cell's log. The caller holds the mutex.
func (m *Mirror) applyCellRecord(record cell.LogRecord) {
	previousEpoch := m.state.Claim().GetEpoch()
	id := ""
	err := m.confinePanic(func() error {
		var err error
		id, err = m.state.Apply(record)
		return err
	})
	if err != nil {
		m.reportInvalid(cellLogName, record, err)
		return
	}
	if claim := m.state.Claim(); claim.GetEpoch() != previousEpoch {
		m.config.Logger.Info("new scheduler", "epoch", claim.GetEpoch(), "holder", claim.GetHolder(),
			"offset", record.Offset)
	}
	if id != "" {
		m.changedJobs[id] = true
	}
	if cell.IsSchedulerKey(record.Key) {
		m.schedulerSeenAt = m.config.BootTime.Now()
	}
}

// confinePanic applies a record. A panic at one record must not end the process, which would read it again after its
// restart.
func (m *Mirror) confinePanic(apply func() error) error {
	return recovery.Run(m.config.Logger, m.config.Metrics, "mirror", apply)
}

// reportInvalid logs and counts a record that is skipped as invalid, unless it was reported before. The caller holds
// the mutex.
func (m *Mirror) reportInvalid(log string, record cell.LogRecord, err error) {
	if !m.reported[log].add(record.Offset) {
		return
	}
	m.config.Metrics.Tagged(map[string]string{
		"log": log,
	}).Counter("invalid_records").Inc(1)
	m.config.Logger.Warn("skipping invalid record in "+log+" log", "key", shorten(record.Key), "offset", record.Offset,
		"error", shorten(err.Error()))
}

// shorten returns the first bytes of a text as valid UTF-8.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorText)], "?")
}

func (m *Mirror) signalChange() {
	select {
	case m.changeSignal <- struct{}{}:
	default:
	}
}
