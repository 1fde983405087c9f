package simulation

import (
	"maps"
	"time"
)

// linkFaults are the present faults between an agent and its executor.
type linkFaults struct {
	// late holds the kinds of orders of which a part stays unanswered and is carried out late: faultLateStarts,
	// faultLateStops or faultLateHolds. lostAnswers carries out all orders and loses a part of the answers; slowAnswers
	// delays a part of the answers.
	late        map[string]bool
	lostAnswers bool
	slowAnswers bool
	// toExecutorCut and fromExecutorCut cut one direction of the link each.
	toExecutorCut   bool
	fromExecutorCut bool
	// refused refuses connections to the executor.
	refused bool
	// slowHeartbeats delays a part of the heartbeats.
	slowHeartbeats bool
}

// outcomeOfOrder returns what happens to an order; late is the fault that makes orders of its kind late.
func (f linkFaults) outcomeOfOrder(w *world, late string) orderOutcome {
	lateness := time.Duration(0)
	if w.chance(0.5) {
		lateness = w.between(minLateness, maxLateness)
	}
	switch {
	case f.toExecutorCut:
		if !w.faultEnabled(faultLateOrders) && !w.faultEnabled(late) {
			lateness = 0
		}
		return orderOutcome{
			lateness: lateness,
		}
	case f.late[late] && w.chance(0.5):
		return orderOutcome{
			now:      w.chance(0.3),
			lateness: w.between(minLateness, maxLateness),
		}
	case f.lostAnswers && w.chance(0.5):
		return orderOutcome{
			now: true,
		}
	}
	outcome := orderOutcome{
		now:      true,
		answered: true,
	}
	if f.slowAnswers && w.chance(0.5) {
		outcome.answerDelay = w.between(0, 800*time.Millisecond)
	}
	return outcome
}

// heartbeatDelay returns the delay of a heartbeat; -1 if it is lost.
func (f linkFaults) heartbeatDelay(w *world, leaving bool) time.Duration {
	late := w.faultEnabled(faultSlowHeartbeats)
	switch {
	case f.fromExecutorCut && late && w.chance(0.3):
		return w.between(500*time.Millisecond, 6*time.Second)
	case f.fromExecutorCut:
		return -1
	case f.slowHeartbeats && w.chance(0.6), leaving && late && w.chance(0.25):
		return w.between(500*time.Millisecond, 6*time.Second)
	}
	return 0
}

// set begins or ends a fault.
func (f *linkFaults) set(kind string, active bool) {
	switch kind {
	case faultLateOrders:
		f.setLate(active, faultLateStarts, faultLateStops, faultLateHolds)
	case faultLateStarts, faultLateStops, faultLateHolds:
		f.setLate(active, kind)
	case faultLostAnswers:
		f.lostAnswers = active
	case faultSlowAnswers:
		f.slowAnswers = active
	case faultSlowHeartbeats:
		f.slowHeartbeats = active
	case faultRefuse:
		f.refused = active
	case faultCut:
		f.toExecutorCut, f.fromExecutorCut = active, active
	case faultCutTo:
		f.toExecutorCut = active
	case faultCutFrom:
		f.fromExecutorCut = active
	}
}

func (f *linkFaults) setLate(active bool, kinds ...string) {
	late := map[string]bool{}
	maps.Copy(late, f.late)
	for _, kind := range kinds {
		late[kind] = active
	}
	f.late = late
}
