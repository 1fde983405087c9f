package cell

// generationBits is the number of low bits of a fence token that hold the generation. With 43 bits for the epoch the
// token stays below 2^53, up to which JSON decoders that use floating-point numbers are exact.
const generationBits = 10

// maxGeneration is the highest generation of a fence token. Later generations share it.
const maxGeneration = 1<<generationBits - 1

// ExecutorFence orders the requests to an executor. Once an executor has seen a fence, it rejects requests with a
// lower one: those of an earlier scheduler, and those meant for its earlier incarnation, which may arrive late.
type ExecutorFence struct {
	// Epoch is the epoch of the scheduler that ordered the request; 0 if the agent knows none.
	Epoch int64
	// Generation increases with each incarnation that an agent sees.
	Generation int64
}

// NextGeneration returns the generation after the given one.
func NextGeneration(generation int64) int64 {
	return min(generation+1, maxGeneration)
}

// ParseExecutorFence returns the fence with the given token.
func ParseExecutorFence(token int64) ExecutorFence {
	return ExecutorFence{
		Epoch:      token >> generationBits,
		Generation: token & maxGeneration,
	}
}

// Token returns the fence as the number that requests carry.
func (f ExecutorFence) Token() int64 {
	return f.Epoch<<generationBits | f.Generation
}
