// Package document parses, validates and formats the document that operators publish to configure radishpath. The
// document is an INI text that defines queues, workspaces with their guarantees and tokens, and the state of
// availability zones. The package performs no I/O.
//
// # Usage
//
//	parsed, err := document.Parse("document.ini", text)
//	if err != nil {
//		// err is of type Findings and lists every fault with its line.
//	}
//	operations := parsed.Operations(revision)
//
// Format generates the text for operations that were published without one. SetZone changes the state of one zone in a
// text and preserves everything else, including comments.
package document
