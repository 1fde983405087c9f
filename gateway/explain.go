package gateway

import (
	"context"

	"radishpath.example/radishpath/cell/cellpb"
)

// explain answers a request for an explanation, or forwards it once to the scheduler.
func (p *PeerService) explain(ctx context.Context, request *cellpb.Request, body *cellpb.Explain) *cellpb.Reply {
	if explanation, ok := p.config.Explain(ctx, body); ok {
		return &cellpb.Reply{
			Body: &cellpb.Reply_Explanation{
				Explanation: explanation,
			},
		}
	}
	claim, _ := p.config.Mirror.Claim()
	if body.GetHops() > 0 || claim.GetAddress() == "" || claim.GetAddress() == p.config.Address {
		return &cellpb.Reply{
			Error: "no scheduler is known",
		}
	}
	body.Hops++
	reply := &cellpb.Reply{}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := p.config.Call(ctx, claim.GetAddress(), request, reply); err != nil {
		p.config.Logger.Warn("failed to forward a request to explain", "scheduler", claim.GetAddress(), "error", err)
		return &cellpb.Reply{
			Error: "the scheduler doesn't answer",
		}
	}
	return reply
}
