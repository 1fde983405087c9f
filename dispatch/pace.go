package dispatch

import "time"

// minLearnedProgress is the progress, in percent, from which a run shows its run time. Progress is reported in whole
// percent, so that less of it is inaccurate.
const minLearnedProgress = 10

// pace is the progress of a run between the first time at which it showed any and the last time before it was complete.
// What comes before, such as waiting for a gang or starting up, isn't work, and a complete run may only wait for its
// gang.
type pace struct {
	firstClock   time.Duration
	firstPercent int32
	lastClock    time.Duration
	lastPercent  int32
}

// runTime returns the run time of the whole run at this pace, or false if too little progress was seen.
func (p pace) runTime() (time.Duration, bool) {
	progressed := p.lastPercent - p.firstPercent
	if progressed < minLearnedProgress {
		return 0, false
	}
	return (p.lastClock - p.firstClock) * completePercent / time.Duration(progressed), true
}

// withProgress returns the pace after the executor's clock showed a new percentage.
func (p pace) withProgress(percent int32, clock time.Duration) pace {
	switch {
	case percent >= completePercent:
		return p
	case p.firstClock == 0:
		p.firstClock, p.firstPercent = clock, percent
	}
	p.lastClock, p.lastPercent = clock, percent
	return p
}
