package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/executorserver"
	"radishpath.example/radishpath/standin/storeserver"
)

const (
	// maxLease is the maximum lease; executors shorten longer ones to it.
	maxLease                = 6 * time.Second
	acceleratorsPerExecutor = 8
	// maxEntries is the number of addresses that each generation of entries has. Those of the agents start at 101.
	maxEntries = 10
	// serviceName is the service of all executors.
	serviceName = "desk"
)

// Offsets of a process's ports from the port of the peer protocol.
const (
	adminPortOffset = 1 + iota
	callerPortOffset
	readyPortOffset
	jobsPortOffset
)

// clusterCount is the number of clusters in this process. Each cluster uses it to get its own range of addresses.
var clusterCount atomic.Int32 //nolint:gochecknoglobals // addresses are unique within a process

// Config configures a Cluster.
type Config struct {
	// BinaryPath is the path of the radishpath binary.
	BinaryPath string
	Clock      clockwork.Clock
	Entries    int
	Agents     int
	// Zones are the availability zones, assigned to the processes in turn; empty means a single zone.
	Zones []string
	// SkipAdmissionCheck makes the executors start what exceeds their capacity.
	SkipAdmissionCheck bool
	// Seed determines the random values of the executors.
	Seed uint64
	// Slowdowns are the factors by which tasks take longer at the executors, in turn; empty means that they don't.
	Slowdowns []float64
	// UseProxies puts a Proxy in front of each executor and of each entry's address for callers.
	UseProxies bool
	// Memory is the memory limit of each process in MB, as its settings name it, and Files the number of descriptors that
	// it may open; 0 means no limit.
	Memory int
	Files  int
	// AgentStore gives the agents the address of the store.
	AgentStore bool
}

// Cluster is a running deployment.
type Cluster struct {
	config    Config
	directory string
	ipPrefix  string
	basePort  int
	Store     *storeserver.Server
	// StoreAddress is the address of a store endpoint without faults, for operators.
	StoreAddress string
	Recorder     *executorserver.Recorder
	Entries      []*Process
	Agents       []*Process
	Executors    []*executorserver.Executor
	// CallerAddresses are the entries' addresses of the platform's interface for callers.
	CallerAddresses []string
	// JobsAddresses are the entries' addresses of the jobs API.
	JobsAddresses []string
	// ControlAddresses are the agents' addresses for heartbeats.
	ControlAddresses []string
	Proxies          []*Proxy
	// ExecutorProxies are those of the Proxies that are in front of the executors, in the order of these.
	ExecutorProxies []*Proxy
	cancel          context.CancelFunc
	servers         []*httptest.Server
	// generation counts the replacements of all entries.
	generation int
}

// Start starts the store, the executors and all processes of a cluster. They run until Close is called or the calling
// process dies.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	directory, err := os.MkdirTemp("", "radishpath-cluster-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	if len(config.Zones) == 0 {
		config.Zones = []string{"suva"}
	}
	clusterCtx, cancel := context.WithCancel(ctx)
	c := &Cluster{
		config:    config,
		directory: directory,
		ipPrefix:  fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, clusterCount.Add(1)),
		Store:     storeserver.New(config.Clock),
		Recorder:  executorserver.NewRecorder(config.Clock),
		cancel:    cancel,
	}
	c.Recorder.SetMaxGangFailures(MaxFailures)
	if err = c.startAll(clusterCtx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close kills the processes, stops the simulations and removes the cluster's files.
func (c *Cluster) Close() {
	for _, p := range c.Processes() {
		p.Kill()
	}
	c.cancel()
	for _, proxy := range c.Proxies {
		proxy.Close()
	}
	for _, server := range c.servers {
		server.CloseClientConnections()
		server.Close()
	}
	// A failure only leaves files in the directory for temporary files.
	_ = os.RemoveAll(c.directory)
}

// Directory returns the directory of the settings and the logs of the processes.
func (c *Cluster) Directory() string {
	return c.directory
}

// KeepLogs writes what the executors did to executors.log beside the logs of the processes, renames their directory, so
// that Close doesn't remove it, and returns the new path.
func (c *Cluster) KeepLogs() string {
	events := strings.Join(c.Recorder.Events(), "\n")
	// A failure only leaves the logs of the processes.
	_ = os.WriteFile(filepath.Join(c.directory, "executors.log"), []byte(events), 0o600)
	keptDirectory := c.directory + "-kept"
	if err := os.Rename(c.directory, keptDirectory); err != nil {
		return c.directory
	}
	return keptDirectory
}

// Processes returns the entries and the agents.
func (c *Cluster) Processes() []*Process {
	return append(append([]*Process{}, c.Entries...), c.Agents...)
}

// ZoneOf returns the zone of the entry or agent with an index.
func (c *Cluster) ZoneOf(index int) string {
	return c.config.Zones[index%len(c.config.Zones)]
}

func (c *Cluster) startAll(ctx context.Context) error {
	basePort, err := freePort(ctx, c.ipPrefix+"1")
	if err != nil {
		return err
	}
	c.basePort = basePort
	c.StoreAddress = c.serveHTTP(c.Store.Endpoint())
	if err = c.addEntries(); err != nil {
		return err
	}
	for i := range c.config.Agents {
		if err = c.addAgent(ctx, i); err != nil {
			return err
		}
	}
	for _, p := range c.Processes() {
		if err = p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addEntries adds the entries of the current generation without starting them.
func (c *Cluster) addEntries() error {
	for i := range c.config.Entries {
		if err := c.addEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// entryIP returns the address of an entry of the current generation.
func (c *Cluster) entryIP(index int) string {
	return fmt.Sprintf("%s%d", c.ipPrefix, c.generation*maxEntries+index+1)
}

// seeds returns the addresses of the entries of the current generation, as the settings name them.
func (c *Cluster) seeds() string {
	var seeds []string
	for i := range c.config.Entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.entryIP(i), c.basePort))
	}
	return strings.Join(seeds, ",")
}

func (c *Cluster) addEntry(index int) error {
	ip := c.entryIP(index)
	portAddress := func(offset int) string { return fmt.Sprintf("%s:%d", ip, c.basePort+offset) }
	endpoint := c.Store.Endpoint()
	p, err := c.newProcess("entry", index, ip, endpoint, fmt.Sprintf(
		"store = %s\ncaller = %s\nready = %s\njobs = %s\nrevoke = 5s\ngrace = 4s\nseeds = %s\n",
		c.serveHTTP(endpoint), portAddress(callerPortOffset), portAddress(readyPortOffset),
		portAddress(jobsPortOffset), c.seeds()))
	if err != nil {
		return err
	}
	p.ReadyAddress = portAddress(readyPortOffset)
	c.Entries = append(c.Entries, p)
	callerAddress := portAddress(callerPortOffset)
	if c.config.UseProxies {
		proxy, proxyErr := c.addProxy(callerAddress)
		if proxyErr != nil {
			return proxyErr
		}
		callerAddress = proxy.Address()
	}
	c.CallerAddresses = append(c.CallerAddresses, callerAddress)
	c.JobsAddresses = append(c.JobsAddresses, portAddress(jobsPortOffset))
	return nil
}

func (c *Cluster) addAgent(ctx context.Context, index int) error {
	ip := fmt.Sprintf("%s%d", c.ipPrefix, index+101)
	executor := executorserver.New(executorserver.Config{
		ID:                 fmt.Sprintf("i-%d", index),
		Service:            serviceName,
		SkipAdmissionCheck: c.config.SkipAdmissionCheck,
		Zone:               c.ZoneOf(index),
		Rack:               fmt.Sprintf("r%d", index%len(c.config.Zones)),
		Accelerators:       acceleratorsPerExecutor,
		MaxLease:           maxLease,
		Slowdown:           c.slowdown(index),
		Clock:              c.config.Clock,
		Recorder:           c.Recorder,
		Random:             rand.New(rand.NewPCG(c.config.Seed, uint64(index))),
	})
	address := c.serveHTTP(executor)
	if c.config.UseProxies {
		proxy, err := c.addProxy(address)
		if err != nil {
			return err
		}
		c.ExecutorProxies = append(c.ExecutorProxies, proxy)
		address = proxy.Address()
	}
	controlAddress := fmt.Sprintf("%s:%d", ip, c.basePort+callerPortOffset)
	c.ControlAddresses = append(c.ControlAddresses, controlAddress)
	go executor.Run(ctx)
	go executor.SendHeartbeats(ctx, "http://"+controlAddress)
	c.Executors = append(c.Executors, executor)
	p, err := c.newProcess("agent", index, ip, nil,
		fmt.Sprintf("control = %s\nexecutor = %s\nseeds = %s\n", controlAddress, address, c.seeds()))
	if err != nil {
		return err
	}
	if c.config.AgentStore {
		p.args = append(p.args, "--store", c.StoreAddress)
	}
	c.Agents = append(c.Agents, p)
	return nil
}

// slowdown returns the slowdown of an executor.
func (c *Cluster) slowdown(index int) float64 {
	if len(c.config.Slowdowns) == 0 {
		return 0
	}
	return c.config.Slowdowns[index%len(c.config.Slowdowns)]
}

func (c *Cluster) newProcess(
	role string, index int, ip string, endpoint *storeserver.Endpoint, roleSettings string,
) (*Process, error) {
	name := fmt.Sprintf("%s-%d", role, c.generation*maxEntries+index+1)
	settings := fmt.Sprintf("[%s]\nid = %s\nzone = %s\nlisten = %s:%d\nadmin = %s:%d\nmemory = %d\n%s", role, name,
		c.ZoneOf(index), ip, c.basePort, ip, c.basePort+adminPortOffset, c.config.Memory, roleSettings)
	path := filepath.Join(c.directory, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return &Process{
		Name:         name,
		Endpoint:     endpoint,
		clock:        c.config.Clock,
		args:         []string{role, "--settings", path},
		binary:       c.config.BinaryPath,
		files:        c.config.Files,
		AdminAddress: fmt.Sprintf("%s:%d", ip, c.basePort+adminPortOffset),
		PeerAddress:  fmt.Sprintf("%s:%d", ip, c.basePort),
		settingsPath: path,
		logPath:      filepath.Join(c.directory, name+".log"),
	}, nil
}

func (c *Cluster) addProxy(target string) (*Proxy, error) {
	proxy, err := NewProxy(c.config.Clock, target)
	if err != nil {
		return nil, err
	}
	c.Proxies = append(c.Proxies, proxy)
	return proxy, nil
}

func (c *Cluster) serveHTTP(handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.servers = append(c.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// freePort returns a free port of an address. The following ports are assumed to be free too, since only this cluster
// uses the address.
func freePort(ctx context.Context, ip string) (int, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return 0, fmt.Errorf("find free port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return 0, fmt.Errorf("find free port: %s is not a TCP address", listener.Addr())
	}
	return address.Port, nil
}
