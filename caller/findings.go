package caller

import "strings"

// Finding is one problem in a request.
type Finding struct {
	// Field is the name of the field, parameter or header; empty if the problem isn't in one.
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Findings are all problems in a request. ServerConfig.Submit may return them as its error; the job is then not run.
type Findings []Finding

// Error returns the findings in one line.
func (f Findings) Error() string {
	parts := make([]string, 0, len(f))
	for _, finding := range f {
		parts = append(parts, strings.TrimPrefix(finding.Field+": "+finding.Problem, ": "))
	}
	return strings.Join(parts, "; ")
}

func (f *Findings) add(field, problem string) {
	*f = append(*f, Finding{
		Field:   field,
		Problem: problem,
	})
}
