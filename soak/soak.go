package main

import (
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
	"time"

	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/standin/executorserver"
	"radishpath.example/radishpath/standin/storeserver"
)

const (
	entries = 3
	// maxLease is what executors shorten leases to.
	maxLease = 6 * time.Second
	// settleLimit is how long after the last fault every accepted job has to have ended. It covers the leases of an
	// agent that is gone, which a new scheduler waits for.
	settleLimit = 40 * time.Second
	settleStep  = 200 * time.Millisecond
	// warmUp is how long callers wait at the start.
	warmUp = 2 * time.Second
)

// Config configures a soak.
type Config struct {
	Bin    string
	Seed   uint64
	Length time.Duration
	Agents int
	Clock  clockwork.Clock
	Output io.Writer
}

// Result is what came of a soak.
type Result struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Faults   int
	Broken   []string
	Logs     string
}

// String returns a line, and one more for each broken promise.
func (r Result) String() string {
	line := fmt.Sprintf("seed %d: %d jobs, %d accepted, %d faults, %d promises broken", r.Seed, r.Jobs, r.Accepted,
		r.Faults, len(r.Broken))
	if len(r.Broken) > 0 {
		line += ", logs in " + r.Logs + "\n  " + strings.Join(r.Broken, "\n  ")
	}
	return line
}

// soak is one run.
type soak struct {
	config    Config
	random    *rand.Rand
	store     *storeserver.Server
	record    *executorserver.Record
	callers   *callers
	entries   []*process
	agents    []*process
	directory string
	faults    int
}

// run plays a soak and removes its files unless a promise was broken.
func run(ctx context.Context, config Config) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	directory, err := os.MkdirTemp("", "radishpath-soak-")
	if err != nil {
		return Result{}, fmt.Errorf("make directory: %w", err)
	}
	s := &soak{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		store:     storeserver.New(config.Clock),
		record:    executorserver.NewRecord(),
		directory: directory,
	}
	s.store.Operate("config", []byte(`{"version":1,"routes":[{"name":"quotes","host":"`+host+`","pathPrefix":"`+
		prefix+`","service":"desk","priority":1,"maxAttempts":2,"stretch":3,"targetLatencyMs":1000}],`+
		`"services":[{"name":"desk","admissionCheck":true}],"tenants":[{"name":"t","apiKeys":["`+apiKey+`"]}]}`))
	if err = s.startAll(ctx); err != nil {
		return Result{}, err
	}
	<-config.Clock.After(warmUp)
	s.play(ctx)
	result := s.judge(ctx)
	for _, p := range append(s.entries, s.agents...) {
		p.end(9)
	}
	if len(result.Broken) > 0 {
		return result, nil
	}
	if err = os.RemoveAll(directory); err != nil {
		return result, fmt.Errorf("remove logs: %w", err)
	}
	return result, nil
}

// startAll starts the stand-ins and the processes. Every process has a loopback address of its own and all answer the
// peer protocol on one port, as on real machines.
func (s *soak) startAll(ctx context.Context) error {
	port, err := freePort(ctx)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("127.7.0.%d:%d", i+1, port))
	}
	s.callers = &callers{
		clock: s.config.Clock,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
	for i := range entries {
		ip := fmt.Sprintf("127.7.0.%d", i+1)
		s.callers.fronts = append(s.callers.fronts, fmt.Sprintf("%s:%d", ip, port+2))
		p, settingsErr := s.newProcess("entry", ip, port, strings.Join(seeds, ","),
			fmt.Sprintf("caller = %s:%d\nready = %s:%d\nrevoke = 5s\ngrace = 4s\n", ip, port+2, ip, port+3))
		if settingsErr != nil {
			return settingsErr
		}
		s.entries = append(s.entries, p)
	}
	for i := range s.config.Agents {
		ip := fmt.Sprintf("127.7.1.%d", i+1)
		executor := executorserver.New(executorserver.Config{
			ID:           fmt.Sprintf("i-%d", i),
			Service:      "desk",
			Zone:         "suva",
			Rack:         fmt.Sprintf("r%d", i/2),
			Accelerators: 4,
			MaxLease:     maxLease,
			Clock:        s.config.Clock,
			Record:       s.record,
		})
		server := httptest.NewServer(executor)
		context.AfterFunc(ctx, server.CloseClientConnections)
		go executor.Run(ctx)
		go executor.Beat(ctx, fmt.Sprintf("http://%s:%d", ip, port+2))
		p, settingsErr := s.newProcess("agent", ip, port, strings.Join(seeds, ","),
			fmt.Sprintf("control = %s:%d\nexecutor = %s\n", ip, port+2, strings.TrimPrefix(server.URL, "http://")))
		if settingsErr != nil {
			return settingsErr
		}
		s.agents = append(s.agents, p)
	}
	for _, p := range append(s.entries, s.agents...) {
		if err = p.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) newProcess(role, ip string, port int, seeds, more string) (*process, error) {
	name := role + "-" + ip[strings.LastIndex(ip, ".")+1:]
	door := s.store.Door()
	server := httptest.NewServer(door)
	settings := fmt.Sprintf("[cell]\nid = %s\nzone = suva\nlisten = %s:%d\nadmin = %s:%d\nstore = %s\nseeds = %s\n%s",
		name, ip, port, ip, port+1, strings.TrimPrefix(server.URL, "http://"), seeds, more)
	path := filepath.Join(s.directory, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return &process{
		name: name,
		args: []string{"cell", role, "--settings", path},
		bin:  s.config.Bin,
		logs: s.directory,
		door: door,
	}, nil
}

// play hands in jobs and injects faults.
func (s *soak) play(ctx context.Context) {
	end := s.config.Clock.Now().Add(s.config.Length)
	nextFault := s.config.Clock.Now()
	for s.config.Clock.Now().Before(end) && ctx.Err() == nil {
		s.callers.submit(ctx, s.random)
		if s.config.Clock.Now().After(nextFault) {
			s.fault(ctx)
			nextFault = s.config.Clock.Now().Add(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
		}
		<-s.config.Clock.After(time.Duration(40+s.random.IntN(160)) * time.Millisecond)
	}
	s.callers.wait.Wait()
}

// judge waits until the jobs have ended and says which promises were broken.
func (s *soak) judge(ctx context.Context) Result {
	result := Result{
		Seed:   s.config.Seed,
		Jobs:   len(s.callers.jobs),
		Faults: s.faults,
		Logs:   s.directory,
	}
	deadline := s.config.Clock.Now().Add(settleLimit)
	for _, job := range s.callers.jobs {
		if job.accepted {
			result.Accepted++
		}
		if fault := s.judgeJob(ctx, job, deadline); fault != "" {
			result.Broken = append(result.Broken, fault)
		}
	}
	result.Broken = append(result.Broken, s.record.Broken()...)
	return result
}

func (s *soak) judgeJob(ctx context.Context, job *submission, deadline time.Time) string {
	if !job.accepted {
		if !job.unknown && s.record.Starts(job.id+".0.0.0") > 0 {
			return job.id + " was refused and ran"
		}
		return ""
	}
	want := "completed"
	if job.fails {
		want = "failed"
	}
	for {
		state := s.callers.state(ctx, s.callers.fronts[0], job.id)
		if state == want || (job.cancelled && state == "cancelled") {
			break
		}
		if s.config.Clock.Now().After(deadline) {
			return fmt.Sprintf("%s was accepted and is %s, not %s", job.id, state, want)
		}
		<-s.config.Clock.After(settleStep)
	}
	if want == "completed" && !job.cancelled && !s.record.Done(job.id+".0.0.0") {
		return job.id + " is shown as completed and its first task isn't done"
	}
	return ""
}

func freePort(ctx context.Context) (int, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.7.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("find a port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	// The next ports are taken to be free as well: only the soak uses these loopback addresses.
	return listener.Addr().(*net.TCPAddr).Port, nil
}
