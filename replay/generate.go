package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"radishpath.example/radishpath/placement"
)

// Deployment describes what a generated trace is like.
type Deployment struct {
	Name  string
	Seed  uint64
	Zones [3]string
	Cores int
	// Large lists the shapes of large jobs; Mean is the median of their run times in seconds.
	Large []placement.Shape
	Mean  float64
	// Gap is the mean time between large jobs in seconds.
	Gap float64
	// Small is the median run time of small jobs in seconds, Burst their number in the burst.
	Small float64
	Burst int
	// Peak is the number of large jobs that arrive just before the burst.
	Peak int
}

// Mauritius is a burst of small quotes over large banquet costings.
func Mauritius() Deployment {
	return Deployment{
		Name:  "mauritius",
		Seed:  1,
		Zones: [3]string{"port-louis", "curepipe", "grand-baie"},
		Cores: 130,
		Large: []placement.Shape{
			{Members: 1, Accelerators: 4, Scope: placement.ScopeWorker},
			{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker},
			{Members: 2, Accelerators: 4, Scope: placement.ScopeRack},
		},
		Mean:  90,
		Gap:   12,
		Small: 1,
		Burst: 300,
		Peak:  40,
	}
}

// Fiji is long renders that need adjacent accelerators, kettle checks and batches of seam tests.
func Fiji() Deployment {
	return Deployment{
		Name:  "fiji",
		Seed:  2,
		Zones: [3]string{"suva", "lautoka", "nausori"},
		Cores: 30,
		Large: []placement.Shape{
			{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker},
			{Members: 2, Accelerators: 8, Scope: placement.ScopeRack},
			{Members: 4, Accelerators: 2, Scope: placement.ScopeRack},
		},
		Mean:  200,
		Gap:   34,
		Small: 2,
		Burst: 120,
		Peak:  12,
	}
}

// Times of the incidents, in seconds.
const (
	peakAt    = 560
	burstAt   = 600
	burstOver = 20
	waveAt    = 1200
	breakAt   = 1400
	repairAt  = 1500
	claimAt   = 1800
	outAt     = 2100
	backAt    = 2280
	lastAt    = 2500
	// backlogAt is when more work arrives than fits, so that reclaim and outage meet a full cell.
	backlogAt = 1600
)

// generator makes a trace. Everything random comes from the seed.
type generator struct {
	Deployment
	random *rand.Rand
	events []Event
	count  int
}

// Generate makes the trace of a deployment.
func Generate(d Deployment) []Event {
	g := &generator{
		Deployment: d,
		random:     rand.New(rand.NewPCG(d.Seed, d.Seed)),
	}
	g.cell()
	g.steady()
	g.incidents()
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.events
}

func (g *generator) cell() {
	g.policy(0, "")
	for i := range 11 {
		g.add(0, Event{
			Event: SetWorker,
			Worker: &placement.Worker{
				ID:           fmt.Sprintf("w%02d", i),
				Zone:         g.Zones[i/3%3],
				Rack:         fmt.Sprintf("r%d", i/3),
				Accelerators: 8,
				Cores:        g.Cores,
				Memory:       64 << 30,
			},
		})
	}
}

func (g *generator) policy(at float64, out string) {
	one := []placement.Shape{{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker}}
	two := []placement.Shape{{Members: 2, Accelerators: 8, Scope: placement.ScopeRack}}
	p := &placement.Policy{
		Workspaces: []placement.Workspace{
			{Name: "desk", Share: 40, Guarantees: one},
			{Name: "large", Share: 30, Guarantees: one},
			{Name: "batch", Share: 20},
			{Name: "tide", Share: 10, Guarantees: two},
		},
	}
	for i := range p.Workspaces {
		p.Workspaces[i].Reclaim = reclaimLimit
	}
	for _, z := range g.Zones {
		p.Zones = append(p.Zones, placement.Zone{
			Name: z,
			In:   z != out,
		})
	}
	g.add(at, Event{
		Event:  SetPolicy,
		Policy: p,
	})
}

func (g *generator) add(at float64, e Event) {
	e.At = int64(at * 1000)
	g.events = append(g.events, e)
}

// submit adds a job whose run time is spread around a median and whose declared one is wrong by up to 10 times.
func (g *generator) submit(at, median float64, j Job) string {
	g.count++
	id := fmt.Sprintf("%s-%d", j.Class, g.count)
	run := median * math.Exp(0.5*g.random.NormFloat64())
	j.Run = max(int64(run*1000), 50)
	j.Declared = max(int64(float64(j.Run)*math.Pow(10, 2*g.random.Float64()-1)), 10)
	g.add(at, Event{
		Event: Submit,
		ID:    id,
		Job:   &j,
	})
	return id
}

func (g *generator) small(at float64, class string) {
	g.submit(at, g.Small, Job{
		Workspace: "desk",
		Kind:      "quote",
		Members:   1,
		Each:      1,
		Scope:     int(placement.ScopeWorker),
		Class:     class,
		Flags:     "i",
	})
}

func (g *generator) large(at float64, class, workspace string) {
	shape := g.Large[g.random.IntN(len(g.Large))]
	flags := "ic"
	if g.random.IntN(5) == 0 {
		flags = "i"
	}
	g.submit(at, g.Mean, Job{
		Workspace: workspace,
		Kind:      "large" + shape.String(),
		Members:   shape.Members,
		Each:      shape.Accelerators,
		Scope:     int(shape.Scope),
		Class:     class,
		Flags:     flags,
	})
}

// steady is the load that is always there, and the backlog later on.
func (g *generator) steady() {
	for at := 5.0; at < lastAt; at += g.Gap * g.random.ExpFloat64() {
		g.large(at, "large", []string{"large", "batch"}[g.random.IntN(2)])
	}
	for at := 6.0; at < lastAt; at += 4 * g.random.ExpFloat64() {
		class := "small"
		if at > peakAt-10 {
			class = "late"
		}
		g.small(at, class)
	}
	for at := 20.0; at < lastAt; at += 25 {
		g.submit(at, 1, Job{
			Workspace: "desk",
			Kind:      "check",
			Members:   1,
			Each:      1,
			Scope:     int(placement.ScopeWorker),
			Class:     "urgent",
			Flags:     "iu",
		})
	}
	for at := float64(backlogAt); at < lastAt; at += g.Gap / 2 {
		g.submit(at, g.Mean/2, Job{
			Workspace: "batch",
			Kind:      "seam",
			Members:   1,
			Each:      2,
			Scope:     int(placement.ScopeWorker),
			Class:     "seam",
			Flags:     "ic",
		})
	}
}

// incidents are what goes wrong.
func (g *generator) incidents() {
	for range g.Peak {
		g.large(peakAt+30*g.random.Float64(), "large", []string{"large", "batch"}[g.random.IntN(2)])
	}
	for range g.Burst {
		g.small(burstAt+burstOver*g.random.Float64(), "burst")
	}
	for i, shape := range []placement.Shape{
		{Members: 1, Accelerators: 9, Scope: placement.ScopeWorker},
		{Members: 4, Accelerators: 8, Scope: placement.ScopeRack},
		{Members: 2, Accelerators: 8, Scope: placement.ScopeWorker},
	} {
		g.submit(float64(100+200*i), 10, Job{
			Workspace: "batch",
			Kind:      "never",
			Members:   shape.Members,
			Each:      shape.Accelerators,
			Scope:     int(shape.Scope),
			Class:     "never",
			Flags:     "ic",
			Want:      "refused",
		})
	}
	for i := range 3 {
		g.submit(float64(200+300*i), 10, Job{
			Workspace: "batch",
			Kind:      "faulty",
			Members:   1,
			Each:      1,
			Scope:     int(placement.ScopeWorker),
			Class:     "faulty",
			Flags:     "if",
			Want:      "refused",
		})
	}
	for range 100 {
		id := g.submit(waveAt, 5000, Job{
			Workspace: "batch",
			Kind:      "wave",
			Members:   2,
			Each:      8,
			Scope:     int(placement.ScopeRack),
			Class:     "wave",
			Flags:     "ic",
			Want:      "cancelled",
		})
		g.add(waveAt+10, Event{
			Event: Cancel,
			ID:    id,
		})
	}
	g.add(breakAt, Event{
		Event: Break,
		ID:    "w04",
	})
	g.add(repairAt, Event{
		Event: Repair,
		ID:    "w04",
	})
	g.submit(claimAt, 60, Job{
		Workspace: "tide",
		Kind:      "claim",
		Members:   2,
		Each:      8,
		Scope:     int(placement.ScopeRack),
		Class:     "claim",
	})
	g.policy(outAt, g.Zones[1])
	g.policy(backAt, "")
}
