package executorserver

// startRequest is the body of a request to start a run.
type startRequest struct {
	Task       string `json:"task"`
	Run        int32  `json:"run"`
	Spec       string `json:"jobSpec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
}

// key returns the run that is to be started.
func (r startRequest) key() runKey {
	return runKey{
		task: r.Task,
		run:  r.Run,
	}
}
