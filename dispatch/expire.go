package dispatch

// Expire gives up what ran at executors that were silent for longer than their leases, and forgets old jobs.
func (b *Board) Expire(now Instant) {
	for agent := range b.placed {
		b.expireAt(agent, now)
	}
	for id, j := range b.jobs {
		over := !j.active() && len(j.placements()) == 0 && !j.dirty
		if over && now.Wall-j.endedMs > b.config.Retention.Milliseconds() {
			delete(b.jobs, id)
			b.drops = append(b.drops, id)
		}
	}
}

func (b *Board) expireAt(agent string, now Instant) {
	e := b.executors[agent]
	silent := e == nil || !e.confirmed
	if !silent && now.Boot-e.heard <= b.config.Silence {
		return
	}
	for _, place := range b.at(agent) {
		switch {
		case !place.sent:
			b.lose(place, "order never left")
		case silent && now.Boot-b.began > b.config.Predecessor+b.config.lapse():
			b.lose(place, "executor never heard")
		case !silent && now.Boot-e.heard > b.config.lapse():
			b.lose(place, "lease lapsed")
		}
	}
}
