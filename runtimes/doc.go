// Package runtimes estimates how long tasks run. The expected run time of a task is the work of its step times the
// slowdown of the machine that it runs on. Both are learned from the same observations: runs of one step on several
// machines differ by the speeds of the machines, steps on equally fast machines differ by their work. Declared run
// times, uneven tasks and a change of the mix of work therefore don't look like slow machines. It performs no I/O and
// reads no clock.
//
// Works and speeds are fitted to each other by weighted means in which runs that take several times as long as the rest
// of their step count little. The memory in use is bounded by the machines and queues. A refresh after new observations
// costs some multiplications for each run that is kept.
//
// # Usage
//
//	model := runtimes.New()
//	model.Observe(runtimes.Step{
//		ID:       "a000000000000001.0.0",
//		Queue:    "renders",
//		Declared: 8 * time.Second,
//	}, []runtimes.Run{
//		{Task: 0, Machine: "agent-1", Duration: 7 * time.Second},
//		{Task: 1, Machine: "agent-2", Duration: 7 * time.Second},
//		{Task: 2, Machine: "agent-3", Duration: 17 * time.Second},
//	})
//	work := model.Work("renders", 6*time.Second)
//	expected := time.Duration(float64(work) * model.Slowdown("agent-3"))
package runtimes
