package runtimes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runBeside observes steps of kind "render", half of whose tasks run beside kind "encode", with which they take
// slowdown times as long.
func (f *fleet) runBeside(slowdown float64) {
	const steps = 60
	for range steps {
		f.steps++
		work := 1 + 9*f.random.Float64()
		var runs []Run
		for task, machine := range f.random.Perm(len(f.speeds))[:6] {
			share := f.speeds[machine] * (0.85 + 0.3*f.random.Float64())
			beside := []string{"render"}
			if f.random.IntN(2) == 0 {
				beside = append(beside, "encode")
				share *= slowdown
			}
			runs = append(runs, Run{
				Task:     int32(task),
				Machine:  machineName(machine),
				Duration: seconds(share * work),
				Beside:   beside,
			})
		}
		f.model.Observe(Step{
			ID:    fmt.Sprint(f.steps),
			Queue: "renders",
			Kind:  "render",
		}, runs)
	}
}

// Guards against slowdowns that aren't noticed, and against noise that counts as one: 1.3 is the smallest that shows
// in every seed.
func TestNeighbourSlowdown(t *testing.T) {
	tests := []struct {
		slowdown float64
		believed bool
	}{
		{slowdown: 1},
		{slowdown: 1.3, believed: true},
		{slowdown: 1.5, believed: true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.slowdown), func(t *testing.T) {
			for seed := range uint64(20) {
				f := newFleet(seed, repeated([]float64{1}, 20)...)
				f.runBeside(test.slowdown)
				require.Equal(t, test.believed, f.model.Interferes(), "seed %d", seed)
				require.InDelta(t, test.slowdown, f.model.NeighbourSlowdown("render", "encode"), 0.15, "seed %d", seed)
				require.InDelta(t, 1, f.model.NeighbourSlowdown("render", "render"), 0, "equal kinds")
			}
		})
	}
}

// Guards against a slow machine that is taken for a bad neighbour, and the other way round.
func TestSpeedAndNeighboursAreToldApart(t *testing.T) {
	for seed := range uint64(10) {
		slow := newFleet(seed, repeated([]float64{0.7, 0.7, 1.7}, 18)...)
		slow.runBeside(1)
		require.False(t, slow.model.Interferes(), "seed %d", seed)
		require.True(t, slow.model.Uneven(), "seed %d", seed)

		disturbed := newFleet(seed, repeated([]float64{1}, 18)...)
		disturbed.runBeside(1.5)
		require.False(t, disturbed.model.Uneven(), "seed %d", seed)
		require.InDelta(t, 1.5, disturbed.model.NeighbourSlowdown("render", "encode"), 0.15, "seed %d", seed)

		both := newFleet(seed, repeated([]float64{0.7, 0.7, 1.7}, 18)...)
		both.runBeside(1.5)
		require.InDelta(t, 1.5, both.model.NeighbourSlowdown("render", "encode"), 0.2, "seed %d", seed)
		for i, speed := range both.speeds {
			require.InDelta(t, 0, math.Log(both.model.Slowdown(machineName(i))*1.03/speed), 0.25, "seed %d", seed)
		}
	}
}

// Guards against memory that grows with the kinds seen: a burst of kinds must not push out a pair that counts.
func TestPairsAreBounded(t *testing.T) {
	f := newFleet(1, repeated([]float64{1}, 20)...)
	f.runBeside(1.5)
	require.True(t, f.model.Interferes())
	for i := range maxPairs {
		var runs []Run
		for task := range 6 {
			runs = append(runs, Run{
				Task:     int32(task),
				Machine:  machineName(task),
				Duration: time.Second,
				Beside:   []string{fmt.Sprintf("%d-%d", i, task)},
			})
		}
		f.model.Observe(Step{
			ID:   fmt.Sprintf("burst-%d", i),
			Kind: "render",
		}, runs)
		if 6*i > 2*maxPairs && 6*i < 3*maxPairs {
			require.True(t, f.model.Interferes(), "its runs are more")
		}
	}
	require.LessOrEqual(t, len(f.model.pairs), maxPairs)
}
