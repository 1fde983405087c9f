package inifile

import (
	"slices"
	"strings"
)

// Findings lists the faults of a text.
type Findings []Finding

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error formats the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the findings sorted by line. Findings without a line come last.
func (f Findings) Sorted() Findings {
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		switch {
		case a.Line == b.Line:
			return 0
		case a.Line == 0:
			return 1
		case b.Line == 0:
			return -1
		default:
			return a.Line - b.Line
		}
	})
	return sorted
}
