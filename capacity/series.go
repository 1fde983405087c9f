package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// figure is one column of a usage.
type figure struct {
	name  string
	value func(usage) float64
}

func figures() []figure {
	return []figure{
		{
			name:  "CPU, % of a core",
			value: func(u usage) float64 { return u.cpu },
		},
		{
			name:  "resident memory, MB",
			value: func(u usage) float64 { return u.memory },
		},
		{
			name:  "control between processes, B/s",
			value: func(u usage) float64 { return u.peer },
		},
		{
			name:  "with the log, B/s",
			value: func(u usage) float64 { return u.log },
		},
		{
			name:  "agent with worker, B/s",
			value: func(u usage) float64 { return u.local },
		},
		{
			name:  "with callers and operators, B/s",
			value: func(u usage) float64 { return u.callers },
		},
		{
			name:  "data segments received, 1/s",
			value: func(u usage) float64 { return u.segments },
		},
	}
}

// row is one line of a table: a figure at each x.
type row struct {
	name   string
	figure string
	x      []float64
	y      []float64
}

// series is one table: figures against the same quantity.
type series struct {
	title string
	// unit is what the slope is per.
	unit string
	rows []*row
}

// add adds a value to the row of a figure.
func (s *series) add(x float64, name, figure string, y float64) {
	for _, r := range s.rows {
		if r.name == name && r.figure == figure {
			r.x = append(r.x, x)
			r.y = append(r.y, y)
			return
		}
	}
	s.rows = append(s.rows, &row{
		name:   name,
		figure: figure,
		x:      []float64{x},
		y:      []float64{y},
	})
}

// addUsage adds all figures of the roles.
func (s *series) addUsage(x float64, roles map[role]usage) {
	for _, r := range []role{roleAgent, roleRoot, roleInner, roleLeaf, roleEntry, rolePlacer, roleLog} {
		u, ok := roles[r]
		if !ok {
			continue
		}
		for _, f := range figures() {
			s.add(x, string(r), f.name, f.value(u))
		}
	}
}

// print writes the table. Rows that are 0 everywhere are left out.
func (s *series) print(out io.Writer, markdown bool) {
	lines := [][]string{{"role", "figure", s.unit + " = value", "slope per " + s.unit, "intercept"}}
	for _, r := range s.rows {
		if r.isZero() {
			continue
		}
		slope, intercept := fit(r.x, r.y)
		lines = append(lines, []string{r.name, r.figure, r.points(), number(slope), number(intercept)})
	}
	if markdown {
		_, _ = fmt.Fprintf(out, "### %s\n\n", s.title)
		for i, line := range lines {
			_, _ = fmt.Fprintf(out, "| %s |\n", strings.Join(line, " | "))
			if i == 0 {
				_, _ = fmt.Fprintf(out, "|%s\n", strings.Repeat(" --- |", len(line)))
			}
		}
	} else {
		_, _ = fmt.Fprintf(out, "%s\n", s.title)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, line := range lines {
			_, _ = fmt.Fprintln(table, strings.Join(line, "\t"))
		}
		_ = table.Flush()
	}
	_, _ = fmt.Fprintln(out)
}

func (r *row) isZero() bool {
	for _, y := range r.y {
		if y != 0 {
			return false
		}
	}
	return true
}

func (r *row) points() string {
	parts := make([]string, len(r.x))
	for i := range r.x {
		parts[i] = number(r.x[i]) + " = " + number(r.y[i])
	}
	return strings.Join(parts, "; ")
}

// number prints three significant digits and no exponent for the usual sizes.
func number(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
