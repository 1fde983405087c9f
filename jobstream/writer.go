package jobstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/ledger"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// window is how long the first record of a batch waits for others: short beside the few milliseconds of an
	// append, and long enough to stay below the log's several hundred appends per second.
	window = 5 * time.Millisecond
	// appendTimeout is the limit of design section 6; after it the outcome is unknown.
	appendTimeout = 2 * time.Second
	// baseTimeout limits the wait for the previous batch before carries are written.
	baseTimeout = time.Second
	// maxBatchBytes bounds a batch unless a single submission is larger; answers have up to 1 MiB.
	maxBatchBytes = 2 << 20
	maxCarryBytes = 1 << 20
	// defaultQueue is the number of queued submissions, maxQueueBytes their size. The queue fills while the log is
	// unavailable; both bounds keep it to an eighth of the memory for control.
	defaultQueue  = 4096
	maxQueueBytes = 32 << 20
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// ID names the writer in the log; it must be unique for every start of a process.
	ID     string
	Ledger *ledger.Ledger
	Append AppendFunc
	// Rejected says that an error of Append means that nothing was appended.
	Rejected func(error) bool
	// Queue is the number of submissions that may wait; zero means 4096.
	Queue int
}

// Writer appends records to the job stream in batches.
type Writer struct {
	config WriterConfig
	mu     sync.Mutex
	queue  []*submission
	bytes  int
	// status holds the fields about appends; Status adds the others.
	status WriterStatus
	// stopped says that Run has ended.
	stopped bool
	// awaiting are the batches that may be in the log and were not folded, by sequence.
	awaiting map[uint64]*batch
	// last is the youngest batch that may be in the log; only Run uses it.
	last *batch
	wake chan struct{}
}

// NewWriter returns a Writer.
func NewWriter(config WriterConfig) *Writer {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Queue == 0 {
		config.Queue = defaultQueue
	}
	return &Writer{
		config:   config,
		awaiting: map[uint64]*batch{},
		wake:     make(chan struct{}, 1),
	}
}

// Carry restates the jobs that are live when the batches are written, in batches of about 1 MiB. Errors are those of
// Submit; some of the jobs may be restated then. The changes leave out jobs that were not live any more.
func (w *Writer) Carry(ctx context.Context, ids ...string) ([]ledger.Change, error) {
	var changes []ledger.Change
	for len(ids) > 0 {
		count := w.carryCount(ids)
		s, err := newSubmission(w.config.Clock.Now(), nil, ids[:count])
		if err != nil {
			return changes, err
		}
		result, err := w.submit(ctx, s)
		if err != nil {
			return changes, err
		}
		changes = append(changes, result.Changes...)
		ids = ids[count:]
	}
	return changes, nil
}

// Observe must be called for every folded batch in the order of the log.
func (w *Writer) Observe(offset int64, observed *peerpb.Batch, changes []ledger.Change) {
	if observed.GetWriter() != w.config.ID {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b, ok := w.awaiting[observed.GetSequence()]
	if !ok {
		return
	}
	delete(w.awaiting, b.sequence)
	b.fold(offset, changes)
}

// Run appends until ctx ends. Submissions that are left then end with ErrNotAppended or ErrUnknown.
func (w *Writer) Run(ctx context.Context) error {
	defer w.stop()
	for {
		group := w.gather(ctx)
		if ctx.Err() != nil {
			w.requeue(group)
			return nil
		}
		w.write(ctx, group)
	}
}

// Status returns how the writer's appends fare.
func (w *Writer) Status() WriterStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.status
	status.Queued = len(w.queue)
	status.Bytes = w.bytes
	status.Unsettled = len(w.awaiting)
	return status
}

// Submit appends records in one batch and returns when the batch was folded. An error wraps ErrNotAppended or
// ErrUnknown. Records must not be changed afterwards. A carry is written with Carry.
func (w *Writer) Submit(ctx context.Context, records ...*peerpb.Record) (Result, error) {
	for _, record := range records {
		if record.GetCarry() != nil {
			return Result{}, fmt.Errorf("%w: a carry was submitted as a plain record", ErrNotAppended)
		}
	}
	s, err := newSubmission(w.config.Clock.Now(), records, nil)
	if err != nil {
		return Result{}, err
	}
	return w.submit(ctx, s)
}

// Truncate must be called when the log lost records below an offset before they were folded. Batches among them end
// with ErrUnknown.
func (w *Writer) Truncate(first int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for sequence, b := range w.awaiting {
		if b.offset >= 0 && b.offset < first {
			delete(w.awaiting, sequence)
			b.fail(fmt.Errorf("%w: batch %d was truncated before it was read", ErrUnknown, sequence))
		}
	}
}

// attempt appends a batch once and reports whether it is in the log.
func (w *Writer) attempt(ctx context.Context, b *batch) bool {
	limited, cancel := withTimeout(ctx, w.config.Clock, appendTimeout)
	defer cancel()
	w.noteBegin()
	offset, err := w.config.Append(limited, b.data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteEnd(err)
	if err == nil {
		b.offset = offset
	}
	if err == nil || b.isSettled() {
		return true
	}
	w.config.Logger.Warn("append batch", "sequence", b.sequence, "records", len(b.submissions), "error", err)
	if !b.unknown && w.config.Rejected(err) {
		delete(w.awaiting, b.sequence)
		expose(b.submissions, absent)
		return false
	}
	b.unknown = true
	return false
}

// base appends an empty batch and waits until it was folded, so that carries may follow it. An older batch would do
// for readers that have it, but the log may be about to truncate it.
func (w *Writer) base(ctx context.Context) error {
	w.send(ctx, nil)
	if w.last == nil {
		return fmt.Errorf("%w: no batch before the carries", ErrNotAppended)
	}
	timer := w.config.Clock.NewTimer(baseTimeout)
	defer timer.Stop()
	select {
	case <-w.last.settled:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	if !w.last.isSettled() || !w.last.folded {
		return fmt.Errorf("%w: batch %d before the carries was not read back", ErrNotAppended, w.last.sequence)
	}
	return nil
}

// carryCount returns how many of the first ids make a batch of about maxCarryBytes; at least one.
func (w *Writer) carryCount(ids []string) int {
	var bytes int
	for i, id := range ids {
		if i > 0 && bytes > maxCarryBytes {
			return i
		}
		bytes += proto.Size(w.config.Ledger.Carry(id))
	}
	return len(ids)
}

// compose writes the carries of a group and returns the submissions to append.
func (w *Writer) compose(ctx context.Context, group []*submission) []*submission {
	if !hasCarry(group) {
		return group
	}
	err := w.base(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []*submission
	for _, s := range group {
		if s.exposure == withdrawn {
			continue
		}
		failure := err
		if s.carry != nil && err == nil {
			failure = s.restate(w.config.Ledger)
		}
		if s.carry != nil && failure != nil {
			s.finish(outcome{
				err: failure,
			})
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// discard forgets a batch without submissions.
func (w *Writer) discard(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.awaiting, b.sequence)
}

// drop removes a submission from the queue.
func (w *Writer) drop(s *submission) {
	for i, queued := range w.queue {
		if queued == s {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.bytes -= s.bytes
			return
		}
	}
}

func (w *Writer) enqueue(s *submission) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return fmt.Errorf("%w: writer stopped", ErrNotAppended)
	}
	if len(w.queue) >= w.config.Queue || w.bytes+s.bytes > maxQueueBytes {
		return errors.Join(ErrNotAppended, ErrFull)
	}
	w.queue = append(w.queue, s)
	w.bytes += s.bytes
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// gather waits for submissions and takes the next group from the queue.
func (w *Writer) gather(ctx context.Context) []*submission {
	for ctx.Err() == nil {
		oldest, ok := w.oldest()
		if !ok {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		if wait := window - w.config.Clock.Since(oldest); wait > 0 {
			sleep(ctx, w.config.Clock, wait)
		}
		if group := w.take(); len(group) > 0 {
			return group
		}
	}
	return nil
}

// noteBegin keeps the status of an append that begins.
func (w *Writer) noteBegin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status.Appending = w.config.Clock.Now()
}

// noteEnd keeps the status of an append that ended; the caller holds the lock.
func (w *Writer) noteEnd(err error) {
	w.status.Appending = time.Time{}
	w.status.Err = err
	switch {
	case err == nil:
		w.status.Failing = time.Time{}
	case w.status.Failing.IsZero():
		w.status.Failing = w.config.Clock.Now()
	}
}

// oldest returns the arrival of the first submission in the queue.
func (w *Writer) oldest() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return time.Time{}, false
	}
	return w.queue[0].arrived, true
}

// prepare builds the batch of the submissions that were not withdrawn and marks them as exposed.
func (w *Writer) prepare(group []*submission) (*batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []*submission
	for _, s := range group {
		if s.exposure != withdrawn {
			rest = append(rest, s)
		}
	}
	sequence := uint64(1)
	if w.last != nil {
		sequence = w.last.sequence + 1
	}
	b, err := newBatch(w.config.ID, sequence, rest)
	if err != nil {
		return nil, err
	}
	expose(rest, exposed)
	w.awaiting[sequence] = b
	return b, nil
}

// reject ends every submission of a group with an error.
func (w *Writer) reject(group []*submission, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range group {
		if s.exposure != withdrawn {
			s.finish(outcome{
				err: err,
			})
		}
	}
}

// requeue puts a group that was not sent back to the front of the queue.
func (w *Writer) requeue(group []*submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(group, w.queue...)
}

// send appends a group until a copy of the batch is in the log, every submitter withdrew, or ctx ends.
func (w *Writer) send(ctx context.Context, group []*submission) {
	retry := newBackoff()
	marker := len(group) == 0
	for ctx.Err() == nil {
		b, err := w.prepare(group)
		if err != nil {
			w.reject(group, err)
			return
		}
		if len(b.submissions) == 0 && !marker {
			w.discard(b)
			return
		}
		group = b.submissions
		done := w.attempt(ctx, b)
		if done || b.unknown {
			w.last = b
		}
		if done {
			return
		}
		if b.unknown {
			w.settle(ctx, b)
			return
		}
		sleep(ctx, w.config.Clock, retry.NextBackOff())
	}
	w.requeue(group)
}

// settle appends a batch of unknown outcome again until a copy is known to be in the log.
func (w *Writer) settle(ctx context.Context, b *batch) {
	retry := newBackoff()
	for ctx.Err() == nil {
		timer := w.config.Clock.NewTimer(retry.NextBackOff())
		select {
		case <-b.settled:
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
		if b.isSettled() || ctx.Err() != nil || w.attempt(ctx, b) {
			return
		}
	}
}

// stop ends every submission that is left.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, s := range w.queue {
		if s.exposure != withdrawn {
			s.finish(outcome{
				err: fmt.Errorf("%w: writer stopped", ErrNotAppended),
			})
		}
	}
	w.queue = nil
	for sequence, b := range w.awaiting {
		delete(w.awaiting, sequence)
		b.fail(fmt.Errorf("%w: writer stopped", ErrUnknown))
	}
}

func (w *Writer) submit(ctx context.Context, s *submission) (Result, error) {
	if err := w.enqueue(s); err != nil {
		return Result{}, err
	}
	select {
	case end := <-s.done:
		return end.result, end.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case end := <-s.done:
		return end.result, end.err
	default:
	}
	if s.exposure == absent {
		s.exposure = withdrawn
		w.drop(s)
		return Result{}, fmt.Errorf("%w: %w", ErrNotAppended, context.Cause(ctx))
	}
	return Result{}, fmt.Errorf("%w: %w", ErrUnknown, context.Cause(ctx))
}

// take removes the next group from the queue.
func (w *Writer) take() []*submission {
	w.mu.Lock()
	defer w.mu.Unlock()
	var group []*submission
	var bytes int
	for len(w.queue) > 0 {
		s := w.queue[0]
		if len(group) > 0 && bytes+s.bytes > maxBatchBytes {
			break
		}
		w.queue = w.queue[1:]
		w.bytes -= s.bytes
		bytes += s.bytes
		group = append(group, s)
	}
	return group
}

func (w *Writer) write(ctx context.Context, group []*submission) {
	if group = w.compose(ctx, group); len(group) > 0 {
		w.send(ctx, group)
	}
}

func expose(submissions []*submission, to exposure) {
	for _, s := range submissions {
		if s.exposure != withdrawn {
			s.exposure = to
		}
	}
}

func hasCarry(group []*submission) bool {
	for _, s := range group {
		if s.carry != nil {
			return true
		}
	}
	return false
}
