package placement

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// actions returns the actions of the rapid state machine. The action with the empty name runs after each of the
// others.
func (m *schedulerModel) actions() map[string]func(*rapid.T) {
	evicting := func(id string) bool { return m.evicting[id] }
	anyJob := func(string) bool { return true }
	return map[string]func(*rapid.T){
		"": func(*rapid.T) {
			m.checkGuarantees()
			m.decide()
			m.checkGuarantees()
		},
		"submit":  m.submit,
		"submit2": m.submit,
		"submit3": m.submit,
		"done":    func(t *rapid.T) { m.endAny(t, anyJob, doneResult) },
		"stopped": func(t *rapid.T) { m.endAny(t, evicting, stoppedResult) },
		"failed":  func(t *rapid.T) { m.capacityChanged = true; m.endAny(t, anyJob, failedResult) },
		"cancel": func(t *rapid.T) {
			if len(m.jobs) == 0 {
				t.Skip("no jobs")
			}
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.jobs))).Draw(t, "job")
			m.scheduler.Cancel(m.now, id)
			if _, ok := m.running[id]; !ok {
				delete(m.jobs, id)
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		},
		"zone": func(t *rapid.T) {
			m.capacityChanged = true
			m.policy.Zones = slices.Clone(m.policy.Zones)
			z := &m.policy.Zones[rapid.IntRange(0, 1).Draw(t, "zone")]
			z.In = !z.In
			z.Finish = rapid.Bool().Draw(t, "finish")
			m.scheduler.SetPolicy(m.policy)
		},
		"guarantee": func(t *rapid.T) {
			m.capacityChanged = true
			m.policy.Workspaces = slices.Clone(m.policy.Workspaces)
			a, b := rapid.IntRange(0, 2).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "b")
			workspaces := m.policy.Workspaces
			workspaces[a].Guarantees, workspaces[b].Guarantees = workspaces[b].Guarantees, workspaces[a].Guarantees
			m.scheduler.SetPolicy(m.policy)
		},
		"leave": func(t *rapid.T) {
			m.capacityChanged = true
			worker := m.drawWorker(t)
			worker.Leaving = !worker.Leaving
			m.workers[worker.ID] = worker
			m.scheduler.SetWorker(m.now, worker)
		},
		"remove": func(t *rapid.T) {
			m.capacityChanged = true
			id := m.drawWorker(t).ID
			delete(m.workers, id)
			for _, job := range m.scheduler.RemoveWorker(m.now, id) {
				m.evicting[job] = true
				r := m.running[job]
				r.Members = slices.DeleteFunc(slices.Clone(r.Members), func(member Assignment) bool { return member.Worker == id })
				m.running[job] = r
			}
		},
		"add": func(t *rapid.T) {
			if len(m.workers) >= 4 {
				t.Skip("enough workers")
			}
			m.addWorker()
		},
		"restart": func(*rapid.T) { m.restart() },
	}
}

// restart replaces the scheduler by a new one that is given the running jobs, as after a change of the active
// scheduler.
func (m *schedulerModel) restart() {
	m.capacityChanged = true
	m.scheduler = New(Config{})
	m.scheduler.SetPolicy(m.policy)
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		m.scheduler.SetWorker(m.now, m.workers[id])
	}
	m.evicting = map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if r, ok := m.running[id]; ok {
			m.scheduler.Restore(m.now, m.jobs[id], r.Members)
			continue
		}
		if m.scheduler.Submit(m.now, m.jobs[id]) != nil {
			delete(m.jobs, id)
		}
	}
}
