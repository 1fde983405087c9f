package dispatch

// explanation says how well the runs on a crashed executor explain its crash.
type explanation int

const (
	// unexplained crashes came without runs, or under runs that had gone on for a while. Those seldom crash an
	// executor, let alone at the moment at which another one crashes.
	unexplained explanation = iota
	// explainedByStart is the explanation by a run that had just started.
	explainedByStart
	// explainedBySuspect is the explanation by a run of a suspect task.
	explainedBySuspect
)
