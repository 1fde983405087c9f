package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/executorserver"
	"radishpath.example/radishpath/standin/storeserver"
)

const (
	entries  = 3
	maxLease = 10 * time.Second
	// program is the binary that the build of the deploy file writes.
	program = "target/radishpath"
	// Service is the name of the service of all executors.
	Service     = "quote-desk"
	callTimeout = 3 * time.Second
	readyWait   = 15 * time.Second
	pollPause   = 50 * time.Millisecond
	// executorSeed makes the clocks of the first two executors read more at first than after a restart.
	executorSeed = 39
)

// zones are the availability zones, given to the processes in turn.
var zones = []string{"port-louis", "curepipe", "grand-baie"} //nolint:gochecknoglobals // a constant list

// Config configures a Harness.
type Config struct {
	Clock  clockwork.Clock
	Agents int
	// Accelerators is the number of accelerators of each executor.
	Accelerators int64
	Record       *Record
}

// Harness is a running deployment.
type Harness struct {
	config    Config
	directory string
	client    *http.Client
	// Store is the simulated store.
	Store     *storeserver.Server
	Recorder  *executorserver.Recorder
	Executors []*executorserver.Executor
	Entries   []*Process
	Agents    []*Process
	// fronts and readies are the entries' addresses for callers and for the readiness check.
	fronts  []string
	readies []string
	// controls are the agents' addresses for heartbeats.
	controls []string
	servers  []*httptest.Server
	ipPrefix string
	port     int
	// agentValues are the fields of the agents' settings.
	agentValues []map[string]string
	cancel      context.CancelFunc
	// rejectedAppends counts the appends over the store's limits.
	rejectedAppends atomic.Int64
	// largestRecord is the size of the largest record that was sent to the store.
	largestRecord atomic.Int64
}

// ExecutorID returns the id of the executor with an index.
func ExecutorID(index int) string {
	return fmt.Sprintf("i-7f3a91c%d", index)
}

// Start starts the store, the executors, the entries and the agents.
func Start(ctx context.Context, config Config) (*Harness, error) {
	directory, err := os.MkdirTemp("", "radishpath-review-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &Harness{
		config:    config,
		directory: directory,
		client: &http.Client{
			Timeout: callTimeout,
		},
		Store:    storeserver.New(config.Clock),
		Recorder: executorserver.NewRecorder(config.Clock),
		cancel:   cancel,
	}
	if err = h.startAll(ctx); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// Close ends all processes and removes their files. What the executors did goes into the record.
func (h *Harness) Close() {
	for _, p := range append(append([]*Process{}, h.Entries...), h.Agents...) {
		p.Kill()
	}
	h.cancel()
	for _, server := range h.servers {
		server.CloseClientConnections()
		server.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", h.directory)
		return
	}
	// A failure only leaves files in the directory for temporary files.
	_ = os.RemoveAll(h.directory)
}

// PutConfig writes the operators' configuration to the store.
func (h *Harness) PutConfig(config []byte) {
	h.Store.AppendOperation("config", config)
	h.config.Record.Add("operator: op/config is written")
}

// RejectedAppends returns the number of appends over the store's limits.
func (h *Harness) RejectedAppends() int64 {
	return h.rejectedAppends.Load()
}

// LargestRecord returns the size in bytes of the largest record that was sent to the store.
func (h *Harness) LargestRecord() int64 {
	return h.largestRecord.Load()
}

// Call makes a call of a client at an entry and returns the status, 0 if there was no answer, and the body.
func (h *Harness) Call(
	ctx context.Context, method string, entry int, host, path, key string, body []byte,
) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.fronts[entry]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Radishpath-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := h.client.Do(request)
	if err != nil {
		h.config.Record.Add("client: %s %s at %s: no answer: %v", method, path, h.Entries[entry].Name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	text := strings.TrimSpace(string(answer))
	h.config.Record.Add("client: %s %s at %s: %d %s", method, path, h.Entries[entry].Name, response.StatusCode, text)
	return response.StatusCode, text
}

// AwaitReady waits until all entries are ready, and reports whether they are.
func (h *Harness) AwaitReady(ctx context.Context) bool {
	deadline := h.config.Clock.Now().Add(readyWait)
	for _, address := range h.readies {
		for !h.isReady(ctx, address) {
			if h.config.Clock.Now().After(deadline) {
				return false
			}
			h.config.Clock.Sleep(pollPause)
		}
	}
	return true
}

// Await polls a condition until it holds, and reports whether it held before the timeout.
func (h *Harness) Await(timeout time.Duration, condition func() bool) bool {
	deadline := h.config.Clock.Now().Add(timeout)
	for !condition() {
		if h.config.Clock.Now().After(deadline) {
			return false
		}
		h.config.Clock.Sleep(pollPause)
	}
	return true
}

// StartsOf returns the starts of a job's tasks after a time.
func (h *Harness) StartsOf(job string, since time.Time) []executorserver.RunStart {
	var starts []executorserver.RunStart
	for _, start := range h.Recorder.StartsSince(since) {
		if strings.HasPrefix(start.Task, job+".") {
			starts = append(starts, start)
		}
	}
	return starts
}

func (h *Harness) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	response, err := h.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *Harness) startAll(ctx context.Context) error {
	h.ipPrefix = fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, 1+os.Getpid()/200%200)
	port, err := freePort(ctx, h.ipPrefix+"1")
	if err != nil {
		return err
	}
	h.port = port
	for i := range entries {
		if err = h.addEntry(i, 1); err != nil {
			return err
		}
	}
	for i := range h.config.Agents {
		if err = h.addAgent(ctx, i); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*Process{}, h.Entries...), h.Agents...) {
		if err = p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the control addresses of the entries of a generation of machines.
func (h *Harness) seeds(generation int) string {
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.entryIP(i, generation), h.port))
	}
	return strings.Join(seeds, ",")
}

// entryIP returns the address of an entry of a generation of machines, from 1 on.
func (h *Harness) entryIP(index, generation int) string {
	return fmt.Sprintf("%s%d", h.ipPrefix, 10*(generation-1)+index+1)
}

// ReplaceEntries removes all entries without a signal that they could catch and starts others after a pause: new
// machines at other addresses or, if moved isn't set, the same ones. The agents' settings then name the new seeds, and
// they get SIGHUP.
func (h *Harness) ReplaceEntries(ctx context.Context, pause time.Duration, moved bool) error {
	generation := 1
	for _, p := range h.Entries {
		p.Kill()
		h.config.Record.Add("%s is gone", p.Name)
	}
	h.config.Clock.Sleep(pause)
	if moved {
		generation = 2
	}
	h.Entries, h.fronts, h.readies = nil, nil, nil
	for i := range entries {
		if err := h.addEntry(i, generation); err != nil {
			return err
		}
		if err := h.Entries[i].Start(ctx); err != nil {
			return err
		}
		h.config.Record.Add("%s comes at %s", h.Entries[i].Name, h.entryIP(i, generation))
	}
	for i, p := range h.Agents {
		h.agentValues[i]["seeds"] = h.seeds(generation)
		if _, err := renderSettings(h.directory, "agent.ini", p.Name, h.agentValues[i]); err != nil {
			return err
		}
		p.Signal(syscall.SIGHUP)
	}
	h.config.Record.Add("the agents' settings name the new seeds; the agents get SIGHUP")
	return nil
}

func (h *Harness) addEntry(index, generation int) error {
	zone := zones[index%len(zones)]
	node := fmt.Sprintf("front-%s-%d", zone, generation)
	values := commonValues(node, zone, h.entryIP(index, generation), h.port, h.seeds(generation))
	values["platform.address"] = h.serve(h.limitRecords(h.Store.Endpoint()))
	h.fronts = append(h.fronts, values["listen.front"])
	h.readies = append(h.readies, values["listen.ready"])
	p, err := h.newProcess("entry", node, values)
	h.Entries = append(h.Entries, p)
	return err
}

func (h *Harness) addAgent(ctx context.Context, index int) error {
	zone := zones[index%len(zones)]
	node := fmt.Sprintf("side-%s-%d", zone, 1+index/len(zones))
	executor := executorserver.New(executorserver.Config{
		ID:           ExecutorID(index),
		Service:      Service,
		Zone:         zone,
		Rack:         fmt.Sprintf("r1-%d", index%len(zones)),
		Accelerators: h.config.Accelerators,
		MaxLease:     maxLease,
		Clock:        h.config.Clock,
		Recorder:     h.Recorder,
		Random:       rand.New(rand.NewPCG(executorSeed, uint64(index))),
	})
	h.Executors = append(h.Executors, executor)
	values := commonValues(node, zone, fmt.Sprintf("%s%d", h.ipPrefix, index+101), h.port, h.seeds(1))
	h.agentValues = append(h.agentValues, values)
	values["app"] = h.serve(executor)
	h.controls = append(h.controls, values["listen.control"])
	values["limits.memoryMb"], values["limits.cpuShare"] = "152", "0.24"
	p, err := h.newProcess("agent", node, values)
	h.Agents = append(h.Agents, p)
	go executor.Run(ctx)
	go executor.SendHeartbeats(ctx, "http://"+values["listen.control"])
	return err
}

func (h *Harness) newProcess(role, node string, values map[string]string) (*Process, error) {
	path, err := renderSettings(h.directory, role+".ini", node, values)
	return &Process{
		Name:    node,
		logPath: filepath.Join(h.directory, node+".log"),
		args:    []string{program, role, "--settings", path},
	}, err
}

func (h *Harness) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	h.servers = append(h.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// freePort returns a free port of an address. Only this case uses the address, so that the ports after it are taken to
// be free as well.
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
	return min(address.Port, 65000), nil
}

// Sleep waits on the real clock.
func (h *Harness) Sleep(duration time.Duration) {
	h.config.Clock.Sleep(duration)
}

// Note adds a line to the record.
func (h *Harness) Note(format string, args ...any) {
	h.config.Record.Add(format, args...)
}

// Now returns the current time.
func (h *Harness) Now() time.Time {
	return h.config.Clock.Now()
}

// SendHeartbeat sends a heartbeat to an agent.
func (h *Harness) SendHeartbeat(ctx context.Context, agent int, id string, body []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+h.controls[agent]+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		h.config.Record.Add("heartbeat: %v", err)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		h.config.Record.Add("heartbeat: %v", err)
		return
	}
	_ = response.Body.Close()
	h.config.Record.Add("other writer: PUT /v1/instances/%s at %s: %d", id, h.Agents[agent].Name, response.StatusCode)
}

// RestartAgent kills an agent and starts it again after a downtime.
func (h *Harness) RestartAgent(ctx context.Context, index int, downTime time.Duration) error {
	h.Agents[index].Kill()
	h.config.Clock.Sleep(downTime)
	return h.Agents[index].Start(ctx)
}
