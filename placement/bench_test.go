package placement

import (
	"fmt"
	"testing"
	"time"
)

// newLoadedScheduler returns a scheduler with three quarters of its accelerators in use and with queued jobs that do
// not fit. The queued jobs have one shape in 40 classes or, when mixed, about 800 shapes.
func newLoadedScheduler(b *testing.B, workers, waiting int, mixed bool) (*Scheduler, time.Time) {
	b.Helper()
	s := newScheduler(workers, Policy{
		Workspaces: []Workspace{
			{Name: "weddings", Share: 40, Guarantees: []Shape{{Members: 2, Accelerators: 4, Scope: ScopeRack}}},
			{Name: "hotel", Share: 30, Guarantees: []Shape{{Members: 1, Accelerators: 8, Scope: ScopeWorker}}},
			{Name: "garden", Share: 20},
			{Name: "beach", Share: 10},
		},
	})
	now := startTime().Add(time.Minute)
	names := []string{"weddings", "hotel", "garden", "beach"}
	for i := range workers * 3 {
		mustSubmit(b, s, now, newJob(fmt.Sprintf("run%d", i), names[i%4], 1, 2, ScopeWorker))
	}
	s.Decide(now)
	for i := range waiting {
		j := newJob(fmt.Sprintf("wait%d", i), names[i%4], 3, 8, ScopeRack)
		j.Kind = fmt.Sprintf("kind%d", i%10)
		if mixed {
			j.Members, j.Accelerators, j.Cores = 1+i%3, 5+i%4, 1+i%17
		}
		mustSubmit(b, s, now, j)
	}
	s.Decide(now)
	return s, now
}

func mustSubmit(b *testing.B, s *Scheduler, now time.Time, j Job) {
	b.Helper()
	if err := s.Submit(now, j); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkDecide measures the end of one job and the placement of another, with two accelerators each, while 1,000
// jobs are queued.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct {
		workers int
		mixed   bool
	}{
		{workers: 11},
		{workers: 128},
		{workers: 1500},
		{workers: 11, mixed: true},
		{workers: 128, mixed: true},
	} {
		b.Run(fmt.Sprintf("%d_workers_mixed=%t", size.workers, size.mixed), func(b *testing.B) {
			s, now := newLoadedScheduler(b, size.workers, 1000, size.mixed)
			b.ReportAllocs()
			last := "run0"
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second)
				s.Ended(now, last, Result{
					OK: true,
				})
				last = fmt.Sprintf("next%d", i)
				j := newJob(last, "weddings", 1, 2, ScopeWorker)
				mustSubmit(b, s, now, j)
				s.Decide(now)
			}
		})
	}
}

// BenchmarkGang measures the placement of a gang of 1,024 members in an empty cell.
func BenchmarkGang(b *testing.B) {
	for _, workers := range []int{128, 1500} {
		b.Run(fmt.Sprintf("%d_workers", workers), func(b *testing.B) {
			s := newScheduler(workers, Policy{})
			now := startTime().Add(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("gang%d", i)
				mustSubmit(b, s, now, newJob(id, "hotel", 1024, 1, ScopeAny))
				if d := s.Decide(now); len(d) != 1 || d[0].Kind != Place {
					b.Fatalf("%v", d)
				}
				s.Ended(now, id, Result{
					OK: true,
				})
			}
		})
	}
}

// BenchmarkCancel measures one submission and cancellation while 1,000 or 100,000 jobs are queued.
func BenchmarkCancel(b *testing.B) {
	for _, waiting := range []int{1000, 100000} {
		b.Run(fmt.Sprintf("%d_queued", waiting), func(b *testing.B) {
			s, now := newLoadedScheduler(b, 11, waiting, false)
			for i := 0; b.Loop(); i++ {
				j := newJob(fmt.Sprintf("c%d", i), "garden", 3, 8, ScopeRack)
				mustSubmit(b, s, now, j)
				s.Cancel(now, j.ID)
			}
		})
	}
}
