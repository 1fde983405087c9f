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

	"radishpath.example/radishpath/peer/peerpb"
)

// gangNetwork carries heartbeats between the members of one gang; an address is an index.
type gangNetwork struct {
	clock   clockwork.Clock
	members []*member
	latency time.Duration
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

// oldest runs a gang and returns the highest age that any member saw in each window of 5 s.
func (n *gangNetwork) oldest(ctx context.Context, members, windows int) []time.Duration {
	var addresses []*peerpb.Member
	for i := range members {
		addresses = append(addresses, &peerpb.Member{
			Address: strconv.Itoa(i),
		})
	}
	for i := range members {
		n.members = append(n.members, newMember(newKey("job", tryNumber(1), int32(i)), addresses, n.clock, n))
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, m := range n.members {
		group.Go(func() {
			n.clock.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
			m.run(ctx)
		})
	}
	var all []time.Duration
	for range windows {
		var oldest time.Duration
		for range 100 {
			for _, m := range n.members {
				m.watch.Renewed(n.clock.Now(), true)
				age, _ := m.watch.Age()
				oldest = max(oldest, age)
			}
			n.clock.Sleep(50 * time.Millisecond)
		}
		all = append(all, oldest)
	}
	cancel()
	group.Wait()
	return all
}

// TestLargeGangStaysYoung guards against a tree whose levels add up to the limit in normal operation: with a heartbeat
// every 500 ms and no rounds, the six trips up and down three levels add up to 3 s.
func TestLargeGangStaysYoung(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 20 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := &gangNetwork{
					clock:   clockwork.NewRealClock(),
					latency: latency,
				}
				// The first windows contain the starts, which are spread over a second.
				for _, oldest := range n.oldest(t.Context(), 1024, 4)[2:] {
					require.Less(t, oldest, 1250*time.Millisecond)
				}
			})
		})
	}
}
