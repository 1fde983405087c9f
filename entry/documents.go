package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
)

const (
	documentStream = "document"
	// readWait is the long poll of a read; a read that takes readTimeout longer counts as the log being unavailable.
	readWait    = 500 * time.Millisecond
	readTimeout = time.Second
	readLimit   = 1000
	retryFirst  = 50 * time.Millisecond
	retryMost   = 500 * time.Millisecond
	// appendTimeout is when the outcome of an append is taken for unknown.
	appendTimeout = 2 * time.Second
	// settleTimeout is how long a publish of unknown outcome is looked for in the log.
	settleTimeout = 5 * time.Second
)

// ErrUnknownOutcome marks a publish that may or may not be in the log.
var ErrUnknownOutcome = errors.New("the log did not answer; the document may or may not have been published")

// errInexact marks a publish that was not appended because this entry could not tell whether it would count.
var errInexact = fmt.Errorf("the document in effect is not known for certain: %w", logservice.ErrRejected)

// LogService is the platform's append-only log.
type LogService interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

// StaleBaseError tells the loser of two concurrent publishes what it lost to.
type StaleBaseError struct {
	Revision int64
	Text     string
	Reason   string
}

// Error names the revision that is in effect.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("revision %d is current: %s", e.Revision, e.Reason)
}

// documents follows the document stream.
type documents struct {
	clock   clockwork.Clock
	logger  hclog.Logger
	log     LogService
	changes *signal

	mu sync.Mutex
	// read is when the last read began that reached the end of the stream.
	read    time.Time
	next    int64
	fold    *document.Fold
	results map[int64]document.Result
	records map[int64]*peerpb.DocumentRecord
}

func newDocuments(config Config) *documents {
	return &documents{
		clock:   config.Clock,
		logger:  config.Logger.Named("document"),
		log:     config.Log,
		changes: newSignal(),
		fold:    document.NewFold(),
		results: map[int64]document.Result{},
		records: map[int64]*peerpb.DocumentRecord{},
	}
}

// carry appends the current document again under its revision, before the log's retention drops its record.
func (d *documents) carry(ctx context.Context) error {
	d.mu.Lock()
	record := d.fold.Carry()
	d.mu.Unlock()
	if record == nil {
		return nil
	}
	_, err := d.append(ctx, record)
	return err
}

// current returns the highest revision known and its text.
func (d *documents) current() (int64, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision, text, _ := d.fold.Current()
	return revision, text
}

// follow reads the stream until ctx ends.
func (d *documents) follow(ctx context.Context) error {
	retry := retryFirst
	for ctx.Err() == nil {
		if err := d.readOnce(ctx); err == nil {
			retry = retryFirst
			continue
		} else if ctx.Err() == nil {
			d.logger.Warn("read document stream", "error", err, "retry", retry)
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(jitter(retry)):
		}
		retry = min(2*retry, retryMost)
	}
	return nil
}

// isReadable says whether the log was read to its end lately.
func (d *documents) isReadable() bool {
	return d.clock.Since(d.lastRead()) <= readsLimit
}

// lastRead returns when the last complete read began.
func (d *documents) lastRead() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// offer takes a document from a peer; only a higher revision counts.
func (d *documents) offer(offered *peerpb.Document) {
	d.mu.Lock()
	taken := d.fold.Offer(offered.GetRevision(), offered.GetText())
	d.mu.Unlock()
	if taken {
		d.logger.Info("document in effect", "revision", offered.GetRevision(), "source", "peer")
		d.changes.notify()
	}
}

// parsed returns the current document.
func (d *documents) parsed() document.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _, parsed := d.fold.Current()
	return parsed
}

// publish appends a document and waits until the stream says whether it counts. The error is a
// *StaleBaseError for the loser of a race, wraps ErrUnknownOutcome if the log does not tell, and
// logservice.ErrRejected if nothing was appended.
func (d *documents) publish(ctx context.Context, record *peerpb.DocumentRecord) (int64, error) {
	if _, err := document.Parse("document", []byte(record.GetText())); err != nil {
		return 0, fmt.Errorf("check document: %w", err)
	}
	if err := d.awaitExact(ctx); err != nil {
		return 0, err
	}
	record.Published = timestamppb.New(d.clock.Now())
	offset, err := d.append(ctx, record)
	if errors.Is(err, logservice.ErrRejected) {
		return 0, fmt.Errorf("publish document: %w", err)
	}
	if err != nil {
		offset = -1
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return d.awaitResult(ctx, offset, record)
}

func (d *documents) append(ctx context.Context, record *peerpb.DocumentRecord) (int64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := d.log.Append(ctx, documentStream, data)
	if err != nil {
		return 0, fmt.Errorf("append document: %w", err)
	}
	return offset, nil
}

// awaitExact waits until the fold can judge a publish. Without that the operator would be told that the publish lost,
// and it could take effect once a carry or a peer settles the fold.
func (d *documents) awaitExact(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		changed := d.changes.changed()
		if d.isExact() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("publish document: %w", errInexact)
		case <-changed:
		}
	}
}

// isExact says whether the fold can judge a publish. An empty log that never had a record has nothing to miss.
func (d *documents) isExact() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fold.Exact() || (d.next == 0 && !d.read.IsZero())
}

// awaitResult waits for the record at an offset, or for an equal record if the offset is unknown (-1).
func (d *documents) awaitResult(ctx context.Context, offset int64, record *peerpb.DocumentRecord) (int64, error) {
	for {
		changed := d.changes.changed()
		if result, ok := d.result(offset, record); ok {
			return d.outcome(result)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("publish document: %w", ErrUnknownOutcome)
		case <-changed:
		}
	}
}

// isKnown says whether the stream was read to its end once or a peer sent a document. Without one every caller's token
// looks invalid.
func (d *documents) isKnown() bool {
	revision, _ := d.current()
	return revision > 0 || !d.lastRead().IsZero()
}

func (d *documents) outcome(result document.Result) (int64, error) {
	if result.Applied {
		return result.Revision, nil
	}
	revision, text := d.current()
	return 0, &StaleBaseError{
		Revision: revision,
		Text:     text,
		Reason:   result.Reason,
	}
}

func (d *documents) result(offset int64, record *peerpb.DocumentRecord) (document.Result, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offset >= 0 {
		result, ok := d.results[offset]
		return result, ok
	}
	for at, seen := range d.records {
		if proto.Equal(seen, record) {
			return d.results[at], true
		}
	}
	return document.Result{}, false
}

func (d *documents) readOnce(ctx context.Context) error {
	started := d.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readWait+readTimeout)
	defer cancel()
	d.mu.Lock()
	from := d.next
	d.mu.Unlock()
	page, err := d.log.Read(ctx, documentStream, from, readLimit, readWait)
	if err != nil {
		return fmt.Errorf("read from offset %d: %w", from, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if page.First > d.next {
		d.next = page.First
	}
	for _, record := range page.Records {
		d.apply(record)
	}
	first := d.read.IsZero()
	if d.next >= page.Next {
		d.read = started
	}
	if len(page.Records) > 0 || first {
		d.changes.notify()
	}
	return nil
}

func (d *documents) apply(raw logservice.Record) {
	if raw.Offset < d.next {
		// A log may return records below the offset that was asked for.
		return
	}
	d.next = raw.Offset + 1
	record := &peerpb.DocumentRecord{}
	if err := proto.Unmarshal(raw.Data, record); err != nil {
		d.logger.Error("skip unreadable document record", "offset", raw.Offset, "error", err)
		d.fold.Apply(raw.Offset, nil)
		return
	}
	result := d.fold.Apply(raw.Offset, record)
	if result.Applied && record.GetCarried() == 0 {
		// The fold's revision may be that of a later publish, learned from a peer.
		result.Revision = raw.Offset + 1
	}
	if d.fold.Exact() {
		// A fold that is not exact may apply the record later.
		d.results[raw.Offset] = result
		d.records[raw.Offset] = record
	}
	d.forget(raw.Offset - readLimit)
	if record.GetCarried() != 0 {
		return
	}
	if result.Applied {
		d.logger.Info("document in effect", "revision", result.Revision, "author", record.GetAuthor(), "source", "log")
		return
	}
	d.logger.Warn("document ignored", "offset", raw.Offset, "author", record.GetAuthor(), "reason", result.Reason)
}

func (d *documents) forget(before int64) {
	for offset := range d.results {
		if offset < before {
			delete(d.results, offset)
			delete(d.records, offset)
		}
	}
}
