package entry

import (
	"context"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/peer/peerpb"
)

// maxHandovers bounds the ends that other entries could not record yet.
const maxHandovers = 4096

// handovers keeps job ends that another entry reached while the log was unavailable. If that entry dies before it can
// record them, whoever adopts the jobs records these ends instead of running the jobs again.
type handovers struct {
	mu   sync.Mutex
	ends *lru.Cache[string, *peerpb.Carry]
}

func newHandovers() *handovers {
	ends, err := lru.New[string, *peerpb.Carry](maxHandovers)
	if err != nil {
		panic(err) // the size is a positive constant.
	}
	return &handovers{
		ends: ends,
	}
}

// add takes over ends from another entry. The first one of a job counts.
func (h *handovers) add(handover *peerpb.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, carry := range handover.GetJobs() {
		if carry.GetEnd() != nil {
			h.ends.PeekOrAdd(carry.GetJob().GetId(), carry)
		}
	}
}

// get returns the end of a job, if another entry reached one.
func (h *handovers) get(job string) (*peerpb.Carry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.Get(job)
}

// remove drops an end that is in the log.
func (h *handovers) remove(job string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends.Remove(job)
}

// shareEnd tells the other entries about an end that the log did not take. It returns whether one of them has it, or
// none is known to be alive.
func (e *Entry) shareEnd(ctx context.Context, job *peerpb.Job, end *peerpb.End) bool {
	carry := &peerpb.Carry{
		Job:        job,
		Owner:      e.config.ID,
		Generation: end.GetGeneration(),
		End:        end,
	}
	handover := &peerpb.Handover{
		Jobs: []*peerpb.Carry{carry},
	}
	e.handovers.add(handover)
	now := e.config.Clock.Now()
	alive, told := 0, 0
	for _, known := range e.members.list() {
		if !e.members.isAlive(known.info.GetId(), now, ownerSilence) {
			continue
		}
		alive++
		verdict, err := e.verdict(ctx, known.info.GetAddress(), &peerpb.Request{
			Kind: &peerpb.Request_Handover{
				Handover: handover,
			},
		})
		if err == nil && verdict.GetOk() {
			told++
		}
	}
	return alive == 0 || told > 0
}

// endFromPeer ends a job for which another entry reached an end that is not in the log.
func (e *Entry) endFromPeer(ctx context.Context, r *runner) bool {
	carry, ok := e.handovers.get(r.job.GetId())
	if !ok {
		return false
	}
	end, ok := proto.Clone(carry.GetEnd()).(*peerpb.End)
	if ok {
		r.end(ctx, end)
	}
	return ok
}
