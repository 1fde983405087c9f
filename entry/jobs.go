package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/jobstream"
	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	jobStream = "jobs"
	// caughtUpLimit is how old the last complete read may be for a lookup to trust what is missing from the ledger.
	caughtUpLimit = 2 * time.Second
)

// errVoid marks a record that is in the log and has no effect.
var errVoid = errors.New("record has no effect")

// jobs is this entry's view of the job stream and its writer.
type jobs struct {
	clock    clockwork.Clock
	log      LogService
	ledger   *ledger.Ledger
	writer   *jobstream.Writer
	follower *jobstream.Follower
	// changes wakes those who wait for a job's state.
	changes *watches

	mu sync.Mutex
	// live holds the ids of the jobs that have not ended, by workspace.
	live map[string]map[string]bool
}

// newJobs returns jobs whose changes are passed to observe in the order of the log.
func newJobs(config Config, observe func(offset int64, change ledger.Change)) *jobs {
	j := &jobs{
		clock:   config.Clock,
		log:     config.Log,
		ledger:  ledger.New(),
		changes: newWatches(),
		live:    map[string]map[string]bool{},
	}
	j.writer = jobstream.NewWriter(jobstream.WriterConfig{
		Logger: config.Logger.Named("journal"),
		Clock:  config.Clock,
		ID:     fmt.Sprintf("%s-%d", config.ID, config.Clock.Now().UnixNano()),
		Ledger: j.ledger,
		Append: func(ctx context.Context, data []byte) (int64, error) {
			return config.Log.Append(ctx, jobStream, data)
		},
		Rejected: func(err error) bool { return errors.Is(err, logservice.ErrRejected) },
	})
	j.follower = jobstream.NewFollower(jobstream.FollowerConfig{
		Logger: config.Logger.Named("journal"),
		Clock:  config.Clock,
		Ledger: j.ledger,
		Read:   j.read,
		Observe: func(offset int64, batch *peerpb.Batch, changes []ledger.Change) {
			for _, change := range changes {
				j.count(change)
				observe(offset, change)
				j.changes.notify(change.Job)
			}
			j.writer.Observe(offset, batch, changes)
		},
		Truncate: j.writer.Truncate,
	})
	return j
}

// append writes one record and returns when it was read back. Errors wrap errVoid when it has no effect,
// jobstream.ErrNotAppended when it will never be in the log, and jobstream.ErrUnknown when it may be.
func (j *jobs) append(ctx context.Context, record *peerpb.Record) error {
	result, err := j.writer.Submit(ctx, record)
	if err != nil {
		return fmt.Errorf("append record: %w", err)
	}
	for _, change := range result.Changes {
		if !change.Applied {
			return fmt.Errorf("%w: %s", errVoid, change.Reason)
		}
	}
	return nil
}

// count keeps the number of live jobs per workspace.
func (j *jobs) count(change ledger.Change) {
	if !change.Applied || change.Job == "" {
		return
	}
	state, ok := j.ledger.Job(change.Job)
	if !ok || state.Job == nil {
		return
	}
	workspace := state.Job.GetWorkspace()
	j.mu.Lock()
	defer j.mu.Unlock()
	if !state.Live() {
		delete(j.live[workspace], change.Job)
		return
	}
	if j.live[workspace] == nil {
		j.live[workspace] = map[string]bool{}
	}
	j.live[workspace][change.Job] = true
}

// liveOf returns how many jobs of a workspace have not ended.
func (j *jobs) liveOf(workspace string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.live[workspace])
}

// isCaughtUp says whether the stream was read to its end once.
func (j *jobs) isCaughtUp() bool {
	return !j.follower.Status().Current.IsZero()
}

// isReadable says whether the log can be read now.
func (j *jobs) isReadable() bool {
	now := j.clock.Now()
	status := j.follower.Status()
	return status.Available(now) && now.Sub(status.Current) <= caughtUpLimit
}

// read adapts the log service to the follower.
func (j *jobs) read(
	ctx context.Context, from int64, limit int, wait time.Duration,
) (first, next int64, records []jobstream.Record, err error) {
	page, err := j.log.Read(ctx, jobStream, from, limit, wait)
	if err != nil {
		return 0, 0, nil, fmt.Errorf("read job stream: %w", err)
	}
	for _, record := range page.Records {
		records = append(records, jobstream.Record{
			Offset: record.Offset,
			Data:   record.Data,
		})
	}
	return page.First, page.Next, records, nil
}

// run writes and follows until ctx ends.
func (j *jobs) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	running := newGroup()
	running.spawn(ctx, "writer", j.writer.Run)
	running.spawn(ctx, "follower", j.follower.Run)
	return running.wait(stop)
}

// state returns what the log says of a job.
func (j *jobs) state(id string) (ledger.State, bool) {
	return j.ledger.Job(id)
}

// wholeEnd returns a job's end with its answer's body, which is read from the log again if it was dropped from memory.
func (j *jobs) wholeEnd(state ledger.State) *peerpb.End {
	if !state.AnswerDropped {
		return state.End
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), j.clock, readTimeout)
	defer cancel()
	page, err := j.log.Read(ctx, jobStream, state.EndOffset, 1, 0)
	if err != nil || len(page.Records) == 0 || page.Records[0].Offset != state.EndOffset {
		return state.End
	}
	batch := &peerpb.Batch{}
	if err = proto.Unmarshal(page.Records[0].Data, batch); err != nil {
		return state.End
	}
	for _, record := range batch.GetRecords() {
		if end := record.GetEnd(); end.GetJob() == state.Job.GetId() {
			return end
		}
	}
	return state.End
}

// waitCurrent waits until the stream was read to its end by a read that began after since.
func (j *jobs) waitCurrent(ctx context.Context, since time.Time) bool {
	return j.follower.WaitCurrent(ctx, since) == nil
}
