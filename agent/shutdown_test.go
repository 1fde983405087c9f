package agent

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// The notice that an executor ends names no incarnation and may arrive seconds late, and the executor may still run for
// a moment. Taken for gone while it runs, its tasks would be ordered elsewhere and run twice at the same time.
func TestRunsAreReportedUntilExecutorIsGone(t *testing.T) {
	const noticeAt = time.Minute
	rejected := &cell.OrderRejectedError{Reason: "unhealthy"}
	tests := []struct {
		name     string
		draining bool
		// holds are the results of the holds after the notice.
		holds []error
		// earlier is set if the holds were requested before the notice.
		earlier bool
		// heartbeat is set if another heartbeat arrives afterwards.
		heartbeat bool
		gone      bool
	}{
		{name: "no hold was tried yet", draining: true},
		{name: "nothing listens any more", draining: true, holds: []error{cell.ErrNotListening}, gone: true},
		{name: "an earlier hold failed", draining: true, holds: []error{cell.ErrNotListening}, earlier: true},
		{name: "another executor answers", draining: true, holds: []error{cell.ErrOtherIncarnation}, gone: true},
		{name: "late notice of an earlier incarnation", holds: []error{cell.ErrNotListening}},
		{name: "answers are lost", draining: true, holds: []error{cell.ErrOutcomeUnknown, cell.ErrOutcomeUnknown}},
		{name: "the executor is unhealthy", draining: true, holds: []error{rejected, rejected}},
		{name: "a hold is answered", draining: true, holds: []error{nil, cell.ErrNotListening}},
		{name: "a heartbeat follows", draining: true, holds: []error{cell.ErrNotListening}, heartbeat: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := noticeAt
			c := New(Config{
				Logger:   hclog.NewNullLogger(),
				BootTime: boottime.Clock{Now: func() time.Duration { return now }},
			})
			heartbeat := cell.Heartbeat{
				Executor: &cellpb.Executor{
					Id:       "i-1",
					Born:     1,
					Draining: test.draining,
				},
				Sequence: 1,
			}
			c.HandleHeartbeat(heartbeat)
			switchIncarnation(c)
			c.incarnation.inventory.Running = []*cellpb.RunningTask{{Task: "a.0.0.0", Run: 1}}
			c.HandleHeartbeat(cell.Heartbeat{Executor: &cellpb.Executor{Id: "i-1"}, ShuttingDown: true})
			if test.earlier {
				now -= time.Minute / 2
			}
			for i, err := range test.holds {
				now += time.Second
				if err == nil {
					c.recordHoldResponse(c.incarnation, now)
					continue
				}
				c.recordHoldFailure(c.incarnation, now, i+1, err)
			}
			if test.heartbeat {
				heartbeat.Sequence++
				c.HandleHeartbeat(heartbeat)
			}
			report, _ := c.report(false)
			require.Equal(t, test.gone, report.GetExecutor().GetGone())
			require.Equal(t, test.gone, len(report.GetRunning()) == 0)
		})
	}
}
