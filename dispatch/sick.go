package dispatch

import (
	"time"
)

const (
	// stallLimit and stallShare of its estimate is how long a run may show no progress. Progress comes in hundredths, so
	// long runs take longer to show any.
	stallLimit = 2 * time.Second
	stallShare = 0.05
	// slowFactor times the expected run time is what a run on a sound executor doesn't take. Run times of a queue vary by
	// less.
	slowFactor = 4
	// slowAfter is how long a run is watched before its pace says anything.
	slowAfter = time.Second
	// moveGain is how much sooner a run must be expected to end elsewhere to be moved.
	moveGain = 2
)

// watch stops runs that stand still and moves runs away from executors that have turned slow, where there is room. It
// answers the load in which some executors hang or crawl while they report themselves as sound.
func (b *Board) watch(v *view, now Instant) {
	for _, s := range v.sites {
		s.slow = false
		for place := range b.placed[s.agent] {
			if place.life != s.life || !place.running || place.stopping || place.task.done {
				continue
			}
			if place.task.group.step.GetPersistent() {
				continue
			}
			b.watchRun(s, place, now)
		}
	}
}

func (b *Board) watchRun(s *site, place *placement, now Instant) {
	g := place.task.group
	expected := b.estimates.of(g)
	limit := stallLimit + time.Duration(stallShare*float64(expected))
	if now.Boot-place.moved > limit && now.Boot-s.heard < b.config.Silence {
		b.config.Log("run stands still", "task", place.task.id.String(), "run", place.run, "agent", s.agent,
			"percent", place.percent, "still", (now.Boot - place.moved).Milliseconds())
		s.health.setAside(now.Boot)
		place.task.failedOn = s.agent
		b.stop(place)
		b.breakGang(g)
		return
	}
	done := place.percent - place.basePercent
	elapsed := place.moved - place.started
	if elapsed < slowAfter || done <= 0 || !b.estimates.known(g) {
		return
	}
	total := elapsed * 100 / time.Duration(done)
	if total > time.Duration(slowFactor*b.config.FarFactor)*expected {
		s.slow = true
	}
}

// moveFromSlow stops runs on slow executors that would end sooner if they began again on a sound one with room.
func (b *Board) moveFromSlow(v *view, now Instant) {
	for _, s := range v.sites {
		if !s.slow {
			continue
		}
		for place := range b.placed[s.agent] {
			if !place.running || place.stopping || place.task.done || place.task.group.step.GetGang() {
				continue
			}
			expected := b.estimates.of(place.task.group)
			if b.remaining(place, now) < moveGain*expected {
				continue
			}
			u := b.newUnit(place.task.group, v.needs, now)
			u.tasks = []*task{place.task}
			if chosen := b.pack(v, u, v.sites, freeRoom); chosen != nil {
				b.config.Log("run moves from a slow executor", "task", place.task.id.String(), "agent", s.agent)
				chosen[0].free = chosen[0].free.minus(roomOf(place.task.group.step))
				b.stop(place)
			}
		}
	}
}

// trusted reports whether a site may take a task. A site whose last runs failed is probed with one fresh task at a time:
// as it fails quickly, it would otherwise be free again at once and draw in everything that waits. A task that failed
// before goes only where nothing fails, as long as there is such a site.
func (v *view) trusted(s *site, t *task, taken map[string]int) bool {
	if v.sound == 0 || (s.agent != t.failedOn && !s.suspect()) {
		return true
	}
	if s.agent == t.failedOn || t.failures > 0 || t.group.failures > 0 || t.group.step.GetGang() {
		return false
	}
	return s.idle && taken[s.agent] == 0
}

// suspect reports whether the executor's last runs failed or its runs crawl.
func (s *site) suspect() bool {
	return len(s.health.failing) > 0 || s.slow
}
