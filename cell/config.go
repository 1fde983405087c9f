package cell

import (
	"net"
	"strings"
	"time"
)

// Config is one version of the operators' configuration, independent of the platform's encoding.
type Config struct {
	Version    int64
	Queues     []Queue
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	// indexByName and indexesByHost hold indexes of Queues; nil unless WithIndex was called.
	indexByName   map[string]int
	indexesByHost map[string][]int
}

// WithIndex returns the configuration with its queues indexed by name and host. A cell may have thousands of queues.
func (c Config) WithIndex() Config {
	c.indexByName = make(map[string]int, len(c.Queues))
	c.indexesByHost = make(map[string][]int)
	for i, queue := range c.Queues {
		c.indexByName[queue.Name] = i
		host := strings.ToLower(queue.Host)
		c.indexesByHost[host] = append(c.indexesByHost[host], i)
	}
	return c
}

// Queue accepts jobs under a host and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is the highest.
	Priority int
	// MaxFailures is the number of failed runs of a task, or of a gang, at which the job fails.
	MaxFailures int
	// Stretch and Slack set the completion time objective of a job: Stretch times its ideal run time, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Anonymous queues accept requests without a key.
	Anonymous bool
	// NeedsAdvice is set if each start needs a ticket from the advice service.
	NeedsAdvice bool
}

// Service is a set of executors.
type Service struct {
	Name string
	// ChecksAdmission is set if the executors check admission themselves and reject runs that don't fit.
	ChecksAdmission bool
}

// Workspace is a tenant with its API keys and its guaranteed accelerators.
type Workspace struct {
	Name    string
	APIKeys []string
	// Guaranteed is the number of accelerators reserved at all times for the workspace's jobs of priority 0.
	Guaranteed int64
}

// Limits bound the requests of callers.
type Limits struct {
	MaxBodyBytes int64
}

// MatchQueue returns the queue of the host whose prefix is the longest match of path, and the rest of the path.
func (c Config) MatchQueue(host, path string) (Queue, string, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	best, ok := Queue{}, false
	for _, queue := range c.queuesForHost(strings.ToLower(host)) {
		if !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if !ok || len(queue.Prefix) > len(best.Prefix) {
			best, ok = queue, true
		}
	}
	return best, strings.TrimPrefix(path, best.Prefix), ok
}

// Queue returns the queue of that name.
func (c Config) Queue(name string) (Queue, bool) {
	if c.indexByName != nil {
		index, ok := c.indexByName[name]
		if !ok {
			return Queue{}, false
		}
		return c.Queues[index], true
	}
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// SelectQueue returns the queue that a job names. An empty name stands for the only queue of the configuration. It
// returns false if no queue has the name, or if the name is empty and there are several.
func (c Config) SelectQueue(name string) (Queue, bool) {
	if name == "" && len(c.Queues) == 1 {
		return c.Queues[0], true
	}
	return c.Queue(name)
}

// Guaranteed returns the number of accelerators guaranteed to a workspace.
func (c Config) Guaranteed(workspace string) int64 {
	for _, w := range c.Workspaces {
		if w.Name == workspace {
			return w.Guaranteed
		}
	}
	return 0
}

// Workspace returns the name of the workspace that owns a caller's key.
func (c Config) Workspace(key string) (string, bool) {
	hash := HashKey(key)
	for _, workspace := range c.Workspaces {
		for _, storedKey := range workspace.APIKeys {
			if keyMatches(storedKey, key, hash) {
				return workspace.Name, true
			}
		}
	}
	return "", false
}

// queuesForHost returns the queues of a host, given in lower case.
func (c Config) queuesForHost(host string) []Queue {
	var queues []Queue
	if c.indexesByHost == nil {
		for _, queue := range c.Queues {
			if strings.ToLower(queue.Host) == host {
				queues = append(queues, queue)
			}
		}
		return queues
	}
	for _, index := range c.indexesByHost[host] {
		queues = append(queues, c.Queues[index])
	}
	return queues
}
