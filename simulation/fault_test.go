package simulation

import (
	"math/rand/v2"
	"time"
)

// Kinds of faults.
const (
	faultLateOrders     = "late-orders"
	faultLateStarts     = "late-starts"
	faultLateStops      = "late-stops"
	faultLateHolds      = "late-holds"
	faultLostAnswers    = "lost-answers"
	faultSlowAnswers    = "slow-answers"
	faultCut            = "cut"
	faultCutTo          = "cut-to"
	faultCutFrom        = "cut-from"
	faultCrash          = "crash"
	faultFlap           = "flap"
	faultDrain          = "drain"
	faultSlowHeartbeats = "slow-heartbeats"
	faultCapacity       = "capacity"
	faultKillAgent      = "kill-agent"
	faultFreezeAgent    = "freeze-agent"
	faultCutAgent       = "cut-agent"
	faultKillEntry      = "kill-entry"
	faultFreezeEntry    = "freeze-entry"
	faultCutEntry       = "cut-entry"
	faultCutLog         = "cut-log"
	faultLoseAppends    = "lose-appends"
	faultRejectLog      = "reject-log"
	// faultCrashingTasks enables tasks that crash their executors; faultNewID makes executors start again under other
	// ids.
	faultCrashingTasks = "crashing-tasks"
	faultNewID         = "new-id"
	// faultFailingGangs limits the attempts of most jobs and lets members of gangs fail together.
	faultFailingGangs = "failing-gangs"
	// faultRefuse lets the link to an executor refuse connections; faultNoNotice lets half of the executors that drain end
	// without a notice.
	faultRefuse   = "refuse"
	faultNoNotice = "no-notice"
	// faultTakeoverAtFailure ends the scheduler between the ends of members that fail together.
	faultTakeoverAtFailure = "takeover-at-failure"
)

// faultKinds returns the kinds that begin at a moment and last for a while.
func faultKinds() []string {
	return []string{
		faultLateOrders, faultLateStarts, faultLateStops, faultLateHolds, faultLostAnswers,
		faultSlowAnswers, faultCut, faultCutTo, faultCutFrom, faultCrash,
		faultFlap,
		faultDrain, faultSlowHeartbeats, faultCapacity, faultKillAgent, faultFreezeAgent, faultCutAgent, faultKillEntry,
		faultFreezeEntry, faultCutEntry, faultCutLog, faultLoseAppends, faultRejectLog,
	}
}

// fault is one planned fault.
type fault struct {
	kind string
	at   time.Duration
	// duration is how long the fault lasts, where that applies.
	duration time.Duration
	// target selects an executor or an entry.
	target int
}

// planFaults returns the faults of a seed in the order of their times. Half of the seeds use only a few kinds, so that
// these meet often.
func planFaults(random *rand.Rand, kinds []string, end time.Duration) []fault {
	if random.IntN(2) == 0 && len(kinds) > 4 {
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		kinds = kinds[:2+random.IntN(4)]
	}
	if len(kinds) == 0 {
		return nil
	}
	mean := time.Duration(300+random.IntN(2500)) * time.Millisecond
	var faults []fault
	for at := 2 * time.Second; at < end; at += time.Duration(random.ExpFloat64() * float64(mean)) {
		f := fault{
			kind:     kinds[random.IntN(len(kinds))],
			at:       at,
			duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(8*time.Second))),
			target:   random.IntN(1000),
		}
		faults = append(faults, f)
		if len(faults) > 1 && random.IntN(2) == 0 {
			// Another fault often hits the same executor or entry.
			faults[len(faults)-1].target = faults[len(faults)-2].target
		}
		if random.IntN(4) == 0 {
			again := f
			again.at += time.Duration(random.Int64N(int64(6 * time.Second)))
			faults = append(faults, again)
		}
	}
	return faults
}
