package inifile

import (
	"fmt"
	"strings"
)

// Finding is one fault in a text with its location.
type Finding struct {
	File    string `json:"file"`
	Section string `json:"section"`
	// Key is empty if the fault concerns the whole section.
	Key string `json:"key,omitempty"`
	// Line counts from 1; it is 0 if the section is missing.
	Line    int    `json:"line"`
	Problem string `json:"problem"`
}

// String returns the finding as `file:line: [section] key: problem`.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	return b.String()
}
