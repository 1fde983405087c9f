package document

import "github.com/pmezard/go-difflib/difflib"

const diffContextLines = 3

// Diff returns the unified diff of two texts, or an empty string if they are equal.
func Diff(from, to string) string {
	if from == to {
		return ""
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(from),
		B:        difflib.SplitLines(to),
		FromFile: "from",
		ToFile:   "to",
		Context:  diffContextLines,
	})
	if err != nil {
		// Unreachable: difflib returns only errors of its writer, which is an in-memory buffer.
		return err.Error()
	}
	return diff
}
