package entry

import (
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// agentSilence is when an agent's worker is no longer used for new work.
	agentSilence = 3 * time.Second
	// agentGone is when an agent's tasks are taken for ended; their leases lapsed long before.
	agentGone = 10 * time.Second
	// nameInterval is how often an agent is told the same entries again, in case a reply was lost; agents keep an entry
	// for 30 s. Repeating them in every reply took 40% of an idle agent's traffic.
	nameInterval = 5 * time.Second
)

// agentView is what an agent last announced.
type agentView struct {
	id               string
	address          string
	boot             string
	change           uint64
	worker           *peerpb.WorkerInfo
	tasks            []*peerpb.TaskInfo
	leaving          bool
	outstanding      int32
	outstandingLarge int32
	revision         int64
	term             *peerpb.Term
	heard            time.Time
	// entries were named to the agent at the time named.
	entries []*peerpb.EntryInfo
	named   time.Time
}

// placedTask is a task with the agent that announced it.
type placedTask struct {
	agent   string
	address string
	task    *peerpb.TaskInfo
}

// fleet is the entry's view of all agents, rebuilt from their announcements.
type fleet struct {
	mu     sync.Mutex
	agents map[string]*agentView
}

func newFleet() *fleet {
	return &fleet{
		agents: map[string]*agentView{},
	}
}

// announce records an announcement. resend asks for a full one; changed says that worker, tasks or leaving differ.
func (f *fleet) announce(now time.Time, a *peerpb.Announce) (resend, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view, ok := f.agents[a.GetAgent()]
	if !ok || view.boot != a.GetBoot() {
		if !a.GetFull() {
			return true, false
		}
		view = &agentView{
			id:   a.GetAgent(),
			boot: a.GetBoot(),
		}
		f.agents[a.GetAgent()] = view
	}
	changed = view.leaving != a.GetLeaving() || a.GetFull()
	view.address = a.GetAddress()
	view.leaving = a.GetLeaving()
	view.outstanding = a.GetOutstanding()
	view.outstandingLarge = a.GetOutstandingLarge()
	view.revision = a.GetRevision()
	view.term = a.GetTerm()
	view.heard = now
	if a.GetFull() {
		view.worker = a.GetWorker()
		view.tasks = a.GetTasks()
		view.change = a.GetChange()
		return false, changed
	}
	return view.change != a.GetChange(), changed
}

// expire drops agents that are gone and returns their ids.
func (f *fleet) expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gone []string
	for id, view := range f.agents {
		if now.Sub(view.heard) > agentGone {
			delete(f.agents, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// get returns an agent's view.
func (f *fleet) get(id string) (agentView, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view, ok := f.agents[id]
	if !ok {
		return agentView{}, false
	}
	return *view, true
}

// list returns all agents by id.
func (f *fleet) list() []agentView {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]agentView, 0, len(f.agents))
	for _, view := range f.agents {
		all = append(all, *view)
	}
	slices.SortFunc(all, func(a, b agentView) int { return strings.Compare(a.id, b.id) })
	return all
}

// name returns the entries if the agent should be told: they differ from those it was told last, or that was long ago.
func (f *fleet) name(now time.Time, agent string, entries []*peerpb.EntryInfo) []*peerpb.EntryInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	view, ok := f.agents[agent]
	if !ok {
		return entries
	}
	if now.Sub(view.named) < nameInterval && slices.EqualFunc(view.entries, entries, equalEntries) {
		return nil
	}
	view.entries = entries
	view.named = now
	return entries
}

// tasksOf returns a job's announced tasks.
func (f *fleet) tasksOf(job string) []placedTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []placedTask
	for _, view := range f.agents {
		for _, task := range view.tasks {
			if task.GetJob() == job {
				found = append(found, placedTask{
					agent:   view.id,
					address: view.address,
					task:    task,
				})
			}
		}
	}
	return found
}

func equalEntries(a, b *peerpb.EntryInfo) bool {
	return a.GetId() == b.GetId() && a.GetAddress() == b.GetAddress()
}

// accelerators counts the accelerators of a task.
func accelerators(task *peerpb.TaskInfo) int {
	return bits.OnesCount64(task.GetAccelerators())
}

// freeAccelerators counts the accelerators that no task and no hold uses.
func (v agentView) freeAccelerators() int {
	free := int(v.worker.GetAccelerators())
	for _, task := range v.tasks {
		if !task.GetEnded() {
			free -= accelerators(task)
		}
	}
	return max(free, 0)
}
