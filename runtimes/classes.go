package runtimes

import "math"

// minExplainedShare is the share of the variance of machines' speeds that the division into two classes must explain.
// It is 0.64 for normally distributed speeds, which form no classes, and nearly 1 for two classes.
const minExplainedShare = 0.7

// speedClasses divides machines, the fastest first, into classes that clearly differ in speed. Machines of one class
// count as equally fast, so that small differences between them don't decide where work goes.
func speedClasses(machines []*machine) [][]*machine {
	split, explained, difference := bestSplit(machines)
	if explained < minExplainedShare || difference < math.Log(minDifference) {
		return [][]*machine{machines}
	}
	return append(speedClasses(machines[:split]), speedClasses(machines[split:])...)
}

// bestSplit returns the division of machines, the fastest first, into two classes that explains most of the variance of
// their speeds, with the share that it explains and the difference between the classes' means.
func bestSplit(machines []*machine) (split int, explained, difference float64) {
	sum, squares := 0.0, 0.0
	for _, m := range machines {
		sum += m.center
		squares += m.center * m.center
	}
	count := float64(len(machines))
	total := squares - sum*sum/count
	below := 0.0
	for i, m := range machines[:len(machines)-1] {
		below += m.center
		lower, upper := float64(i+1), count-float64(i+1)
		between := (sum-below)/upper - below/lower
		if share := lower * upper / count * between * between / total; total > 0 && share > explained {
			split, explained, difference = i+1, share, between
		}
	}
	return split, explained, difference
}
