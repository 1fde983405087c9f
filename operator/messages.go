package operator

import (
	"time"

	"radishpath.example/radishpath/document"
)

// Document is a revision with its text.
type Document struct {
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
}

// Revision is one publish of the history.
type Revision struct {
	Revision  int64     `json:"revision"`
	Author    string    `json:"author,omitempty"`
	Published time.Time `json:"published,omitzero"`
	Applied   bool      `json:"applied"`
	// Reason says why the publish did not take effect.
	Reason string `json:"reason,omitempty"`
	Text   string `json:"text,omitempty"`
}

// PublishRequest asks for a new revision of the document.
type PublishRequest struct {
	// Base is the revision that the text was edited from.
	Base int64  `json:"base"`
	Text string `json:"text"`
	// Author is the name of the operator that the token belongs to; the server sets it.
	Author string `json:"-"`
}

// PublishResult is what became of a publish.
type PublishResult struct {
	Revision int64 `json:"revision"`
	// Applied is false when another publish came first.
	Applied bool   `json:"applied"`
	Reason  string `json:"reason,omitempty"`
	// Warnings are guarantees that do not fit the announced workers, and what the document most likely lacks.
	Warnings document.Findings `json:"warnings,omitempty"`
}

// Status says whether a revision is in effect everywhere.
type Status struct {
	Revision int64 `json:"revision"`
	Current  int64 `json:"current"`
	Effect   bool  `json:"effect"`
	// Missing are the ids of the processes that have not confirmed the revision.
	Missing []string `json:"missing"`
}

// CheckRequest asks for the findings of a text; an empty text stands for the current document.
type CheckRequest struct {
	Text string `json:"text"`
}

// CheckResult holds the findings of a text. Warnings do not prevent a publish.
type CheckResult struct {
	Findings document.Findings `json:"findings"`
	Warnings document.Findings `json:"warnings"`
}

// Worker is an announced worker.
type Worker struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free"`
	Slots        int    `json:"slots"`
	Outstanding  int    `json:"outstanding"`
	// State is for example ready, leaving, silent or quarantined.
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// Workspace is a workspace with what it uses.
type Workspace struct {
	Name       string   `json:"name"`
	Share      int      `json:"share"`
	Guarantees []string `json:"guarantees"`
	Waiting    int      `json:"waiting"`
	Running    int      `json:"running"`
	// Accelerators are in use by the workspace, Borrowed those of them outside its guarantees.
	Accelerators int `json:"accelerators"`
	Borrowed     int `json:"borrowed"`
}

// Job is a job that has not ended.
type Job struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	State     string    `json:"state"`
	Owner     string    `json:"owner"`
	Shape     string    `json:"shape"`
	Accepted  time.Time `json:"accepted,omitzero"`
	// Workers are where the job runs.
	Workers []string `json:"workers,omitempty"`
	// Reasons say why the job waits.
	Reasons []string `json:"reasons,omitempty"`
}

// problem is the body of an error reply.
type problem struct {
	Error    string            `json:"error"`
	Findings document.Findings `json:"findings,omitempty"`
	Current  *Document         `json:"current,omitempty"`
	Diff     string            `json:"diff,omitempty"`
}
