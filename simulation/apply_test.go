package simulation

import (
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// apply lets a fault happen and ends it after its duration, or when the faults of the simulation end.
func (w *world) apply(f fault) {
	h := w.fleet.hosts[f.target%hostCount]
	index := f.target % entryCount
	w.journal.add(h.name, "fault %s (x%d, entry-%d) for %s", f.kind, f.target%hostCount, index, f.duration)
	switch f.kind {
	case faultCrash:
		w.crash(h, "crash")
	case faultFlap:
		for range 4 {
			w.crash(h, "flapping")
			w.sleep(w.ctx, w.between(100*time.Millisecond, 3*time.Second))
		}
	case faultDrain:
		w.drain(h)
	case faultCapacity:
		w.resize(h, f.duration)
	case faultKillAgent:
		w.restartAgent(h, f.duration/3)
	case faultFreezeAgent:
		h.currentAgent().freeze(w.untilCalm(f.duration))
	case faultKillEntry:
		w.restartEntry(index, f.duration/3)
	case faultFreezeEntry:
		w.entry(index).freeze(w.untilCalm(f.duration))
	case faultCutAgent:
		w.cutPeer(agentName(h.name), f.duration)
	case faultCutEntry:
		w.cutPeer(entryName(index), f.duration)
	case faultCutLog, faultLoseAppends, faultRejectLog:
		endpoint := w.entry(index).endpoint
		endpoint.setFaults(f.kind == faultCutLog, f.kind == faultLoseAppends, f.kind == faultRejectLog)
		w.sleep(w.ctx, w.untilCalm(f.duration))
		endpoint.setFaults(false, false, false)
	default:
		h.changeFaults(func(faults *linkFaults) { faults.set(f.kind, true) })
		w.sleep(w.ctx, w.untilCalm(f.duration))
		h.changeFaults(func(faults *linkFaults) { faults.set(f.kind, false) })
	}
}

// untilCalm shortens a duration so that it ends when the faults of the simulation end.
func (w *world) untilCalm(duration time.Duration) time.Duration {
	return min(duration, max(faultsEnd-w.now(), 0))
}

// crash ends the executor of a host, which starts again soon.
func (w *world) crash(h *host, reason string) {
	w.fleet.mu.Lock()
	up := h.current != nil
	w.fleet.end(h, reason, w.now())
	w.fleet.mu.Unlock()
	if up {
		w.restartLater(h)
	}
}

// restartLater starts the executor of a host again after a while, under the same id or another one.
func (w *world) restartLater(h *host) {
	delay := w.between(100*time.Millisecond, 4*time.Second)
	if w.chance(0.2) {
		delay = w.between(time.Millisecond, 100*time.Millisecond)
	}
	newID := w.faultSet.enabled(faultNewID) && w.chance(0.35)
	w.spawn(func() {
		if !w.sleep(w.ctx, delay) {
			return
		}
		w.startIncarnation(h, newID)
	})
}

// drain lets the executor of a host announce that it leaves, leave and start again.
func (w *world) drain(h *host) {
	w.fleet.mu.Lock()
	l := h.current
	if l == nil || l.draining {
		w.fleet.mu.Unlock()
		return
	}
	l.draining = true
	l.leaveAt = w.now() + drainTime
	w.journal.add(h.name, "executor %s drains", l)
	w.fleet.mu.Unlock()
	deadline := w.now() + unacknowledgedDrainTime
	for w.now() < deadline {
		w.sleep(w.ctx, 100*time.Millisecond)
		w.fleet.mu.Lock()
		acknowledged := l.drainAcknowledged
		w.fleet.mu.Unlock()
		if acknowledged {
			w.sleep(w.ctx, drainTime+w.between(0, 3*time.Second))
			break
		}
	}
	if !w.faultSet.enabled(faultNoNotice) || w.chance(0.5) {
		w.sendNotice(h, l)
		w.sleep(w.ctx, w.between(0, 300*time.Millisecond))
	}
	w.fleet.mu.Lock()
	stillThere := h.current == l
	if stillThere {
		w.fleet.end(h, "left", w.now())
	}
	w.fleet.mu.Unlock()
	if stillThere {
		w.restartLater(h)
	}
}

// sendNotice sends the notice of a draining executor that it ends.
func (w *world) sendNotice(h *host, l *incarnation) {
	w.fleet.mu.Lock()
	over := l.over
	if !over {
		l.leaving = true
		w.journal.add(h.name, "executor %s says that it leaves", l)
	}
	w.fleet.mu.Unlock()
	if over || w.ctx.Err() != nil {
		return
	}
	w.spawn(func() {
		h.sendHeartbeat(cell.Heartbeat{
			Executor: &cellpb.Executor{
				Id: l.id,
			},
			ShuttingDown: true,
		}, l)
	})
}

// resize shrinks the capacity of a host for a while.
func (w *world) resize(h *host, duration time.Duration) {
	w.setCapacity(h, int64(1000*(1+int(w.fraction()*3))))
	w.sleep(w.ctx, w.untilCalm(duration))
	w.setCapacity(h, h.fullSize)
}

func (w *world) setCapacity(h *host, capacity int64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	h.capacity = capacity
	h.capacityAt = w.now()
	w.journal.add(h.name, "capacity %d", capacity)
}

func (w *world) restartAgent(h *host, pause time.Duration) {
	h.restarting <- struct{}{}
	defer func() { <-h.restarting }()
	h.currentAgent().kill()
	w.sleep(w.ctx, pause)
	startAgentProcess(w, h)
}

func (w *world) restartEntry(index int, pause time.Duration) {
	w.restarting[index] <- struct{}{}
	defer func() { <-w.restarting[index] }()
	w.entry(index).kill()
	w.sleep(w.ctx, pause)
	w.setEntry(index, startEntryProcess(w, entryName(index)))
}

// takeOverWithout cuts the agent of a host off, ends the scheduler soon after and connects the agent again.
func (w *world) takeOverWithout(h *host) {
	w.journal.add(h.name, "fault %s", faultTakeoverAtFailure)
	w.network.setCut(agentName(h.name), true)
	w.sleep(w.ctx, w.between(time.Millisecond, 300*time.Millisecond))
	for i := range entryCount {
		w.spawn(func() { w.restartEntry(i, w.between(0, time.Second)) })
	}
	w.sleep(w.ctx, w.between(time.Second, 4*time.Second))
	w.network.setCut(agentName(h.name), false)
	w.sleep(w.ctx, w.between(time.Second, 5*time.Second))
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.fleet.takingOver = false
}

// cutPeer cuts a process off from all others for a while.
func (w *world) cutPeer(address string, duration time.Duration) {
	w.network.setCut(address, true)
	w.sleep(w.ctx, w.untilCalm(duration))
	w.network.setCut(address, false)
}
