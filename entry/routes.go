package entry

import (
	"context"

	"radishpath.example/radishpath/peer/peerpb"
)

// pick chooses a backend server for the request.
func (r *runner) pick(_ context.Context) (agentView, bool) {
	now := r.entry.config.Clock.Now()
	var best agentView
	for _, view := range r.entry.fleet.list() {
		zone, ok := r.entry.documents.parsed().Zone(view.worker.GetZone())
		if !view.isUsable(now) || !ok || !zone.In {
			continue
		}
		if best.id == "" || view.outstanding < best.outstanding {
			best = view
		}
	}
	if best.id == "" {
		r.setState(stateQueued, "no backend server is available")
		return agentView{}, false
	}
	return best, true
}

func (e *Entry) isLarge(_ *peerpb.Job) bool { return false }

func (e *Entry) mayRetry(_ *peerpb.Job) bool { return true }

func (e *Entry) observeServed(_ *peerpb.Job, _ agentView, _ served) {}
