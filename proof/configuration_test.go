package proof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/operator"
	"radishpath.example/radishpath/peer/peerpb"
	"radishpath.example/radishpath/proof/harness"
	"radishpath.example/radishpath/standin/logserver"
)

// retention is the shortest that an entry accepts.
const retention = 10 * time.Second

// revisionPoll is the interval at which a test asks every process for its revision.
const revisionPoll = 50 * time.Millisecond

// watch asks every entry all the time for its own revision and for those that the agents announce, and notes every
// one that is lower than before. A process that was started again has no document at first.
type watch struct {
	suite  *suite
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	highest map[string]int64
	// latest is what each run of an entry knows: its own revision and those of the agents.
	latest map[int]map[string]int64
	// restarts counts how often the test started an agent again; seen is the count at which a process's restart showed.
	restarts map[string]int
	seen     map[string]int
	reverts  []error
}

// startWatch watches until stop is called or the test ends.
func (s *suite) startWatch() *watch {
	ctx, cancel := context.WithCancel(s.t.Context())
	w := &watch{
		suite:    s,
		cancel:   cancel,
		done:     make(chan struct{}),
		highest:  map[string]int64{},
		latest:   map[int]map[string]int64{},
		restarts: map[string]int{},
		seen:     map[string]int{},
	}
	go w.run(ctx, s.cluster.Entries)
	s.t.Cleanup(w.stop)
	return w
}

// renew includes the entries that the test added.
func (w *watch) renew() {
	w.stop()
	ctx, cancel := context.WithCancel(w.suite.t.Context())
	w.cancel = cancel
	w.done = make(chan struct{})
	go w.run(ctx, append([]*harness.Entry{}, w.suite.cluster.Entries...))
}

// stop ends the questions.
func (w *watch) stop() {
	w.cancel()
	<-w.done
}

func (w *watch) run(ctx context.Context, entries []*harness.Entry) {
	defer close(w.done)
	var asking sync.WaitGroup
	defer asking.Wait()
	for _, entry := range entries {
		asking.Go(func() {
			for ctx.Err() == nil {
				w.ask(ctx, entry)
				w.suite.clock.Sleep(revisionPoll)
			}
		})
	}
}

func (w *watch) ask(ctx context.Context, entry *harness.Entry) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	run := entry.PID()
	admin := operator.NewClient(operator.ClientConfig{
		Address: entry.Admin,
		Token:   harness.OperatorToken,
	})
	current, err := admin.Document(ctx)
	if err != nil || entry.PID() != run {
		return
	}
	known := map[string]int64{
		entry.Name: current.Revision,
	}
	w.note("", fmt.Sprintf("%s (process %d)", entry.Name, run), current.Revision)
	workers, err := admin.Workers(ctx)
	if err == nil && entry.PID() == run {
		for _, worker := range workers {
			known[worker.ID] = worker.Revision
			w.note(worker.ID, fmt.Sprintf("%s as announced to %s (process %d)", worker.ID, entry.Name, run), worker.Revision)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latest[run] = known
}

// restart starts an agent again. Each entry may then see once that it has no document.
func (w *watch) restart(agent *harness.Agent) {
	w.suite.t.Helper()
	w.mu.Lock()
	w.restarts[agent.Name]++
	w.mu.Unlock()
	agent.Restart()
}

// note records a revision that a process reported. The agent is empty for an entry.
func (w *watch) note(agent, process string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision == 0 && w.seen[process] < w.restarts[agent] {
		w.seen[process] = w.restarts[agent]
		w.highest[process] = 0
	}
	if revision < w.highest[process] {
		w.reverts = append(w.reverts, fmt.Errorf("%s reverted from revision %d to %d", process, w.highest[process],
			revision))
	}
	w.highest[process] = max(revision, w.highest[process])
}

// requireEffect waits until every running process has the revision, at most until 5 s after a time.
func (w *watch) requireEffect(revision int64, since time.Time) {
	w.suite.t.Helper()
	w.suite.await(few-w.suite.clock.Since(since), func() bool { return len(w.missing(revision)) == 0 },
		fmt.Sprintf("revision %d in effect everywhere", revision))
	require.NoError(w.suite.t, w.reverted())
}

// missing names the running processes that have a lower revision.
func (w *watch) missing(revision int64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	missing := []string{}
	for _, entry := range w.suite.cluster.Entries {
		if !entry.Running() {
			continue
		}
		if w.latest[entry.PID()][entry.Name] < revision {
			missing = append(missing, entry.Name)
		}
		for _, agent := range w.suite.cluster.Agents {
			if agent.Running() && w.latest[entry.PID()][agent.Name] < revision {
				missing = append(missing, agent.Name+" at "+entry.Name)
			}
		}
	}
	return missing
}

// reverted returns an error for each process that went back.
func (w *watch) reverted() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.reverts...)
}

// TestConfigurationRace guards against two operators who both win, both lose, or are not told of the other's text.
func TestConfigurationRace(t *testing.T) {
	t.Parallel()
	s := newSuite(t, len(zones), harness.ClusterConfig{})
	w := s.startWatch()
	for round := range 5 {
		current, err := s.admin(0).Document(t.Context())
		require.NoError(t, err)
		errs := make([]error, 2)
		results := make([]operator.PublishResult, 2)
		texts := []string{document([]string{zones[round%3]}), document([]string{zones[(round+1)%3]})}
		var both sync.WaitGroup
		for i := range errs {
			both.Go(func() {
				results[i], errs[i] = s.admin(i).Publish(t.Context(), operator.PublishRequest{
					Base: current.Revision,
					Text: texts[i],
				})
			})
		}
		both.Wait()
		published := s.clock.Now()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		require.NoError(t, errs[winner])
		require.True(t, results[winner].Applied)
		conflict := &operator.ConflictError{}
		require.ErrorAs(t, errs[1-winner], &conflict)
		require.Equal(t, texts[winner], conflict.Current.Text)
		require.NotEmpty(t, conflict.Diff)
		w.requireEffect(results[winner].Revision, published)
	}
}

// TestConfigurationFailures guards against an accepted document that is not in effect everywhere within 5 s, or that
// a process forgets, when processes and the log fail after the publish.
func TestConfigurationFailures(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(s *suite, w *watch, revision int64)
	}{
		{
			name: "entries restarted one after the other",
			fail: func(s *suite, w *watch, revision int64) {
				for _, entry := range s.cluster.Entries {
					entry.Restart()
					w.requireEffect(revision, s.clock.Now())
				}
			},
		},
		{
			name: "all entries but one killed and replaced",
			fail: func(s *suite, w *watch, revision int64) {
				s.cluster.Entries[0].Kill()
				s.cluster.Entries[1].Kill()
				for range 2 {
					s.cluster.AddEntry()
					w.renew()
				}
				w.requireEffect(revision, s.clock.Now())
			},
		},
		{
			// Only the peers have the document then.
			name: "log unavailable and an entry and an agent restarted",
			fail: func(s *suite, w *watch, revision int64) {
				w.requireEffect(revision, s.clock.Now())
				s.cluster.Log.SetFaults(logserver.Faults{
					Unavailable: "close",
				})
				s.cluster.Entries[0].Restart()
				w.restart(s.cluster.Agents[0])
				w.requireEffect(revision, s.clock.Now())
				s.cluster.Log.SetFaults(logserver.Faults{})
				s.pass(s.clock.Now().Add(time.Second))
				w.requireEffect(revision, s.clock.Now())
			},
		},
		{
			name: "log unavailable at once",
			fail: func(s *suite, w *watch, revision int64) {
				accepted := s.clock.Now()
				s.cluster.Log.SetFaults(logserver.Faults{
					Unavailable: "refuse",
				})
				w.requireEffect(revision, accepted)
			},
		},
		{
			// Records like those of an entry that was paused since before the publish.
			name: "older documents offered again",
			fail: func(s *suite, w *watch, revision int64) {
				w.requireEffect(revision, s.clock.Now())
				for _, record := range []*peerpb.DocumentRecord{
					{
						Carried: revision - 1,
						Text:    document(nil),
						Author:  "paused",
					},
					{
						Base:   revision - 1,
						Text:   document(nil),
						Author: "paused",
					},
				} {
					data, err := proto.Marshal(record)
					require.NoError(s.t, err)
					_, err = s.cluster.Log.Client.Append(s.t.Context(), "document", data)
					require.NoError(s.t, err)
				}
				s.cluster.Entries[2].Restart()
				w.restart(s.cluster.Agents[2])
				w.requireEffect(revision, s.clock.Now())
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSuite(t, len(zones), harness.ClusterConfig{})
			w := s.startWatch()
			s.publish(0, document([]string{zones[1]}))
			revision, accepted := s.accept(1, document([]string{zones[2]}))
			c.fail(s, w, revision)
			if s.clock.Since(accepted) < few {
				w.requireEffect(revision, accepted)
			}
			// Restarted agents announce themselves within this time.
			s.pass(s.clock.Now().Add(time.Second))
			w.requireEffect(revision, s.clock.Now())
			s.requireText(document([]string{zones[2]}))
		})
	}
}

// TestConfigurationRetention guards against a document that is lost when its record is past the log's retention, for
// processes that start later.
func TestConfigurationRetention(t *testing.T) {
	t.Parallel()
	s := newSuite(t, len(zones), harness.ClusterConfig{
		Entry: harness.EntryConfig{
			Retention: retention.String(),
		},
		Log: []string{"--retention", retention.String()},
	})
	w := s.startWatch()
	text := document([]string{zones[1]})
	revision, accepted := s.accept(0, text)
	w.requireEffect(revision, accepted)
	s.pass(accepted.Add(retention + few))
	page, err := s.cluster.Log.Client.Read(t.Context(), "document", 0, 1, 0)
	require.NoError(t, err)
	require.GreaterOrEqual(t, page.First, revision, "the log still has the publish")

	started := s.clock.Now()
	entry := s.cluster.AddEntry()
	s.cluster.AddWorker(harness.WorkerConfig{
		ID:   "w-new",
		Zone: zones[0],
		Rack: zones[0] + "-r2",
	})
	w.renew()
	w.requireEffect(revision, started)
	s.requireText(text)
	// Without its peers, the new entry has the document from the log alone.
	for _, other := range s.cluster.Entries[:3] {
		other.Kill()
	}
	restarted := s.clock.Now()
	entry.Restart()
	w.requireEffect(revision, restarted)
	s.requireText(text)
}

// requireText checks the document of every running entry.
func (s *suite) requireText(text string) {
	s.t.Helper()
	for i, entry := range s.cluster.Entries {
		if !entry.Running() {
			continue
		}
		current, err := s.admin(i).Document(s.t.Context())
		require.NoError(s.t, err)
		require.Equal(s.t, text, current.Text, entry.Name)
	}
}
