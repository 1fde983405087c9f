package entry

import (
	"context"
	"slices"

	"radishpath.example/radishpath/peer/peerpb"
)

// Document returns the current revision and its text.
func (e *Entry) Document() (revision int64, text string) {
	return e.documents.current()
}

// Authenticate returns the workspace that a caller's token belongs to.
func (e *Entry) Authenticate(token string) (workspace string, ok bool) {
	found, ok := e.documents.parsed().WorkspaceOf(token)
	return found.Name, ok
}

// Publish appends a document that was edited from the base revision and returns its revision.
func (e *Entry) Publish(ctx context.Context, base int64, text, author string) (int64, error) {
	return e.documents.publish(ctx, &peerpb.DocumentRecord{
		Base:   base,
		Text:   text,
		Author: author,
	})
}

// InEffect names the known entries and agents that have not confirmed a revision.
func (e *Entry) InEffect(revision int64) []string {
	var missing []string
	if own, _ := e.documents.current(); own < revision {
		missing = append(missing, e.config.ID)
	}
	for _, known := range e.members.list() {
		if known.reply.GetRevision() < revision {
			missing = append(missing, known.info.GetId())
		}
	}
	for _, view := range e.fleet.list() {
		if view.revision < revision {
			missing = append(missing, view.id)
		}
	}
	slices.Sort(missing)
	return missing
}
