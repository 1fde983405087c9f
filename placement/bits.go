package placement

import "math/bits"

// Masks of the first accelerator of each aligned block of 2, 4, 8, 16 and 32 accelerators.
const (
	alignedPairs  = 0x5555555555555555
	alignedQuads  = 0x1111111111111111
	alignedOctets = 0x0101010101010101
	aligned16     = 0x0001000100010001
	aligned32     = 0x0000000100000001
)

// lowMask returns a mask with the lowest n bits set.
func lowMask(n int) uint64 {
	if n >= 64 {
		return ^uint64(0)
	}
	return 1<<n - 1
}

// contiguityScore rates a set of free accelerators by the aligned blocks that it contains. At each block size (1, 2,
// 4, 8, 16 and 32) it adds the number of accelerators in complete blocks, so that a whole worker scores higher than
// its parts.
func contiguityScore(mask uint64) int {
	total := bits.OnesCount64(mask)
	mask &= mask >> 1 & alignedPairs
	if mask == 0 {
		return total
	}
	total += 2 * bits.OnesCount64(mask)
	mask &= mask >> 2 & alignedQuads
	total += 4 * bits.OnesCount64(mask)
	mask &= mask >> 4 & alignedOctets
	total += 8 * bits.OnesCount64(mask)
	mask &= mask >> 8 & aligned16
	total += 16 * bits.OnesCount64(mask)
	mask &= mask >> 16 & aligned32
	return total + 32*bits.OnesCount64(mask)
}

// runStarts returns the positions at which a run of length adjacent accelerators is free.
func runStarts(mask uint64, length int) uint64 {
	for runLength := 1; runLength < length && mask != 0; {
		shift := min(runLength, length-runLength)
		mask &= mask >> shift
		runLength += shift
	}
	return mask
}

// countRuns counts the disjoint runs of length adjacent accelerators, at most limit.
func countRuns(mask uint64, length, limit int) int {
	count := 0
	for count < limit {
		positions := runStarts(mask, length)
		if positions == 0 {
			break
		}
		mask &^= lowMask(length) << bits.TrailingZeros64(positions)
		count++
	}
	return count
}

// cheapestRun returns the run of length adjacent accelerators with the lowest cost: the loss of contiguity score plus
// penaltyWeight for every penalized accelerator in the run.
func cheapestRun(mask uint64, length int, penalized uint64, penaltyWeight int) (run uint64, lowestCost int) {
	found := false
	initialScore := contiguityScore(mask)
	for positions := runStarts(mask, length); positions != 0; positions &= positions - 1 {
		candidate := lowMask(length) << bits.TrailingZeros64(positions)
		cost := initialScore - contiguityScore(mask&^candidate) + penaltyWeight*bits.OnesCount64(candidate&penalized)
		if !found || cost < lowestCost {
			run, lowestCost, found = candidate, cost, true
		}
	}
	return run, lowestCost
}

// lowestBits returns the lowest n bits that are set in mask.
func lowestBits(mask uint64, n int) uint64 {
	var result uint64
	for ; n > 0 && mask != 0; n-- {
		bit := mask & -mask
		result |= bit
		mask &^= bit
	}
	return result
}
