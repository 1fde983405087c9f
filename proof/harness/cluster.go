package harness

import "fmt"

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

	harness *Harness
	config  ClusterConfig
	// log is the address at which entries reach the log service.
	log string
	// nodes are the addresses at which other processes reach the entries.
	nodes []node
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
		Log:     h.StartLog(config.Log...),
		harness: h,
		config:  config,
	}
	cluster.log = h.front(config.Linked, cluster.Log.Name, cluster.Log.Address)
	for _, worker := range config.Workers {
		cluster.Workers = append(cluster.Workers, h.StartWorker(worker))
	}
	entries := []EntryConfig{}
	for range config.Entries {
		entries = append(entries, cluster.newEntry())
	}
	for _, entry := range entries {
		cluster.startEntry(entry)
	}
	for _, worker := range cluster.Workers {
		cluster.startAgent(worker)
	}
	return cluster
}

// AddEntry starts one more entry, which knows the others; they learn of it from it.
func (c *Cluster) AddEntry() *Entry {
	c.harness.t.Helper()
	return c.startEntry(c.newEntry())
}

// AddWorker starts one more worker and the agent beside it.
func (c *Cluster) AddWorker(config WorkerConfig) (*Worker, *Agent) {
	c.harness.t.Helper()
	worker := c.harness.StartWorker(config)
	c.Workers = append(c.Workers, worker)
	return worker, c.startAgent(worker)
}

// newEntry chooses id, zone and addresses of an entry.
func (c *Cluster) newEntry() EntryConfig {
	h := c.harness
	h.t.Helper()
	entry := c.config.Entry
	entry.ID = fmt.Sprintf("entry-%d", len(c.nodes)+1)
	entry.Zone = c.config.zone(len(c.nodes))
	entry.log = c.log
	entry.listen, entry.caller, entry.admin = h.address(), h.address(), h.address()
	entry.decisions = entry.ID + ".decisions"
	reached := entry.listen
	if c.config.Linked {
		entry.announced = h.front(true, entry.ID, entry.listen)
		reached = entry.announced
	}
	c.nodes = append(c.nodes, node{
		id:      entry.ID,
		address: reached,
	})
	return entry
}

// startAgent starts the agent beside a worker.
func (c *Cluster) startAgent(worker *Worker) *Agent {
	h := c.harness
	h.t.Helper()
	agent := agentConfig{
		id:      "agent-" + worker.Config.ID,
		zone:    worker.Config.Zone,
		level:   c.config.Entry.Level,
		listen:  h.address(),
		admin:   h.address(),
		entries: c.nodes,
		worker:  h.front(c.config.Linked, worker.Name, worker.Address),
	}
	agent.backend = agent.worker
	agent.decisions = agent.id + ".decisions"
	if c.config.Linked {
		agent.announced = h.front(true, agent.id, agent.listen)
	}
	started := &Agent{
		Process: h.process(agent.id, "radishpath", []string{agent.listen},
			"agent", "--settings", h.write(agent.id+".ini", agentSettings(agent))),
		Admin: agent.admin,
	}
	started.start()
	c.Agents = append(c.Agents, started)
	return started
}

func (c *Cluster) startEntry(entry EntryConfig) *Entry {
	h := c.harness
	h.t.Helper()
	entry.peers = others(c.nodes, entry.ID)
	started := &Entry{
		Process: h.process(entry.ID, "radishpath", []string{entry.listen, entry.caller, entry.admin},
			"entry", "--settings", h.write(entry.ID+".ini", entrySettings(entry))),
		Caller: entry.caller,
		Admin:  entry.admin,
	}
	started.start()
	c.Entries = append(c.Entries, started)
	return started
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
func others(nodes []node, except string) []node {
	result := []node{}
	for _, n := range nodes {
		if n.id != except {
			result = append(result, n)
		}
	}
	return result
}
