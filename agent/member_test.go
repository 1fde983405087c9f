package agent

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/gang"
	"radishpath.example/radishpath/peer/peerpb"
)

// gangNetwork carries heartbeats between the members of one gang; an address is an index.
type gangNetwork struct {
	clock   clockwork.Clock
	members []*member
	latency time.Duration
	group   sync.WaitGroup
	// stopLast stops the last member.
	stopLast context.CancelFunc
}

func (n *gangNetwork) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Reply, error) {
	n.clock.Sleep(n.latency)
	index, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	reply := n.members[index].beat(ctx, request.GetBeat())
	n.clock.Sleep(n.latency)
	return &peerpb.Reply{
		Kind: &peerpb.Reply_Beat{
			Beat: reply,
		},
	}, nil
}

func (n *gangNetwork) Forget(string) {}

// run lets the time pass while the first members renew their leases, and returns the highest and lowest age that
// any of them saw.
func (n *gangNetwork) run(d time.Duration, renewing int) (oldest, youngest time.Duration) {
	youngest = d + time.Hour
	for end := n.clock.Now().Add(d); n.clock.Now().Before(end); n.clock.Sleep(50 * time.Millisecond) {
		for _, m := range n.members[:renewing] {
			m.watch.Renewed(n.clock.Now(), true)
			age, _ := m.watch.Age()
			oldest, youngest = max(oldest, age), min(youngest, age)
		}
	}
	return oldest, youngest
}

// start starts the members within a second.
func (n *gangNetwork) start(ctx context.Context, members int) {
	var addresses []*peerpb.Member
	for i := range members {
		addresses = append(addresses, &peerpb.Member{
			Address: strconv.Itoa(i),
		})
	}
	for i := range members {
		n.members = append(n.members, newMember(newKey("job", tryNumber(1), int32(i)), addresses, n.clock, n))
	}
	for _, m := range n.members {
		memberCtx, cancel := context.WithCancel(ctx)
		n.stopLast = cancel
		n.group.Go(func() {
			n.clock.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
			m.run(memberCtx)
		})
	}
}

// TestLargeGang guards against members that outlive one in the third level, and against a tree whose levels add up to
// the limit in normal operation: with a heartbeat every 500 ms and no rounds, the six trips up and down three levels
// add up to 3 s.
func TestLargeGang(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := &gangNetwork{
					clock:   clockwork.NewRealClock(),
					latency: latency,
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer n.group.Wait()
				defer cancel()
				n.start(ctx, 1024)
				n.run(10*time.Second, len(n.members))
				oldest, _ := n.run(10*time.Second, len(n.members))
				require.Less(t, oldest, 1250*time.Millisecond)
				n.stopLast()
				// Heartbeats on their way at the stop count from their arrival, 20 ms later per level.
				n.run(gang.DefaultLimit+100*time.Millisecond, len(n.members)-1)
				_, youngest := n.run(time.Second, len(n.members)-1)
				require.GreaterOrEqual(t, youngest, gang.DefaultLimit)
			})
		})
	}
}
