package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"radishpath": func() { os.Exit(Execute(os.Args[1:])) },
	})
}

// TestScripts guards the command line: output, exit codes, and what is sent to the servers. Each command has its
// script, which says what it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			admin := httptest.NewServer(operator.NewServer(fakeEntry()))
			callers := httptest.NewServer(&fakeCallers{})
			env.Defer(admin.Close)
			env.Defer(callers.Close)
			env.Setenv("RADISHPATH_ADMIN", strings.TrimPrefix(admin.URL, "http://"))
			env.Setenv("RADISHPATH_SERVER", callers.URL)
			env.Setenv("RADISHPATH_TOKEN", "night")
			return nil
		},
	})
}

// fakeEntry is an entry whose log answers at once. A text with the word unconfirmed is never confirmed by agent-3, and
// the outcome of one with the word unknown is not known.
func fakeEntry() operator.ServerConfig {
	fold := document.NewFold()
	var mu sync.Mutex
	current := func() operator.Document {
		mu.Lock()
		defer mu.Unlock()
		revision, text, _ := fold.Current()
		return operator.Document{
			Revision: revision,
			Text:     text,
		}
	}
	return operator.ServerConfig{
		Clock: clockwork.NewRealClock(),
		Operators: []settings.Operator{
			{
				Name: "ana",
				Hash: document.HashToken("night"),
			},
		},
		Document: current,
		History: func() []operator.Revision {
			mu.Lock()
			defer mu.Unlock()
			var revisions []operator.Revision
			for _, revision := range fold.History() {
				revisions = append(revisions, operator.Revision(revision))
			}
			return revisions
		},
		Revision: func(number int64) (operator.Revision, bool) {
			mu.Lock()
			defer mu.Unlock()
			revision, ok := fold.Revision(number)
			return operator.Revision(revision), ok
		},
		Publish: func(_ context.Context, request operator.PublishRequest) (operator.PublishResult, error) {
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(request.Text, "unknown") {
				return operator.PublishResult{}, context.DeadlineExceeded
			}
			result := fold.Apply(fold.Next(), &peerpb.DocumentRecord{
				Base:   request.Base,
				Text:   request.Text,
				Author: request.Author,
			})
			return operator.PublishResult{
				Revision: result.Revision,
				Applied:  result.Applied,
				Reason:   result.Reason,
			}, nil
		},
		InEffect: func(int64) []string {
			if strings.Contains(current().Text, "unconfirmed") {
				return []string{"agent-3"}
			}
			return nil
		},
		Workers: func() []operator.Worker {
			return []operator.Worker{
				{
					ID:           "w1",
					Zone:         "curepipe",
					Rack:         "r1",
					Accelerators: 8,
					Free:         6,
					Slots:        8,
					State:        "ready",
				},
			}
		},
		Workspaces: func() []operator.Workspace {
			return []operator.Workspace{
				{
					Name:       "weddings",
					Share:      40,
					Guarantees: []string{"1x8@worker"},
					Waiting:    1,
				},
			}
		},
		Queue: func() []operator.Job {
			return []operator.Job{
				{
					ID:        "j1",
					Workspace: "weddings",
					Shape:     "1x8@worker",
					Reasons:   []string{"no worker has 8 free accelerators"},
				},
			}
		},
	}
}

// fakeCallers answers by the job's id, which names the state. A job with the id slow ends at the second question.
type fakeCallers struct {
	mu    sync.Mutex
	asked int
}

func (f *fakeCallers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/v1/jobs/")
	if r.Method == http.MethodPost {
		var submission callerclient.Submission
		if err := json.NewDecoder(r.Body).Decode(&submission); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id = submission.ID
		if submission.Members > 1024 {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"findings":[{"field":"members","problem":"5000 is above the limit of 1024"}]}`))
			return
		}
	}
	job := callerclient.Job{
		ID:        id,
		State:     callerclient.StateDone,
		Workspace: "weddings",
		Answer:    "42",
	}
	switch id {
	case "broken":
		w.WriteHeader(http.StatusBadGateway)
		return
	case "absent":
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"findings":[{"field":"id","problem":"no such job"}]}`))
		return
	case "lost", "refused", "queued", "unknown":
		job.State, job.Answer = id, ""
		job.Reasons = []string{"no worker has 8 free accelerators"}
	case "slow":
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.asked++; f.asked < 2 {
			job.State, job.Answer = callerclient.StateRunning, ""
		}
	}
	if r.Method == http.MethodDelete {
		job.State, job.Answer = callerclient.StateCancelled, ""
	}
	_ = json.NewEncoder(w).Encode(job)
}

// TestTopRefreshes guards against a table that stops after one page on a terminal, or does not stop when interrupted.
func TestTopRefreshes(t *testing.T) {
	server := httptest.NewServer(operator.NewServer(fakeEntry()))
	defer server.Close()
	clock := clockwork.NewFakeClock()
	out := &strings.Builder{}
	config := &Config{
		Clock:    clock,
		Stdout:   out,
		Stderr:   out,
		Terminal: func() bool { return true },
		Getenv: func(name string) string {
			return map[string]string{
				"RADISHPATH_ADMIN": server.URL,
				"RADISHPATH_TOKEN": "night",
			}[name]
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan int, 1)
	go func() { done <- config.run(ctx, []string{"top"}) }()
	for range 2 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(2 * time.Second)
	}
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	if code := <-done; code != exitOK {
		t.Fatalf("exit code %d", code)
	}
	if pages := strings.Count(out.String(), clearScreen); pages != 3 {
		t.Fatalf("%d pages instead of 3", pages)
	}
}
