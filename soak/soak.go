package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/cluster"
)

const (
	entryCount = 3
	// settleTimeout is the time after the last fault within which every accepted job must end. It covers the leases of
	// an unreachable agent, which a new scheduler waits out.
	settleTimeout      = 40 * time.Second
	settlePollInterval = 200 * time.Millisecond
	// startupDelay is the time between the start of the processes and the first submission.
	startupDelay = 2 * time.Second
	// visibilityDelay is the time after a job's acceptance during which an entry may still not know the job.
	visibilityDelay = 3 * time.Second
	// statePollInterval is the interval at which a caller queries the state of its job.
	statePollInterval = 500 * time.Millisecond
	// crashingJobInterval is the mean number of ordinary jobs between two crashing ones. Each takes three executors
	// down for some seconds.
	crashingJobInterval = 40
	// failingGangInterval is the mean number of ordinary jobs between two gangs that fail together.
	failingGangInterval = 15
	// knownStartsAfterCrashes is the number of starts of a task that crashes its executors up to which KNOWN-RED.txt lists
	// the violation (SoakTaskWithSixStarts).
	knownStartsAfterCrashes = 3
	// minCrashesToGiveUp is the number of executors that must have crashed under a task before its job may fail.
	minCrashesToGiveUp = 2
)

// Config configures a soak run.
type Config struct {
	BinaryPath string
	Seed       uint64
	Duration   time.Duration
	Agents     int
	// CrashingJobs adds jobs whose task crashes each executor that starts it.
	CrashingJobs bool
	// FailingGangs adds gangs whose members fail together, in the first run or in all.
	FailingGangs bool
	Clock        clockwork.Clock
	Output       io.Writer
}

// Result summarizes a soak run.
type Result struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Faults   int
	// Violations describes the invariant violations.
	Violations []string
	// Known describes the violations that KNOWN-RED.txt lists.
	Known []string
	// LogDirectory holds the logs of the processes; it is set only if there are violations.
	LogDirectory string
}

// String returns a summary line, followed by one line for each invariant violation and each known one.
func (r Result) String() string {
	summary := fmt.Sprintf("seed %d: %d jobs, %d accepted, %d faults, %d invariant violations", r.Seed, r.Jobs,
		r.Accepted, r.Faults, len(r.Violations))
	if len(r.Violations) > 0 {
		summary += ", logs in " + r.LogDirectory + "\n  " + strings.Join(r.Violations, "\n  ")
	}
	for _, known := range r.Known {
		summary += "\n  known red: " + known
	}
	return summary
}

// submission is a submitted job with its expected result and the response that its caller received.
type submission struct {
	cluster.Job
	expectFailure bool
	// mayBeCancelled is set if the caller cancels the job, and cleared if that request is rejected. A cancellation
	// without a response may have taken effect.
	mayBeCancelled bool
	outcome        cluster.Outcome
}

// soakRun is the state of one run.
type soakRun struct {
	config Config
	random *rand.Rand
	// executorRandom draws the faults of executors and the crashing jobs. It is separate from random so that a seed
	// draws the same jobs and other faults as before these were added.
	executorRandom *rand.Rand
	// gangRandom draws the gangs that fail together, and is separate for the same reason.
	gangRandom *rand.Rand
	cluster    *cluster.Cluster
	client     *cluster.Client
	// background tracks the goroutines of faults and of callers.
	background sync.WaitGroup
	jobs       []*submission
	faultCount int
	revision   int64
	mu         sync.Mutex
	violations []string
}

// run executes a soak run and keeps the logs if an invariant was violated.
func run(ctx context.Context, config Config) (Result, error) {
	deployment, err := cluster.Start(ctx, cluster.Config{
		BinaryPath: config.BinaryPath,
		Clock:      config.Clock,
		Entries:    entryCount,
		Agents:     config.Agents,
		Seed:       config.Seed,
		UseProxies: true,
		// A third of the executors is slow, as on some deployments.
		Slowdowns: []float64{1, 1, 2},
		// Every other seed has executors that start whatever they are told to.
		SkipAdmissionCheck: config.Seed%2 == 0,
	})
	if err != nil {
		return Result{}, fmt.Errorf("start cluster: %w", err)
	}
	defer deployment.Close()
	s := &soakRun{
		config:         config,
		random:         rand.New(rand.NewPCG(config.Seed, 0)),
		executorRandom: rand.New(rand.NewPCG(config.Seed, 1)),
		gangRandom:     rand.New(rand.NewPCG(config.Seed, 2)),
		cluster:        deployment,
		client:         cluster.NewClient(config.Clock),
	}
	deployment.Recorder.SetKnownStartsAfterCrashes(knownStartsAfterCrashes)
	// KNOWN-RED.txt lists them as SoakLateStartAfterFirstCall.
	deployment.Recorder.SetLateStartsKnown()
	for _, executor := range deployment.Executors {
		executor.SetFaults(baseFaults())
	}
	s.publishDocument()
	<-config.Clock.After(startupDelay)
	s.generateLoadAndFaults(ctx)
	result := s.checkResults(ctx)
	if len(result.Violations) > 0 {
		result.LogDirectory = deployment.KeepLogs()
	}
	return result, nil
}

// generateLoadAndFaults submits jobs and injects faults for the configured duration, then waits until all faults and
// callers have finished.
func (s *soakRun) generateLoadAndFaults(ctx context.Context) {
	end := s.config.Clock.Now().Add(s.config.Duration)
	nextFault, nextExecutorFault := s.config.Clock.Now(), s.config.Clock.Now()
	for s.config.Clock.Now().Before(end) && ctx.Err() == nil {
		s.submitJob(ctx)
		if s.config.Clock.Now().After(nextFault) {
			s.injectFault(ctx)
			nextFault = s.config.Clock.Now().Add(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
		}
		if s.config.Clock.Now().After(nextExecutorFault) {
			s.injectExecutorFault()
			delay := time.Duration(500+s.executorRandom.IntN(2500)) * time.Millisecond
			nextExecutorFault = s.config.Clock.Now().Add(delay)
		}
		if s.executorRandom.IntN(crashingJobInterval) == 0 && s.config.CrashingJobs {
			s.submitCrashingJob(ctx)
		}
		if s.gangRandom.IntN(failingGangInterval) == 0 && s.config.FailingGangs {
			s.submitFailingGang(ctx)
		}
		<-s.config.Clock.After(time.Duration(40+s.random.IntN(160)) * time.Millisecond)
	}
	s.background.Wait()
}

// submitJob submits a random job in the background.
func (s *soakRun) submitJob(ctx context.Context) {
	job := &submission{
		Job: cluster.Job{
			ID:           fmt.Sprintf("%016x", s.random.Uint64()),
			Tasks:        1 + s.random.IntN(3),
			Accelerators: 1,
			Estimate:     500 * time.Millisecond,
		},
		expectFailure:  s.random.IntN(20) == 0,
		mayBeCancelled: s.random.IntN(12) == 0,
	}
	directives := []string{fmt.Sprintf("%dms", 50+s.random.IntN(900))}
	switch s.random.IntN(4) {
	case 0:
		job.Gang = true
		directives = append([]string{fmt.Sprintf("gang %d", job.Tasks)}, directives...)
	case 1:
		job.Checkpoints = true
		directives = append([]string{"save"}, directives...)
	}
	if job.expectFailure {
		directives = append([]string{"fail"}, directives...)
	}
	job.Spec = strings.Join(directives, " ")
	s.submitInBackground(ctx, job, s.random.IntN(entryCount))
}

// submitCrashingJob submits a job whose task crashes each executor that starts it, before or after the executor has
// answered the start.
func (s *soakRun) submitCrashingJob(ctx context.Context) {
	s.submitInBackground(ctx, &submission{
		Job: cluster.Job{
			ID:       fmt.Sprintf("%016x", s.executorRandom.Uint64()),
			Spec:     fmt.Sprintf("crash %dms", 100*s.executorRandom.IntN(2)),
			Estimate: 500 * time.Millisecond,
		},
		expectFailure: true,
	}, s.executorRandom.IntN(entryCount))
}

// submitFailingGang submits a gang whose members fail together, in its first run or in all. Its job may be shown as
// failed only after as many failed runs as its queue allows (LOST of issue 44).
func (s *soakRun) submitFailingGang(ctx context.Context) {
	job := &submission{
		Job: cluster.Job{
			ID:       fmt.Sprintf("%016x", s.gangRandom.Uint64()),
			Tasks:    2 + s.gangRandom.IntN(3),
			Gang:     true,
			Estimate: 500 * time.Millisecond,
		},
		expectFailure: s.gangRandom.IntN(2) == 0,
	}
	failure := "failures 1"
	if job.expectFailure {
		failure = "fail"
	}
	job.Spec = fmt.Sprintf("%s together gang %d %dms", failure, job.Tasks, 50+s.gangRandom.IntN(500))
	s.submitInBackground(ctx, job, s.gangRandom.IntN(entryCount))
}

// submitInBackground submits a job to the entries in turn, beginning with one of them. If the job is accepted, its
// caller cancels it or polls its state.
func (s *soakRun) submitInBackground(ctx context.Context, job *submission, firstEntry int) {
	addresses := append(append([]string{}, s.cluster.CallerAddresses[firstEntry:]...),
		s.cluster.CallerAddresses[:firstEntry]...)
	s.jobs = append(s.jobs, job)
	s.background.Go(func() {
		job.outcome = s.client.Submit(ctx, addresses, job.Job)
		switch {
		case job.outcome != cluster.Accepted:
		case job.mayBeCancelled:
			job.mayBeCancelled = s.client.Cancel(ctx, addresses[0], job.Job) != cluster.Rejected
		default:
			s.pollState(ctx, addresses, job)
		}
	})
}

// pollState queries the state of an accepted job from each entry in turn while faults are injected. Once
// visibilityDelay has passed, no entry may report the job as unknown: an entry whose data may be older than that must
// answer that it is unavailable. The state that one entry reports must not go backwards.
func (s *soakRun) pollState(ctx context.Context, addresses []string, job *submission) {
	acceptedAt := s.config.Clock.Now()
	stateOrder := map[string]int{"queued": 1, "running": 2, "completed": 3, "failed": 3}
	lastStates := map[string]string{}
	for i := range 3 * entryCount {
		address := addresses[i%len(addresses)]
		queriedAt := s.config.Clock.Now()
		state := s.client.State(ctx, address, job.Job)
		if state == "status 410" && queriedAt.Sub(acceptedAt) > visibilityDelay {
			s.addViolation("job %s was accepted, but %s reports it as unknown after %s", job.ID, address,
				queriedAt.Sub(acceptedAt))
		}
		if stateOrder[state] > 0 {
			if stateOrder[state] < stateOrder[lastStates[address]] {
				s.addViolation("state of job %s went back from %s to %s at %s", job.ID, lastStates[address], state,
					address)
			}
			lastStates[address] = state
		}
		<-s.config.Clock.After(statePollInterval)
	}
}

func (s *soakRun) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// checkResults waits until the accepted jobs have ended and collects all invariant violations.
func (s *soakRun) checkResults(ctx context.Context) Result {
	result := Result{
		Seed:   s.config.Seed,
		Jobs:   len(s.jobs),
		Faults: s.faultCount,
	}
	deadline := s.config.Clock.Now().Add(settleTimeout)
	for _, job := range s.jobs {
		if job.outcome == cluster.Accepted {
			result.Accepted++
		}
		if violation := s.checkJob(ctx, job, deadline); violation != "" {
			result.Violations = append(result.Violations, violation)
		}
	}
	result.Violations = append(result.Violations, s.violations...)
	result.Violations = append(result.Violations, s.cluster.Recorder.Violations()...)
	result.Known = s.cluster.Recorder.KnownViolations()
	return result
}

// checkJob returns the violation that it finds for a job, or an empty string. A rejected job must not have run; an
// accepted one must reach its expected state before the deadline.
func (s *soakRun) checkJob(ctx context.Context, job *submission, deadline time.Time) string {
	firstTask := job.ID + ".0.0.0"
	if job.outcome != cluster.Accepted {
		if job.outcome == cluster.Rejected && s.cluster.Recorder.StartCount(firstTask) > 0 {
			return job.ID + " was rejected but its first task was started"
		}
		return ""
	}
	want := "completed"
	if job.expectFailure {
		want = "failed"
	}
	for {
		state := s.client.State(ctx, s.cluster.CallerAddresses[0], job.Job)
		if state == want || (job.mayBeCancelled && state == "cancelled") {
			break
		}
		if state == "failed" && s.mayBeGivenUp(job) {
			return ""
		}
		if s.config.Clock.Now().After(deadline) {
			return fmt.Sprintf("job %s was accepted but its state is %s, want %s", job.ID, state, want)
		}
		<-s.config.Clock.After(settlePollInterval)
	}
	if failed, _ := s.cluster.Recorder.FailedRunCount(firstTask); want == "failed" && job.Gang && !job.mayBeCancelled &&
		failed < cluster.MaxFailures && !s.mayBeGivenUp(job) {
		return fmt.Sprintf("gang %s is reported as failed after %d of %d failed runs", job.ID, failed, cluster.MaxFailures)
	}
	if want == "completed" && !job.mayBeCancelled && !s.isDone(job) {
		return job.ID + " is reported as completed, but a task isn't done"
	}
	return ""
}

// mayBeGivenUp reports whether so many executors crashed under a task of a job that its scheduler may take the task for
// the cause. The users' interface allows that, also if the task isn't.
func (s *soakRun) mayBeGivenUp(job *submission) bool {
	for i := range job.Tasks {
		if s.cluster.Recorder.CrashedRunCount(fmt.Sprintf("%s.0.0.%d", job.ID, i)) >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// isDone reports whether all tasks of a job are done. The end of one member of a gang stands for all of them, since the
// others end at the same time and may be lost with their executors.
func (s *soakRun) isDone(job *submission) bool {
	done := 0
	for i := range job.Tasks {
		if s.cluster.Recorder.IsDone(fmt.Sprintf("%s.0.0.%d", job.ID, i)) {
			done++
		}
	}
	return done == job.Tasks || (job.Gang && done > 0)
}
