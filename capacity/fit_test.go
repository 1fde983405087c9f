package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFit guards against a wrong slope or intercept, from which the whole page is worked out.
func TestFit(t *testing.T) {
	cases := []struct {
		name             string
		x, y             []float64
		slope, intercept float64
	}{
		{
			name:      "line",
			x:         []float64{1, 2, 4},
			y:         []float64{5, 7, 11},
			slope:     2,
			intercept: 3,
		},
		{
			name:      "scattered",
			x:         []float64{0, 1, 2},
			y:         []float64{0, 3, 3},
			slope:     1.5,
			intercept: 0.5,
		},
		{
			name:      "one x",
			x:         []float64{2, 2},
			y:         []float64{1, 3},
			intercept: 2,
		},
		{
			name: "none",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			slope, intercept := fit(c.x, c.y)
			require.InDelta(t, c.slope, slope, 1e-9)
			require.InDelta(t, c.intercept, intercept, 1e-9)
		})
	}
}
