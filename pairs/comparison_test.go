package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestComparisonOfPairs guards against differences that are taken between plays of different seeds.
func TestComparisonOfPairs(t *testing.T) {
	c := newComparison()
	for _, report := range [][2]string{
		{`{"G":0.2,"served":0.5,"classes":[{"name":"quote","worth":0.4}]}`, `{"G":0.3,"served":0.7,"breaks":{"LOST":1}}`},
		{`{"G":0.6,"served":0.9,"classes":[{"name":"quote","worth":0.8}]}`, `{"G":0.7,"served":0.8}`},
	} {
		base, err := decodeOutcome([]byte(report[0]))
		require.NoError(t, err)
		head, err := decodeOutcome([]byte(report[1]))
		require.NoError(t, err)
		c.add(pair{base: base, head: head})
	}
	output := &strings.Builder{}
	c.print(output)
	require.Regexp(t, `day +2 +0\.400 +0\.500 +\+0\.100 +0\.000`, output.String())
	require.Regexp(t, `served +2 +0\.700 +0\.750 +\+0\.050 +0\.150`, output.String())
	require.Regexp(t, `kind quote +2 and 0`, output.String())
	require.Contains(t, output.String(), "broken: head LOST 1")
}

func TestDecodeOutcomeRejectsOtherFiles(t *testing.T) {
	_, err := decodeOutcome([]byte("no report"))
	require.Error(t, err)
}
