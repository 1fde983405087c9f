package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// largeJobs is the number of large jobs that a client sends, one each largeInterval.
	largeJobs     = 120
	largeInterval = 100 * time.Millisecond
	// largeTasks is the number of tasks of such a job: the most that the product accepts.
	largeTasks = 10000
	// smallTasks is the number of tasks of each job without the disruption.
	smallTasks = 1
	// memoryTime is how long the case goes on after the last job.
	memoryTime = 40 * time.Second
	// finishTime is finish_s of the small sites.
	finishTime = 14 * time.Second
	// faultKills is how often a machine's process ends by itself until the machine counts for the rule Fault.
	faultKills = 3
	// faultEntries is how many such machines the rule Fault asks for: a tenth of those in use, two at least.
	faultEntries = 2
)

// playMemory submits jobs of the largest accepted size, and an ordinary one after them. The platform kills an entry
// that exceeds its memory.
func playMemory(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	supervision, stop := context.WithCancel(ctx)
	defer stop()
	var supervisors []*supervisor
	for i := range entryCount {
		supervisors = append(supervisors, startSupervisor(supervision, d, i))
	}
	tasks := smallTasks
	if trouble {
		tasks = largeTasks
	}
	d.submitLarge(ctx, tasks)
	ordinary := job{
		id:    "00000000000000a1",
		spec:  "200ms",
		steps: []step{{tasks: 1, accelerators: 1, estimate: 500 * time.Millisecond}},
	}
	isAccepted := func() bool { return d.submit(ctx, 0, ordinary) == http.StatusOK }
	if err := d.await(ctx, finishTime, isAccepted); err != nil {
		d.record.add("the ordinary job isn't accepted: %v", err)
	}
	trafficEnd := d.clock.Now()
	for d.clock.Now().Sub(trafficEnd) < memoryTime {
		<-d.clock.After(5 * time.Second)
		for i := range entryCount {
			d.record.add("entry %d shows the ordinary job as %s", i+1, d.state(ctx, i, ordinary.id))
		}
	}
	stop()
	isFault := d.checkMemory(supervisors)
	isIdle := len(d.recorder.StartsSince(trafficEnd.Add(finishTime))) == 0
	isLost := d.recorder.StartCount(ordinary.id+".0.0.0") == 0 && isIdle
	if isLost {
		d.record.add("LOST: the ordinary job never ran, and no executor was told to start anything from %s until %s "+
			"after the end of the traffic", finishTime, memoryTime)
	}
	return isLost || isFault, nil
}

// submitLarge submits the large jobs, at one entry after the other.
func (d *deployment) submitLarge(ctx context.Context, tasks int) {
	accepted := 0
	for i := range largeJobs {
		large := job{
			id:    fmt.Sprintf("%016x", 0xf000+i),
			spec:  "200ms",
			steps: []step{{tasks: tasks, accelerators: 1, estimate: 500 * time.Millisecond}},
		}
		if d.submit(ctx, i%entryCount, large) == http.StatusOK {
			accepted++
		}
		<-d.clock.After(largeInterval)
	}
	d.record.add("%d jobs of %d tasks were accepted", accepted, tasks)
}

// checkMemory reports whether so many entries exceeded their memory so often that the rule Fault is broken.
func (d *deployment) checkMemory(supervisors []*supervisor) bool {
	faults := 0
	for i, s := range supervisors {
		<-s.done
		d.record.add("entry %d: at most %d MB of %d MB; killed %d times", i+1, s.peak, entryMemory, s.kills)
		if s.kills >= faultKills {
			faults++
		}
	}
	if faults >= faultEntries {
		d.record.add("Fault: %d of %d entries exceeded their memory %d times or more", faults, entryCount, faultKills)
	}
	return faults >= faultEntries
}
