package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"radishpath.example/radishpath/placement"
)

// Deployment describes the cluster and the workload of a generated trace.
type Deployment struct {
	Name  string
	Seed  uint64
	Zones [3]string
	Cores int
	// LargeShapes lists the shapes of large jobs; MedianLargeSeconds is the median of their run times.
	LargeShapes        []placement.Shape
	MedianLargeSeconds float64
	// MeanLargeGapSeconds is the mean interarrival time of large jobs.
	MeanLargeGapSeconds float64
	// MedianSmallSeconds is the median run time of small jobs, BurstJobs the number of small jobs in the burst.
	MedianSmallSeconds float64
	BurstJobs          int
	// PeakJobs is the number of large jobs that arrive shortly before the burst.
	PeakJobs int
}

// Mauritius returns a workload of large banquet costings with a burst of small quotes.
func Mauritius() Deployment {
	return Deployment{
		Name:  "mauritius",
		Seed:  1,
		Zones: [3]string{"port-louis", "curepipe", "grand-baie"},
		Cores: 130,
		LargeShapes: []placement.Shape{
			{Members: 1, Accelerators: 4, Scope: placement.ScopeWorker},
			{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker},
			{Members: 2, Accelerators: 4, Scope: placement.ScopeRack},
		},
		MedianLargeSeconds:  90,
		MeanLargeGapSeconds: 12,
		MedianSmallSeconds:  1,
		BurstJobs:           300,
		PeakJobs:            40,
	}
}

// Fiji returns a workload of long renders that need adjacent accelerators, kettle checks, and batches of seam tests.
func Fiji() Deployment {
	return Deployment{
		Name:  "fiji",
		Seed:  2,
		Zones: [3]string{"suva", "lautoka", "nausori"},
		Cores: 30,
		LargeShapes: []placement.Shape{
			{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker},
			{Members: 2, Accelerators: 8, Scope: placement.ScopeRack},
			{Members: 4, Accelerators: 2, Scope: placement.ScopeRack},
		},
		MedianLargeSeconds:  200,
		MeanLargeGapSeconds: 34,
		MedianSmallSeconds:  2,
		BurstJobs:           120,
		PeakJobs:            12,
	}
}

// Times of the incidents in a generated trace, in seconds since its start.
const (
	peakStart        = 560
	burstStart       = 600
	burstDuration    = 20
	cancelledJobsAt  = 1200
	workerBreakAt    = 1400
	workerRepairAt   = 1500
	guaranteeClaimAt = 1800
	zoneOutageStart  = 2100
	zoneOutageEnd    = 2280
	arrivalsEnd      = 2500
	// backlogStart is when more jobs start to arrive than fit, so that the reclaim and the outage hit a full cluster.
	backlogStart = 1600
)

// generator builds the trace of a deployment. All random numbers come from the seed.
type generator struct {
	Deployment
	random   *rand.Rand
	events   []Event
	jobCount int
}

// Generate returns the trace of a deployment. The result depends only on the deployment.
func Generate(d Deployment) []Event {
	g := &generator{
		Deployment: d,
		random:     rand.New(rand.NewPCG(d.Seed, d.Seed)),
	}
	g.addCluster()
	g.addBaseLoad()
	g.addIncidents()
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	return g.events
}

// addCluster adds the policy and the workers.
func (g *generator) addCluster() {
	g.addPolicy(0, "")
	for i := range 11 {
		g.addEvent(0, Event{
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

func (g *generator) addPolicy(atSeconds float64, zoneOutOfService string) {
	oneWorker := []placement.Shape{{Members: 1, Accelerators: 8, Scope: placement.ScopeWorker}}
	twoWorkers := []placement.Shape{{Members: 2, Accelerators: 8, Scope: placement.ScopeRack}}
	policy := &placement.Policy{
		Workspaces: []placement.Workspace{
			{Name: "desk", Share: 40, Guarantees: oneWorker},
			{Name: "large", Share: 30, Guarantees: oneWorker},
			{Name: "batch", Share: 20},
			{Name: "tide", Share: 10, Guarantees: twoWorkers},
		},
	}
	for i := range policy.Workspaces {
		policy.Workspaces[i].Reclaim = reclaimLimit
	}
	for _, z := range g.Zones {
		policy.Zones = append(policy.Zones, placement.Zone{
			Name: z,
			In:   z != zoneOutOfService,
		})
	}
	g.addEvent(atSeconds, Event{
		Event:  SetPolicy,
		Policy: policy,
	})
}

func (g *generator) addEvent(atSeconds float64, e Event) {
	e.AtMillis = int64(atSeconds * 1000)
	g.events = append(g.events, e)
}

// addJob submits a job with a log-normal run time around the median. The declared run time is wrong by a factor of up
// to 10.
func (g *generator) addJob(atSeconds, medianSeconds float64, j Job) string {
	g.jobCount++
	id := fmt.Sprintf("%s-%d", j.Class, g.jobCount)
	runSeconds := medianSeconds * math.Exp(0.5*g.random.NormFloat64())
	j.RunMillis = max(int64(runSeconds*1000), 50)
	j.Declared = max(int64(float64(j.RunMillis)*math.Pow(10, 2*g.random.Float64()-1)), 10)
	g.addEvent(atSeconds, Event{
		Event: Submit,
		ID:    id,
		Job:   &j,
	})
	return id
}

func (g *generator) addSmallJob(atSeconds float64, class string) {
	g.addJob(atSeconds, g.MedianSmallSeconds, Job{
		Workspace:             "desk",
		Kind:                  "quote",
		Members:               1,
		AcceleratorsPerMember: 1,
		Scope:                 int(placement.ScopeWorker),
		Class:                 class,
		Flags:                 "i",
	})
}

func (g *generator) addLargeJob(atSeconds float64, class, workspace string) {
	shape := g.LargeShapes[g.random.IntN(len(g.LargeShapes))]
	flags := "ic"
	if g.random.IntN(5) == 0 {
		flags = "i"
	}
	g.addJob(atSeconds, g.MedianLargeSeconds, Job{
		Workspace:             workspace,
		Kind:                  "large" + shape.String(),
		Members:               shape.Members,
		AcceleratorsPerMember: shape.Accelerators,
		Scope:                 int(shape.Scope),
		Class:                 class,
		Flags:                 flags,
	})
}

// addBaseLoad adds the load that is present throughout the trace, and the later backlog.
func (g *generator) addBaseLoad() {
	for at := 5.0; at < arrivalsEnd; at += g.MeanLargeGapSeconds * g.random.ExpFloat64() {
		g.addLargeJob(at, "large", []string{"large", "batch"}[g.random.IntN(2)])
	}
	for at := 6.0; at < arrivalsEnd; at += 4 * g.random.ExpFloat64() {
		class := "small"
		if at > peakStart-10 {
			class = "late"
		}
		g.addSmallJob(at, class)
	}
	for at := 20.0; at < arrivalsEnd; at += 25 {
		g.addJob(at, 1, Job{
			Workspace:             "desk",
			Kind:                  "check",
			Members:               1,
			AcceleratorsPerMember: 1,
			Scope:                 int(placement.ScopeWorker),
			Class:                 "urgent",
			Flags:                 "iu",
		})
	}
	for at := float64(backlogStart); at < arrivalsEnd; at += g.MeanLargeGapSeconds / 2 {
		g.addJob(at, g.MedianLargeSeconds/2, Job{
			Workspace:             "batch",
			Kind:                  "seam",
			Members:               1,
			AcceleratorsPerMember: 2,
			Scope:                 int(placement.ScopeWorker),
			Class:                 "seam",
			Flags:                 "ic",
		})
	}
}

// addIncidents adds the load peaks, jobs that cannot succeed, cancellations, and failures.
func (g *generator) addIncidents() {
	for range g.PeakJobs {
		g.addLargeJob(peakStart+30*g.random.Float64(), "large", []string{"large", "batch"}[g.random.IntN(2)])
	}
	for range g.BurstJobs {
		g.addSmallJob(burstStart+burstDuration*g.random.Float64(), "burst")
	}
	for i, shape := range []placement.Shape{
		{Members: 1, Accelerators: 9, Scope: placement.ScopeWorker},
		{Members: 4, Accelerators: 8, Scope: placement.ScopeRack},
		{Members: 2, Accelerators: 8, Scope: placement.ScopeWorker},
	} {
		g.addJob(float64(100+200*i), 10, Job{
			Workspace:             "batch",
			Kind:                  "never",
			Members:               shape.Members,
			AcceleratorsPerMember: shape.Accelerators,
			Scope:                 int(shape.Scope),
			Class:                 "never",
			Flags:                 "ic",
			WantOutcome:           "refused",
		})
	}
	for i := range 3 {
		g.addJob(float64(200+300*i), 10, Job{
			Workspace:             "batch",
			Kind:                  "faulty",
			Members:               1,
			AcceleratorsPerMember: 1,
			Scope:                 int(placement.ScopeWorker),
			Class:                 "faulty",
			Flags:                 "if",
			WantOutcome:           "refused",
		})
	}
	for range 100 {
		id := g.addJob(cancelledJobsAt, 5000, Job{
			Workspace:             "batch",
			Kind:                  "wave",
			Members:               2,
			AcceleratorsPerMember: 8,
			Scope:                 int(placement.ScopeRack),
			Class:                 "wave",
			Flags:                 "ic",
			WantOutcome:           "cancelled",
		})
		g.addEvent(cancelledJobsAt+10, Event{
			Event: Cancel,
			ID:    id,
		})
	}
	g.addEvent(workerBreakAt, Event{
		Event: BreakWorker,
		ID:    "w04",
	})
	g.addEvent(workerRepairAt, Event{
		Event: RepairWorker,
		ID:    "w04",
	})
	g.addJob(guaranteeClaimAt, 60, Job{
		Workspace:             "tide",
		Kind:                  "claim",
		Members:               2,
		AcceleratorsPerMember: 8,
		Scope:                 int(placement.ScopeRack),
		Class:                 "claim",
	})
	g.addPolicy(zoneOutageStart, g.Zones[1])
	g.addPolicy(zoneOutageEnd, "")
}
