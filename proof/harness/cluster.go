package harness

import (
	"fmt"
)

// ClusterConfig describes a whole deployment.
type ClusterConfig struct {
	// Entries is how many entries run, entry-1 and so on. They are spread over the zones of the workers.
	Entries int
	// Workers are the workers; an agent named agent-<id> runs beside each.
	Workers []WorkerConfig
	// Entry is the template of the entries; its ID and Zone are chosen.
	Entry EntryConfig
	// Log is added to the command line of the log service.
	Log []string
	// Linked puts the Network between all processes. The processes then announce addresses other than those they
	// listen on, by the key "advertise" of their settings.
	Linked bool
}

// Cluster is a running deployment.
type Cluster struct {
	Log     *Log
	Entries []*Entry
	Workers []*Worker
	// Agents are in the order of Workers.
	Agents []*Agent
}

// Agent is an agent process.
type Agent struct {
	*Process
	// Admin is the HTTP address for operators.
	Admin string
}

// agentConfig describes an agent.
type agentConfig struct {
	id        string
	zone      string
	level     string
	listen    string
	announced string
	admin     string
	entries   []node
	worker    string
	backend   string
	decisions string
}

// StartCluster starts log, workers, entries and agents, in this order, and waits until each accepts connections.
func (h *Harness) StartCluster(config ClusterConfig) *Cluster {
	h.t.Helper()
	cluster := &Cluster{
		Log: h.StartLog(config.Log...),
	}
	for _, worker := range config.Workers {
		cluster.Workers = append(cluster.Workers, h.StartWorker(worker))
	}
	seeds := h.startEntries(config, cluster)
	for _, worker := range cluster.Workers {
		cluster.Agents = append(cluster.Agents, h.startAgent(config, worker, seeds))
	}
	return cluster
}

// front returns the address at which other processes reach the process.
func (h *Harness) front(linked bool, name, address string) string {
	h.t.Helper()
	if !linked {
		return address
	}
	front, err := h.network.front(name, address)
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	return front
}

// startAgent starts the agent beside a worker.
func (h *Harness) startAgent(config ClusterConfig, worker *Worker, entries []node) *Agent {
	h.t.Helper()
	agent := agentConfig{
		id:      "agent-" + worker.Config.ID,
		zone:    worker.Config.Zone,
		level:   config.Entry.Level,
		listen:  h.address(),
		admin:   h.address(),
		entries: entries,
		worker:  h.front(config.Linked, worker.Name, worker.Address),
	}
	agent.backend = agent.worker
	agent.decisions = agent.id + ".decisions"
	if config.Linked {
		agent.announced = h.front(true, agent.id, agent.listen)
	}
	started := &Agent{
		Process: h.process(agent.id, "radishpath", []string{agent.listen},
			"agent", "--settings", h.write(agent.id+".ini", agentSettings(agent))),
		Admin: agent.admin,
	}
	started.start()
	return started
}

// startEntries starts the entries and returns the addresses at which other processes reach them.
func (h *Harness) startEntries(config ClusterConfig, cluster *Cluster) []node {
	h.t.Helper()
	log := h.front(config.Linked, cluster.Log.Name, cluster.Log.Address)
	entries := make([]EntryConfig, config.Entries)
	nodes := make([]node, config.Entries)
	for i := range entries {
		entry := config.Entry
		entry.ID = fmt.Sprintf("entry-%d", i+1)
		entry.Zone = config.zone(i)
		entry.log = log
		entry.listen, entry.caller, entry.admin = h.address(), h.address(), h.address()
		entry.decisions = entry.ID + ".decisions"
		nodes[i] = node{
			id:      entry.ID,
			address: entry.listen,
		}
		if config.Linked {
			entry.announced = h.front(true, entry.ID, entry.listen)
			nodes[i].address = entry.announced
		}
		entries[i] = entry
	}
	for i, entry := range entries {
		entry.peers = others(nodes, i)
		cluster.Entries = append(cluster.Entries, h.startEntry(entry))
	}
	return nodes
}

func (h *Harness) startEntry(entry EntryConfig) *Entry {
	h.t.Helper()
	started := &Entry{
		Process: h.process(entry.ID, "radishpath", []string{entry.listen, entry.caller, entry.admin},
			"entry", "--settings", h.write(entry.ID+".ini", entrySettings(entry))),
		Caller: entry.caller,
		Admin:  entry.admin,
	}
	started.start()
	return started
}

// zone spreads the entries over the zones of the workers.
func (c ClusterConfig) zone(entry int) string {
	zones := []string{}
	seen := map[string]bool{}
	for _, worker := range c.Workers {
		if !seen[worker.Zone] {
			seen[worker.Zone] = true
			zones = append(zones, worker.Zone)
		}
	}
	if len(zones) == 0 {
		return "zone"
	}
	return zones[entry%len(zones)]
}

// others returns the nodes except one.
func others(nodes []node, except int) []node {
	rest := []node{}
	for i, n := range nodes {
		if i != except {
			rest = append(rest, n)
		}
	}
	return rest
}
