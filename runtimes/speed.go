package runtimes

const (
	// maxLogMilli bounds exported speeds: no machine is a thousand times as slow as another.
	maxLogMilli = 7000
)

// Speed is what a model knows of a machine, in a form that another model takes over.
type Speed struct {
	// LogMilli is the natural logarithm of the slowdown, in thousandths. It is relative to a scale that all speeds of one
	// model share.
	LogMilli int32
	// Samples is the number of runs that it was computed from; 0 if nothing is known.
	Samples int32
}

func (s Speed) valid() bool {
	return s.Samples > 0 && s.LogMilli <= maxLogMilli && s.LogMilli >= -maxLogMilli
}
