package executorserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
)

const (
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	// step is how often leases and run times are checked.
	step = 10 * time.Millisecond
	// beatInterval is how often heartbeats are sent, beatLimit bounds one.
	beatInterval = 500 * time.Millisecond
	beatLimit    = time.Second
)

// Config configures an Executor.
type Config struct {
	ID      string
	Service string
	Zone    string
	Rack    string
	// Accelerators are what tasks are admitted by.
	Accelerators int64
	// MaxLease shortens longer leases.
	MaxLease time.Duration
	Clock    clockwork.Clock
	Record   *Record
}

// Executor runs tasks.
type Executor struct {
	config Config
	router http.Handler
	born   time.Time
	mu     sync.Mutex
	fence  int64
	lease  time.Duration
	// highest is the highest run of each task that ran or was stopped here.
	highest map[string]int32
	running map[string]*task
	ends    []end
	number  int64
	seq     int64
	changed chan struct{}
}

type task struct {
	run   int32
	ends  time.Duration
	fails bool
}

type end struct {
	number int64
	task   string
	run    int32
	how    string
}

// New returns an executor that began its life now.
func New(config Config) *Executor {
	e := &Executor{
		config:  config,
		born:    config.Clock.Now(),
		highest: map[string]int32{},
		running: map[string]*task{},
		changed: make(chan struct{}),
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/run-start", e.start).Methods(http.MethodPost)
	router.HandleFunc("/v1/run-stop", e.stop).Methods(http.MethodPost)
	router.HandleFunc("/v1/hold", e.hold).Methods(http.MethodPost)
	e.router = router
	return e
}

// Beat sends heartbeats to an agent until ctx ends.
func (e *Executor) Beat(ctx context.Context, agent string) {
	for ctx.Err() == nil {
		e.beat(ctx, agent)
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(beatInterval):
		}
	}
}

// Run ends tasks when their time or their lease is over, until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.sweep()
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(step):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if meant := r.Header.Get("Radishpath-Expected-Instance"); meant != "" && meant != e.config.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.router.ServeHTTP(w, r)
}

func (e *Executor) beat(ctx context.Context, agent string) {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":"","zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,`+
		`"capacity":{"cpu":64000,"memMb":64000,"gpu":%d},"labels":["a",%q],"clockMs":%d,"born":%d,"seq":%d}`,
		e.config.Service, e.config.Zone, e.config.Accelerators, e.config.Rack, e.clock().Milliseconds(),
		e.born.UnixMilli(), seq)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, agent+"/v1/instances/"+e.config.ID,
		bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The agent may be down; the next heartbeat finds it again.
		return
	}
	_ = response.Body.Close()
}

// clock is the executor's steady clock.
func (e *Executor) clock() time.Duration {
	return e.config.Clock.Since(e.born)
}

func (e *Executor) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, e.clock()+e.config.MaxLease)
	e.lease = max(e.lease, until)
}

// fenced reports whether a lower fence was used, and takes note of a higher one.
func (e *Executor) fenced(w http.ResponseWriter, fence int64) bool {
	if fence < e.fence {
		e.refuse(w, "fence")
		return true
	}
	e.fence = fence
	return false
}

func (e *Executor) hold(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Until int64 `json:"deadlineMs"`
		Fence int64 `json:"fence"`
		Seen  int64 `json:"lastSeen"`
		Wait  int64 `json:"waitMs"`
	}{}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, order.Fence) {
		return
	}
	e.extend(order.Until)
	for len(e.ends) > 0 && e.ends[0].number <= order.Seen {
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && order.Wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-e.config.Clock.After(time.Duration(order.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for name, t := range e.running {
		running = append(running, []any{name, t.run, "", 50, 1000})
	}
	for _, ended := range e.ends {
		ends = append(ends, []any{ended.number, ended.task, ended.run, ended.how, ""})
	}
	e.answer(w, http.StatusOK, map[string]any{
		"runningRuns": running,
		"endedRuns":   ends,
	})
}

func (e *Executor) start(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Task  string `json:"task"`
		Run   int32  `json:"run"`
		Spec  string `json:"jobSpec"`
		Until int64  `json:"deadlineMs"`
		Fence int64  `json:"fence"`
	}{}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, order.Fence) {
		return
	}
	if present, ok := e.running[order.Task]; ok && present.run == order.Run {
		e.answer(w, http.StatusOK, map[string]any{})
		return
	}
	switch {
	case time.Duration(order.Until)*time.Millisecond <= e.clock():
		e.refuse(w, "late")
		return
	case order.Run <= e.highest[order.Task]:
		e.refuse(w, "old")
		return
	case int64(len(e.running)) >= e.config.Accelerators:
		e.refuse(w, "room")
		return
	}
	length, fails := strings.CutPrefix(order.Spec, "fail ")
	lasts, err := time.ParseDuration(length)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.extend(order.Until)
	e.highest[order.Task] = order.Run
	e.running[order.Task] = &task{
		run:   order.Run,
		ends:  e.clock() + lasts,
		fails: fails,
	}
	e.config.Record.started(e.config.ID, order.Task, order.Run)
	e.answer(w, http.StatusOK, map[string]any{})
}

func (e *Executor) stop(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Task  string `json:"task"`
		Run   int32  `json:"run"`
		Fence int64  `json:"fence"`
	}{}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, order.Fence) {
		return
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	if t, ok := e.running[order.Task]; ok && t.run <= order.Run {
		e.finish(order.Task, t, howStopped)
	}
	e.answer(w, http.StatusOK, map[string]any{})
}

func (e *Executor) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	for name, t := range e.running {
		switch {
		case now >= e.lease:
			e.finish(name, t, howLapsed)
		case now >= t.ends && t.fails:
			e.finish(name, t, howFailed)
		case now >= t.ends:
			e.finish(name, t, howDone)
		}
	}
}

func (e *Executor) finish(name string, t *task, how string) {
	delete(e.running, name)
	e.number++
	e.ends = append(e.ends, end{
		number: e.number,
		task:   name,
		run:    t.run,
		how:    how,
	})
	e.config.Record.ended(name, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Executor) refuse(w http.ResponseWriter, reason string) {
	e.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (e *Executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = e.clock().Milliseconds()
	body["born"] = e.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
