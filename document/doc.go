// Package document parses and checks the operators' document, compares revisions, and folds the document stream.
//
// The package does no I/O. docs/configuration.md describes the document's sections and keys.
//
// # Usage
//
// Parse reports every fault at once, each with file, section, key and line:
//
//	parsed, err := document.Parse("document.ini", text)
//	var findings document.Findings
//	if errors.As(err, &findings) { ... }
//
// Check compares the guarantees with the announced workers:
//
//	err = document.Check(parsed, capacities)
//
// A reader of the document stream applies every record in the order of offsets, also those that it cannot decode:
//
//	fold := document.NewFold()
//	result := fold.Apply(record.Offset, decoded)
//	revision, text, parsed := fold.Current()
//
// # Revisions
//
// The revision of a publish is its offset in the log plus 1; revision 0 means that there is no document. A publish
// takes effect if its base is the current revision at that point of the log and its text has no faults. All others are
// void for every reader. A revision never goes back.
//
// A carry restates the current revision before the log drops its record. It names, in its base, the offset up to which
// its writer had read the stream. A reader whose log starts later than that offset cannot know what happened in
// between, and waits for the next carry or for a peer's offer. A reader that guessed could accept a publish that is
// void for everyone else and pass it on under a higher revision.
package document
