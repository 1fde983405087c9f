package operator

import (
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
	// textPrefix starts the keys of the documents' log; the revision follows.
	textPrefix = "text/"
	// maxTexts is how many texts the history keeps.
	maxTexts = 64
	// maxTries bounds a publish that finds the log changed by others again and again.
	maxTries = 5
)

// Log is a keyed log of the store.
type Log struct {
	Newest func(ctx context.Context) (cell.Page, error)
	Append func(ctx context.Context, entries []cell.Entry, fence *cell.Fence, at int64) (int64, error)
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Logger hclog.Logger
	Clock  clockwork.Clock
	// Author stands in the history.
	Author string
	// Operations is the operators' log, Documents the log that keeps the texts.
	Operations Log
	Documents  Log
	// Decode folds an entry of the operators' log.
	Decode func(operations cell.Operations, entry cell.Entry) (cell.Operations, error)
	// Encode returns the entries that lead from the present ones to what is wanted.
	Encode func(present []cell.Entry, next cell.Operations) ([]cell.Entry, error)
}

// Publisher reads and publishes the document.
type Publisher struct {
	config PublisherConfig
}

// NewPublisher returns a Publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{
		config: config,
	}
}

// Current returns the document in force: the text that was published, or one made from what another tool published.
func (p *Publisher) Current(ctx context.Context) (Document, error) {
	log, err := p.config.Operations.Newest(ctx)
	if err != nil {
		return Document{}, fmt.Errorf("read the operators' log: %w", err)
	}
	current := Document{
		log: log,
	}
	for _, entry := range log.Entries {
		folded, decodeErr := p.config.Decode(current.Operations, entry)
		if decodeErr != nil {
			return Document{}, fmt.Errorf("read the operators' log: %w", decodeErr)
		}
		current.Operations = folded
	}
	current.Revision = current.Operations.Config.Version
	if !current.Operations.Known {
		return current, nil
	}
	current.Text, err = p.text(ctx, current.Operations)
	return current, err
}

// History returns the latest publishes, the newest first.
func (p *Publisher) History(ctx context.Context) ([]Revision, error) {
	page, err := p.config.Documents.Newest(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the documents: %w", err)
	}
	var history []Revision
	for _, entry := range page.Entries {
		record := &cellpb.Record{}
		if err = proto.Unmarshal(entry.Value, record); err != nil || record.GetDocument() == nil {
			p.config.Logger.Warn("document left out", "key", entry.Key, "offset", entry.Offset, "error", err)
			continue
		}
		kept := record.GetDocument()
		history = append(history, Revision{
			Revision:  kept.GetRevision(),
			Text:      kept.GetText(),
			Author:    kept.GetAuthor(),
			Published: time.UnixMilli(kept.GetPublishedMs()).UTC(),
		})
	}
	slices.SortFunc(history, func(a, b Revision) int { return int(b.Revision - a.Revision) })
	return history, nil
}

// Publish publishes a text that was edited from the revision base.
func (p *Publisher) Publish(ctx context.Context, base int64, text string) (Published, error) {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil {
		return Published{}, fmt.Errorf("document: %w", err)
	}
	for range maxTries {
		current, readErr := p.Current(ctx)
		if readErr != nil {
			return Published{}, readErr
		}
		if current.Revision != base {
			return Published{}, &ConflictError{
				Base:    base,
				Current: current,
				Diff:    document.Diff(current.Text, text),
			}
		}
		next := parsed.Operations(base + 1)
		published, appendErr := p.append(ctx, current, next)
		var moved *cell.MovedError
		if errors.As(appendErr, &moved) {
			// Somebody else wrote in between, perhaps something that doesn't concern the document.
			continue
		}
		if appendErr != nil {
			return Published{}, appendErr
		}
		p.keepText(ctx, published.Revision, text)
		return published, nil
	}
	return Published{}, fmt.Errorf("the operators' log changed %d times in between; nothing was published", maxTries)
}

func (p *Publisher) append(ctx context.Context, current Document, next cell.Operations) (Published, error) {
	entries, err := p.config.Encode(current.log.Entries, next)
	if err != nil {
		return Published{}, fmt.Errorf("publish: %w", err)
	}
	offset, err := p.config.Operations.Append(ctx, entries, nil, current.log.End)
	if err != nil && !errors.Is(err, cell.ErrUnknown) {
		return Published{}, fmt.Errorf("nothing was published: %w", err)
	}
	published := Published{
		Revision: next.Config.Version,
		Offset:   offset + int64(len(entries)) - 1,
	}
	if err == nil {
		return published, nil
	}
	// The append was conditional on the end of the log, so reading on tells what became of it, unless it is late.
	again, readErr := p.Current(ctx)
	if readErr == nil && again.log.End == current.log.End+int64(len(entries)) && sameOperations(again.Operations, next) {
		published.Offset = again.log.End - 1
		return published, nil
	}
	return Published{}, fmt.Errorf("publish: %w: %w", ErrUnknown, err)
}

// keepText stores the text of a publish, which the operators' log has no room for. Without it the text is made anew
// from what was published, so a failure costs only comments.
func (p *Publisher) keepText(ctx context.Context, revision int64, text string) {
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
		entries := []cell.Entry{
			{Key: textKey(revision), Value: value},
			{Key: textKey(revision - maxTexts)},
		}
		_, err = p.config.Documents.Append(ctx, entries, nil, -1)
	}
	if err != nil {
		p.config.Logger.Warn("the text was not kept; show will print it without comments", "revision", revision,
			"error", err)
	}
}

// text returns the text of a revision, with the zones as they are now: other tools change them by themselves.
func (p *Publisher) text(ctx context.Context, operations cell.Operations) (string, error) {
	history, err := p.History(ctx)
	if err != nil {
		return "", err
	}
	at := slices.IndexFunc(history, func(r Revision) bool { return r.Revision == operations.Config.Version })
	if at < 0 {
		return document.Format(operations), nil
	}
	return p.withZones(history[at].Text, operations), nil
}

// withZones returns a kept text with the zones of the operations, or one made anew if another tool published something
// else under the same number.
func (p *Publisher) withZones(text string, operations cell.Operations) string {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil || !sameConfig(parsed.Operations(operations.Config.Version).Config, operations.Config) {
		p.config.Logger.Info("the kept text isn't what is in force", "revision", operations.Config.Version, "error", err)
		return document.Format(operations)
	}
	for _, zone := range parsed.Zones {
		if zone.InService != operations.Evacuated[zone.Name] {
			continue
		}
		if text, err = document.SetZone(text, zone.Name, !zone.InService); err != nil {
			p.config.Logger.Error("set zone", "zone", zone.Name, "error", err)
			return document.Format(operations)
		}
	}
	for zone := range operations.Evacuated {
		if _, named := parsed.Zone(zone); !named {
			text = fmt.Sprintf("%s\n\n[zone %q]\nstate = out\n", strings.TrimRight(text, "\n"), zone)
		}
	}
	return text
}

func sameOperations(a, b cell.Operations) bool {
	return a.Config.Version == b.Config.Version && sameConfig(a.Config, b.Config) && maps.Equal(a.Evacuated, b.Evacuated)
}

// sameConfig compares what a document can say.
func sameConfig(a, b cell.Config) bool {
	return document.Format(cell.Operations{Config: a}) == document.Format(cell.Operations{Config: b})
}

func textKey(revision int64) string {
	return textPrefix + strconv.FormatInt(revision, 10)
}
