package executorserver

// endedRun is an ended run that the scheduler hasn't acknowledged yet.
type endedRun struct {
	runKey
	number     int64
	kind       string
	checkpoint string
	// reported is set once a response contained the run. The response may have been lost.
	reported bool
}
