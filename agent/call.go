package agent

import (
	"context"

	"radishpath.example/radishpath/peer/peerpb"
)

// call is one request that waits, runs or has just ended.
type call struct {
	key   key
	job   *peerpb.Job
	large bool
	// done is closed when reply is set.
	done  chan struct{}
	reply *peerpb.ServeReply
}

func newCall(k key, job *peerpb.Job, large bool) *call {
	return &call{
		key:   k,
		job:   job,
		large: large,
		done:  make(chan struct{}),
	}
}

// await returns nil if ctx ends before the reply is known.
func (c *call) await(ctx context.Context) *peerpb.ServeReply {
	select {
	case <-c.done:
		return c.reply
	case <-ctx.Done():
		return nil
	}
}

func (c *call) finish(reply *peerpb.ServeReply) {
	c.reply = reply
	close(c.done)
}

func refusal(err error) *peerpb.ServeReply {
	return &peerpb.ServeReply{
		Refused: true,
		Reason:  err.Error(),
	}
}
