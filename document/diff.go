package document

import "github.com/pmezard/go-difflib/difflib"

const diffContext = 3

// Diff returns the unified diff of two texts, empty when they are equal.
func Diff(from, to string) string {
	if from == to {
		return ""
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(from),
		B:        difflib.SplitLines(to),
		FromFile: "from",
		ToFile:   "to",
		Context:  diffContext,
	})
	if err != nil {
		// The library fails only when its writer does, and it writes to memory.
		return err.Error()
	}
	return diff
}
