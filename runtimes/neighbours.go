package runtimes

import "math"

const (
	// maxPairs bounds the pairs of kinds that are kept.
	maxPairs = 256
	// minPairRuns is the number of runs from which a slowdown by neighbours is believed, minNeighbourSlowdown the least
	// that counts.
	minPairRuns          = 8
	minNeighbourSlowdown = 1.2
	// pairPriorWeight is the number of runs for which the assumption counts that neighbours don't matter.
	pairPriorWeight = 2
)

// pairKey names a kind of task and a kind that runs beside it.
type pairKey struct {
	kind      string
	neighbour string
}

// pair holds how a kind of task is slowed down by another one.
type pair struct {
	// center is the logarithm of the slowdown, computed from a number of runs.
	center float64
	runs   int
	// sum and weights collect the runs while the center is computed.
	sum     float64
	weights float64
}

// collect adds a run with this pair.
func (p *pair) collect(run *stepRun) {
	residual := run.residual()
	weight := robustWeight(residual)
	p.sum += weight * (residual + p.center)
	p.weights += weight
	p.runs++
}

// fit computes the center from the collected runs.
func (p *pair) fit() {
	p.center = p.sum / (p.weights + pairPriorWeight)
}

// reset drops the collected runs.
func (p *pair) reset() {
	p.sum, p.weights, p.runs = 0, 0, 0
}

// isBelieved reports whether the slowdown counts, given the deviation of a step's tasks.
func (p *pair) isBelieved(deviation float64) bool {
	return p.runs >= minPairRuns && p.center >= math.Log(minNeighbourSlowdown) &&
		p.center > clearErrors*deviation/math.Sqrt(float64(p.runs))
}

// pairsOf returns the pairs of a kind and its neighbours, without those of equal kinds and those for which there is no
// room.
func (m *Model) pairsOf(kind string, neighbours []string) []*pair {
	var pairs []*pair
	for _, neighbour := range neighbours {
		if neighbour == kind {
			continue
		}
		key := pairKey{
			kind:      kind,
			neighbour: neighbour,
		}
		known, ok := m.pairs[key]
		if !ok {
			known = &pair{}
			m.makeRoomForPair()
			m.pairs[key] = known
		}
		pairs = append(pairs, known)
	}
	return pairs
}

// makeRoomForPair drops the pair with the fewest runs if there are too many.
func (m *Model) makeRoomForPair() {
	if len(m.pairs) < maxPairs {
		return
	}
	weakest, fewest := pairKey{}, math.MaxInt
	for key, known := range m.pairs {
		if known.runs < fewest {
			weakest, fewest = key, known.runs
		}
	}
	m.pairs[weakest].center = 0
	delete(m.pairs, weakest)
}

// fitPairs computes the pairs from the runs that works and speeds leave unexplained.
func (m *Model) fitPairs() {
	if len(m.pairs) == 0 {
		return
	}
	for _, known := range m.pairs {
		known.reset()
	}
	for _, s := range m.steps {
		for _, run := range s.runs {
			for _, known := range run.pairs {
				known.collect(run)
			}
		}
	}
	for _, known := range m.pairs {
		known.fit()
	}
}

// noteBelieved notes whether any slowdown by neighbours counts.
func (m *Model) noteBelieved() {
	m.interferes = false
	for _, known := range m.pairs {
		m.interferes = m.interferes || known.isBelieved(m.deviation)
	}
}

// Interferes reports whether some kinds of tasks are known to slow others down.
func (m *Model) Interferes() bool {
	m.refresh()
	return m.interferes
}

// NeighbourSlowdown returns the factor by which tasks of a kind run longer beside another kind, 1 if none is known.
func (m *Model) NeighbourSlowdown(kind, neighbour string) float64 {
	m.refresh()
	known, ok := m.pairs[pairKey{
		kind:      kind,
		neighbour: neighbour,
	}]
	if !ok || !known.isBelieved(m.deviation) {
		return 1
	}
	return math.Exp(known.center)
}

// Conflicts returns, by kind of neighbour, the logarithm of the factor by which tasks of a kind and of that neighbour
// slow each other down together. It is empty if none is known.
func (m *Model) Conflicts(kind string) map[string]float64 {
	if !m.Interferes() {
		return nil
	}
	conflicts := map[string]float64{}
	for key, known := range m.pairs {
		switch {
		case !known.isBelieved(m.deviation):
		case key.kind == kind:
			conflicts[key.neighbour] += known.center
		case key.neighbour == kind:
			conflicts[key.kind] += known.center
		}
	}
	return conflicts
}
