package placement

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// actions are the events of the state machine; the empty name is checked after each.
func (w *world) actions() map[string]func(*rapid.T) {
	evicting := func(id string) bool { return w.evicting[id] }
	all := func(string) bool { return true }
	return map[string]func(*rapid.T){
		"": func(*rapid.T) {
			w.check()
			w.decide()
			w.check()
		},
		"submit":  w.submit,
		"submit2": w.submit,
		"submit3": w.submit,
		"done":    func(t *rapid.T) { w.ends(t, all, done) },
		"stopped": func(t *rapid.T) { w.ends(t, evicting, stopped) },
		"failed":  func(t *rapid.T) { w.loose = true; w.ends(t, all, failed) },
		"cancel": func(t *rapid.T) {
			if len(w.jobs) == 0 {
				t.Skip("no jobs")
			}
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.jobs))).Draw(t, "job")
			w.s.Cancel(w.now, id)
			if _, ok := w.running[id]; !ok {
				delete(w.jobs, id)
			}
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		},
		"zone": func(t *rapid.T) {
			w.loose = true
			w.policy.Zones = slices.Clone(w.policy.Zones)
			z := &w.policy.Zones[rapid.IntRange(0, 1).Draw(t, "zone")]
			z.In = !z.In
			z.Finish = rapid.Bool().Draw(t, "finish")
			w.s.SetPolicy(w.policy)
		},
		"guarantee": func(t *rapid.T) {
			w.loose = true
			w.policy.Workspaces = slices.Clone(w.policy.Workspaces)
			a, b := rapid.IntRange(0, 2).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "b")
			list := w.policy.Workspaces
			list[a].Guarantees, list[b].Guarantees = list[b].Guarantees, list[a].Guarantees
			w.s.SetPolicy(w.policy)
		},
		"leave": func(t *rapid.T) {
			w.loose = true
			worker := w.anyWorker(t)
			worker.Leaving = !worker.Leaving
			w.workers[worker.ID] = worker
			w.s.SetWorker(w.now, worker)
		},
		"remove": func(t *rapid.T) {
			w.loose = true
			id := w.anyWorker(t).ID
			delete(w.workers, id)
			for _, job := range w.s.RemoveWorker(w.now, id) {
				w.evicting[job] = true
				r := w.running[job]
				r.Members = slices.DeleteFunc(slices.Clone(r.Members), func(m Assignment) bool { return m.Worker == id })
				w.running[job] = r
			}
		},
		"add": func(t *rapid.T) {
			if len(w.workers) >= 4 {
				t.Skip("enough workers")
			}
			w.addWorker()
		},
		"restart": func(*rapid.T) { w.restart() },
	}
}

// restart replaces the scheduler by a new one that is told what runs, as after a change of placer.
func (w *world) restart() {
	w.loose = true
	w.s = New(Config{})
	w.s.SetPolicy(w.policy)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.s.SetWorker(w.now, w.workers[id])
	}
	w.evicting = map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if r, ok := w.running[id]; ok {
			w.s.Restore(w.now, w.jobs[id], r.Members)
			continue
		}
		if w.s.Submit(w.now, w.jobs[id]) != nil {
			delete(w.jobs, id)
		}
	}
}
