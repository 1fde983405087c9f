package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/document"
)

const (
	// documentKeyPrefix is the prefix of keys in the document log, followed by the revision.
	documentKeyPrefix = "text/"
	// maxStoredDocuments is the number of revisions whose text is retained.
	maxStoredDocuments = 64
	// maxAttempts limits the attempts of a publish when the log keeps being changed by others.
	maxAttempts = 5
)

// KeyedLog is a keyed log of the store.
type KeyedLog struct {
	ReadLatest func(ctx context.Context) (cell.Page, error)
	Append     func(ctx context.Context, records []cell.LogRecord, fence *cell.Fence, expectedEnd int64) (int64, error)
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// Author is recorded in the history.
	Author string
	// Operations is the operators' log, Documents the log that stores the texts.
	Operations KeyedLog
	Documents  KeyedLog
	// ApplyRecord returns operations with a record of the operators' log applied. An error says what of the record was
	// left out; the returned operations hold in any case.
	ApplyRecord func(operations cell.Operations, record cell.LogRecord) (cell.Operations, error)
	// DiffRecords returns the records to append to the current ones to arrive at next.
	DiffRecords func(current []cell.LogRecord, next cell.Operations) ([]cell.LogRecord, error)
}

// Publisher reads and publishes documents.
type Publisher struct {
	config PublisherConfig
}

// NewPublisher returns a Publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{
		config: config,
	}
}

// Current returns the current document. If another tool published it without a text, the text is generated.
func (p *Publisher) Current(ctx context.Context) (Document, error) {
	operationsPage, err := p.config.Operations.ReadLatest(ctx)
	if err != nil {
		return Document{}, fmt.Errorf("read the operators' log: %w", err)
	}
	current := Document{
		operationsPage: operationsPage,
	}
	skipped := false
	for _, record := range operationsPage.Records {
		operations, applyErr := p.config.ApplyRecord(current.Operations, record)
		if applyErr != nil {
			// Entries skip it as well. An operator must be able to publish over it.
			p.config.Logger.Warn("skipping invalid record in operations log", "key", record.Key, "offset", record.Offset,
				"error", applyErr)
			skipped = true
		}
		current.Operations = operations
	}
	current.Revision = current.Operations.Config.Version
	if !current.Operations.Loaded && !skipped {
		return current, nil
	}
	if !current.Operations.Loaded {
		return p.lastStored(ctx, current)
	}
	current.Text, err = p.documentText(ctx, current.Operations)
	return current, err
}

// lastStored returns a document whose configuration can't be read with the newest stored revision, which the entries
// may still use: a document with a lower one would have no effect on them.
func (p *Publisher) lastStored(ctx context.Context, unreadable Document) (Document, error) {
	history, err := p.History(ctx)
	if err != nil || len(history) == 0 {
		return unreadable, err
	}
	unreadable.Revision = history[0].Revision
	unreadable.Text = history[0].Text
	return unreadable, nil
}

// History returns the stored revisions, newest first.
func (p *Publisher) History(ctx context.Context) ([]Revision, error) {
	page, err := p.config.Documents.ReadLatest(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the document log: %w", err)
	}
	var history []Revision
	for _, record := range page.Records {
		message := &cellpb.Record{}
		err = errors.Join(record.Err, proto.Unmarshal(record.Value, message))
		if err != nil || message.GetDocument() == nil {
			p.config.Logger.Warn("skipping invalid record in document log", "key", record.Key, "offset", record.Offset,
				"error", err)
			continue
		}
		stored := message.GetDocument()
		if record.Key != documentKey(stored.GetRevision()) {
			p.config.Logger.Warn("skipping record under another revision's key in document log", "key", record.Key,
				"offset", record.Offset)
			continue
		}
		history = append(history, Revision{
			Revision:    stored.GetRevision(),
			Text:        stored.GetText(),
			Author:      stored.GetAuthor(),
			PublishedAt: time.UnixMilli(stored.GetPublishedMs()).UTC(),
		})
	}
	slices.SortFunc(history, func(a, b Revision) int { return cmp.Compare(b.Revision, a.Revision) })
	return history, nil
}

// Publish publishes a text that was edited from baseRevision.
func (p *Publisher) Publish(ctx context.Context, baseRevision int64, text string) (PublishResult, error) {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil {
		return PublishResult{}, fmt.Errorf("document: %w", err)
	}
	for range maxAttempts {
		current, readErr := p.Current(ctx)
		if readErr != nil {
			return PublishResult{}, readErr
		}
		if current.Revision != baseRevision {
			return PublishResult{}, &ConflictError{
				BaseRevision: baseRevision,
				Current:      current,
				Diff:         document.Diff(current.Text, text),
			}
		}
		next := parsed.Operations(baseRevision + 1)
		published, publishErr := p.append(ctx, current, next)
		var endMismatch *cell.EndMismatchError
		if errors.As(publishErr, &endMismatch) {
			// Another writer appended first, possibly a record that does not affect the document.
			continue
		}
		if publishErr != nil {
			return PublishResult{}, publishErr
		}
		p.storeDocument(ctx, published.Revision, text)
		return published, nil
	}
	return PublishResult{}, fmt.Errorf("concurrent changes of the operators' log in %d attempts; nothing was published",
		maxAttempts)
}

func (p *Publisher) append(
	ctx context.Context, current Document, next cell.Operations,
) (PublishResult, error) {
	records, err := p.config.DiffRecords(current.operationsPage.Records, next)
	if err != nil {
		return PublishResult{}, fmt.Errorf("publish: %w", err)
	}
	offset, err := p.config.Operations.Append(ctx, records, nil, current.operationsPage.End)
	if err != nil && !errors.Is(err, cell.ErrOutcomeUnknown) {
		return PublishResult{}, fmt.Errorf("nothing was published: %w", err)
	}
	published := PublishResult{
		Revision: next.Config.Version,
		Offset:   offset + int64(len(records)) - 1,
	}
	if err == nil {
		return published, nil
	}
	// The append was conditional on the end of the log, so reading the log again shows whether it succeeded. If the
	// records are missing, the append may still be in progress.
	reread, readErr := p.Current(ctx)
	if readErr == nil && reread.operationsPage.End == current.operationsPage.End+int64(len(records)) &&
		equalOperations(reread.Operations, next) {
		published.Offset = reread.operationsPage.End - 1
		return published, nil
	}
	return PublishResult{}, fmt.Errorf("publish: %w: %w", ErrOutcomeUnknown, err)
}

// storeDocument stores the text of a revision, because the operators' log cannot hold it. Errors are only logged:
// without the text, it is generated from the published operations and lacks only the comments.
func (p *Publisher) storeDocument(ctx context.Context, revision int64, text string) {
	value, err := proto.Marshal(&cellpb.Record{
		Body: &cellpb.Record_Document{
			Document: &cellpb.Document{
				Revision:    revision,
				Text:        text,
				Author:      p.config.Author,
				PublishedMs: p.config.Clock.Now().UnixMilli(),
			},
		},
	})
	if err == nil {
		records := []cell.LogRecord{
			{Key: documentKey(revision), Value: value},
			{Key: documentKey(revision - maxStoredDocuments)},
		}
		_, err = p.config.Documents.Append(ctx, records, nil, -1)
	}
	if err != nil {
		p.config.Logger.Warn("failed to store document text; show will print it without comments", "revision", revision,
			"error", err)
	}
}

// documentText returns the text of the current revision, updated with the current zone states, which other tools change
// without publishing a document.
func (p *Publisher) documentText(ctx context.Context, operations cell.Operations) (string, error) {
	history, err := p.History(ctx)
	if err != nil {
		return "", err
	}
	index := slices.IndexFunc(history, func(r Revision) bool { return r.Revision == operations.Config.Version })
	if index < 0 {
		return document.Format(operations), nil
	}
	return p.withZoneStates(history[index].Text, operations), nil
}

// withZoneStates returns a stored text updated with the zone states of the operations. If another tool published a
// different configuration with the same revision, it generates the text from the operations.
func (p *Publisher) withZoneStates(text string, operations cell.Operations) string {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil || !equalConfig(parsed.Operations(operations.Config.Version).Config, operations.Config) {
		p.config.Logger.Info("stored text differs from the current configuration", "revision", operations.Config.Version,
			"error", err)
		return document.Format(operations)
	}
	for _, zone := range parsed.Zones {
		if zone.InService != operations.EvacuatedZones[zone.Name] {
			continue
		}
		if text, err = document.SetZone(text, zone.Name, !zone.InService); err != nil {
			p.config.Logger.Error("failed to set zone state", "zone", zone.Name, "error", err)
			return document.Format(operations)
		}
	}
	for zone := range operations.EvacuatedZones {
		if _, exists := parsed.Zone(zone); !exists {
			text = fmt.Sprintf("%s\n\n[zone %q]\nstate = out\n", strings.TrimRight(text, "\n"), zone)
		}
	}
	return text
}

func equalOperations(a, b cell.Operations) bool {
	return a.Config.Version == b.Config.Version && equalConfig(a.Config, b.Config) &&
		maps.Equal(a.EvacuatedZones, b.EvacuatedZones)
}

// equalConfig compares the parts of a configuration that a document can define.
func equalConfig(a, b cell.Config) bool {
	return document.Format(cell.Operations{Config: a}) == document.Format(cell.Operations{Config: b})
}

func documentKey(revision int64) string {
	return documentKeyPrefix + strconv.FormatInt(revision, 10)
}
