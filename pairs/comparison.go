package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// comparison collects the outcomes of pairs of plays by measure.
type comparison struct {
	base map[string][]float64
	head map[string][]float64
	// broken counts the broken rules by version and name.
	broken map[string]int
}

func newComparison() *comparison {
	return &comparison{
		base:   map[string][]float64{},
		head:   map[string][]float64{},
		broken: map[string]int{},
	}
}

func (c *comparison) add(played pair) {
	addTo(c.base, played.base)
	addTo(c.head, played.head)
	for version, outcome := range map[string]outcome{"base": played.base, "head": played.head} {
		for rule, count := range outcome.broken {
			c.broken[version+" "+rule] += count
		}
	}
}

func addTo(measures map[string][]float64, played outcome) {
	measures["day"] = append(measures["day"], played.worth)
	measures["served"] = append(measures["served"], played.served)
	for kind, worth := range played.kinds {
		measures["kind "+kind] = append(measures["kind "+kind], worth)
	}
}

// print writes a table with the means of both versions, the mean of the differences of pairs and its standard error.
func (c *comparison) print(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "measure\tpairs\tbase\thead\tdifference\tstandard error")
	for _, measure := range slices.Sorted(maps.Keys(c.base)) {
		base, head := c.base[measure], c.head[measure]
		if len(base) != len(head) {
			_, _ = fmt.Fprintf(table, "%s\t%d and %d\n", measure, len(base), len(head))
			continue
		}
		differences := make([]float64, 0, len(base))
		for i := range base {
			differences = append(differences, head[i]-base[i])
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\n",
			measure, len(base), mean(base), mean(head), mean(differences), standardError(differences))
	}
	_ = table.Flush()
	for _, rule := range slices.Sorted(maps.Keys(c.broken)) {
		_, _ = fmt.Fprintf(output, "broken: %s %d\n", rule, c.broken[rule])
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// standardError returns the standard error of the mean of some values; NaN for a single one.
func standardError(values []float64) float64 {
	center, squares := mean(values), 0.0
	for _, value := range values {
		squares += (value - center) * (value - center)
	}
	count := float64(len(values))
	return math.Sqrt(squares / (count - 1) / count)
}
