package entry

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/peer/peerpb"
)

// decision is one line of the decision trace.
type decision struct {
	Time      time.Time `json:"time"`
	Entry     string    `json:"entry"`
	Kind      string    `json:"kind"`
	Job       string    `json:"job,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	// Generation and Count are the attempt.
	Generation int64    `json:"generation,omitempty"`
	Count      int32    `json:"count,omitempty"`
	Agents     []string `json:"agents,omitempty"`
	Zone       string   `json:"zone,omitempty"`
	Outcome    string   `json:"outcome,omitempty"`
	Reasons    []string `json:"reasons,omitempty"`
	// Passed names what was passed over, with the reason.
	Passed []string `json:"passed,omitempty"`
}

// trace writes decisions to the log and, as JSON lines, to the decision trace.
type trace struct {
	clock  clockwork.Clock
	logger hclog.Logger
	entry  string

	mu sync.Mutex
	// encoder is nil when no trace is kept.
	encoder *json.Encoder
}

func newTrace(config Config) *trace {
	t := &trace{
		clock:  config.Clock,
		logger: config.Logger.Named("decision"),
		entry:  config.ID,
	}
	if config.Trace != nil && config.Trace != io.Discard {
		t.encoder = json.NewEncoder(config.Trace)
	}
	return t
}

// write records a decision.
func (t *trace) write(d decision) {
	d.Time = t.clock.Now()
	d.Entry = t.entry
	t.logger.Info(d.Kind,
		"job", d.Job,
		"workspace", d.Workspace,
		"attempt", attemptText(&peerpb.Attempt{
			Generation: d.Generation,
			Count:      d.Count,
		}),
		"agents", d.Agents,
		"zone", d.Zone,
		"outcome", d.Outcome,
		"reasons", d.Reasons,
		"passed", d.Passed,
	)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.encoder == nil {
		return
	}
	if err := t.encoder.Encode(d); err != nil {
		t.logger.Error("write decision trace", "error", err)
	}
}
