package placement

import "math/bits"

// Masks of the first accelerator of each aligned cell of 2, 4, 8, 16 and 32 accelerators.
const (
	pairs   = 0x5555555555555555
	quads   = 0x1111111111111111
	octets  = 0x0101010101010101
	doubles = 0x0001000100010001
	halves  = 0x0000000100000001
)

// span returns the lowest n bits.
func span(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}

// worth rates a set of free accelerators by the aligned cells that it contains: every level of 1, 2, 4, 8 (and 16, 32)
// accelerators counts the accelerators in its whole cells, so that a whole worker is worth more than its parts.
func worth(mask uint64) int {
	total := bits.OnesCount64(mask)
	mask &= mask >> 1 & pairs
	if mask == 0 {
		return total
	}
	total += 2 * bits.OnesCount64(mask)
	mask &= mask >> 2 & quads
	total += 4 * bits.OnesCount64(mask)
	mask &= mask >> 4 & octets
	total += 8 * bits.OnesCount64(mask)
	mask &= mask >> 8 & doubles
	total += 16 * bits.OnesCount64(mask)
	mask &= mask >> 16 & halves
	return total + 32*bits.OnesCount64(mask)
}

// starts returns the positions at which length adjacent accelerators are free.
func starts(mask uint64, length int) uint64 {
	for done := 1; done < length && mask != 0; {
		step := min(done, length-done)
		mask &= mask >> step
		done += step
	}
	return mask
}

// runs counts the disjoint runs of length adjacent accelerators, at most limit.
func runs(mask uint64, length, limit int) int {
	count := 0
	for count < limit {
		at := starts(mask, length)
		if at == 0 {
			break
		}
		mask &^= span(length) << bits.TrailingZeros64(at)
		count++
	}
	return count
}

// bestRun returns the run of length adjacent accelerators whose use costs least: lost worth plus weight for every
// accelerator in dear.
func bestRun(mask uint64, length int, dear uint64, weight int) (run uint64, score int) {
	ok := false
	before := worth(mask)
	for at := starts(mask, length); at != 0; at &= at - 1 {
		candidate := span(length) << bits.TrailingZeros64(at)
		cost := before - worth(mask&^candidate) + weight*bits.OnesCount64(candidate&dear)
		if !ok || cost < score {
			run, score, ok = candidate, cost, true
		}
	}
	return run, score
}

// lowest returns the lowest n bits that are set in mask.
func lowest(mask uint64, n int) uint64 {
	var out uint64
	for ; n > 0 && mask != 0; n-- {
		bit := mask & -mask
		out |= bit
		mask &^= bit
	}
	return out
}
