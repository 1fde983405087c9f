package dispatch

import (
	"maps"
	"slices"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
)

// Board holds the jobs and executors of a cell and decides. It isn't safe for concurrent use.
type Board struct {
	config     Config
	operations cell.Operations
	jobs       map[string]*job
	executors  map[string]*executor
	estimates  estimates
	// batch is the number of the batch that takes the present decisions, committed the last one that is stored.
	batch     int64
	committed int64
	// placed are the runs that may exist, by agent.
	placed map[string]map[*placement]bool
	// replan is set when something changed that may let work be placed.
	replan bool
	// planned is when the last pass began.
	planned time.Duration
	// began is when this scheduler took over.
	began time.Duration
	drops []string
}

// Batch is the progress to store before its orders leave.
type Batch struct {
	Number   int64
	Progress []*cellpb.Progress
	// Drops are jobs to forget.
	Drops []string
}

// New returns an empty board of a scheduler that takes over now.
func New(config Config, now Instant) *Board {
	return &Board{
		config:    config.withDefaults(),
		jobs:      map[string]*job{},
		executors: map[string]*executor{},
		placed:    map[string]map[*placement]bool{},
		estimates: newEstimates(),
		batch:     1,
		began:     now.Boot,
	}
}

// Commit makes the orders of a stored batch visible and its ends acknowledged.
func (b *Board) Commit(number int64) {
	b.committed = max(b.committed, number)
	for _, e := range b.executors {
		if e.settle(b.committed) {
			e.version++
		}
		for place := range b.placed[e.agent] {
			if place.batch == number {
				e.version++
			}
		}
	}
}

// SetOperations takes over what the operators published.
func (b *Board) SetOperations(operations cell.Operations) {
	if operations.Config.Version != b.operations.Config.Version ||
		!maps.Equal(operations.Evacuated, b.operations.Evacuated) {
		b.replan = true
	}
	b.operations = operations
}

// SetJob takes over what the log says about a job that the board doesn't know, and a cancellation of one that it knows.
func (b *Board) SetJob(tracked cell.Tracked, now Instant) {
	j, ok := b.jobs[tracked.Job.GetId()]
	if !ok {
		j = newJob(tracked.Job, now)
		j.restore(tracked.Progress, now)
		b.jobs[tracked.Job.GetId()] = j
		b.replan = true
		for _, place := range j.placements() {
			b.put(place)
		}
		if !j.active() {
			b.stopRest(j)
		}
	}
	if tracked.Cancelled && !j.cancelled {
		b.cancel(j, now)
	}
}

// TakeBatch returns what has to be stored, or a batch without content.
func (b *Board) TakeBatch() Batch {
	taken := Batch{
		Number: b.batch - 1,
		Drops:  b.drops,
	}
	for _, j := range b.jobs {
		if !j.dirty {
			continue
		}
		j.dirty = false
		taken.Progress = append(taken.Progress, j.progress())
	}
	b.drops = nil
	// An empty batch has the number of the one before: storing it must not count for decisions that came since.
	if !taken.Empty() {
		taken.Number = b.batch
		b.batch++
	}
	return taken
}

// Empty reports whether the batch holds nothing.
func (b Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.Drops) == 0
}

func (b *Board) executor(agent string) *executor {
	e, ok := b.executors[agent]
	if !ok {
		e = &executor{
			agent:  agent,
			strays: map[string]*cellpb.Stop{},
		}
		b.executors[agent] = e
	}
	return e
}

// put takes note of a run that may exist from now on, drop of one that surely doesn't.
func (b *Board) put(place *placement) {
	place.task.place = place
	if b.placed[place.agent] == nil {
		b.placed[place.agent] = map[*placement]bool{}
	}
	b.placed[place.agent][place] = true
}

func (b *Board) drop(place *placement) {
	place.task.place = nil
	delete(b.placed[place.agent], place)
	b.replan = true
}

// at returns what may exist at an agent's executor.
func (b *Board) at(agent string) []*placement {
	return slices.Collect(maps.Keys(b.placed[agent]))
}

// touch has the agent told of its orders.
func (b *Board) touch(agent string) {
	if e, ok := b.executors[agent]; ok {
		e.version++
	}
}

func (b *Board) eachPlacement(visit func(place *placement)) {
	for _, places := range b.placed {
		for place := range places {
			visit(place)
		}
	}
}

func (b *Board) findTask(name string) *task {
	id, err := cell.ParseTaskID(name)
	if err != nil {
		return nil
	}
	j, ok := b.jobs[id.Job]
	if !ok {
		return nil
	}
	return j.task(id)
}
