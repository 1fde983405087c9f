package agent

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"radishpath.example/radishpath/gang"
	"radishpath.example/radishpath/peer"
	"radishpath.example/radishpath/peer/peerpb"
)

// benchWindow is long enough for ten heartbeats of each kind.
const benchWindow = 5 * time.Second

// traffic counts what one daemon's connections carry above TCP.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
	writes   atomic.Int64
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{
		Conn:    conn,
		traffic: l.traffic,
	}, nil
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{
		Conn:    conn,
		traffic: t,
	}, nil
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return listener
}

func serveBench(b *testing.B, listener net.Listener, handle peer.HandleFunc) string {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.NewServer(peer.ServerConfig{
			Handle: handle,
		}).Serve(ctx, listener)
	}()
	b.Cleanup(func() {
		cancel()
		require.NoError(b, <-done)
	})
	return listener.Addr().String()
}

func newBenchPool(b *testing.B, clock clockwork.Clock, dial peer.DialFunc) *peer.Pool {
	b.Helper()
	pool := peer.NewPool(peer.PoolConfig{
		Clock: clock,
		Dial:  dial,
	})
	b.Cleanup(pool.Close)
	return pool
}

// measure reports the daemon's traffic and the CPU time of the whole process, which also contains the other ends.
func measure(b *testing.B, clock clockwork.Clock, counted *traffic) {
	b.Helper()
	clock.Sleep(2 * time.Second)
	for b.Loop() {
		received, sent, writes, cpu := counted.received.Load(), counted.sent.Load(), counted.writes.Load(), cpuTime(b)
		clock.Sleep(benchWindow)
		seconds := benchWindow.Seconds()
		b.ReportMetric(float64(counted.received.Load()-received)/seconds, "B-in/s")
		b.ReportMetric(float64(counted.sent.Load()-sent)/seconds, "B-out/s")
		b.ReportMetric(float64(counted.writes.Load()-writes)/seconds, "writes/s")
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.Sys)/(1<<20), "MB-all-ends")
		b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%cpu-all-ends")
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAnnounce measures an idle agent with three entries: at most 3 KB/s and 3.8% of a core.
func BenchmarkAnnounce(b *testing.B) {
	clock := clockwork.NewRealClock()
	var entries []string
	var infos []*peerpb.EntryInfo
	for i := range 3 {
		listener := listen(b)
		entries = append(entries, listener.Addr().String())
		infos = append(infos, &peerpb.EntryInfo{
			Id:      fmt.Sprintf("entry-%d", i),
			Address: listener.Addr().String(),
		})
		serveBench(b, listener, func(context.Context, *peerpb.Request) *peerpb.Reply {
			return &peerpb.Reply{
				Kind: &peerpb.Reply_Announce{
					Announce: &peerpb.AnnounceReply{
						Confirmed: true,
						Age:       durationpb.New(123456789),
						Term: &peerpb.Term{
							Offset: 123456,
						},
						Entries: infos,
					},
				},
			}
		})
	}
	counted := &traffic{}
	s := &system{
		clock: clock,
	}
	a := New(Config{
		ID:      "worker-curepipe-01",
		Address: "127.0.0.1:0",
		Zone:    "curepipe",
		Entries: entries,
		Clock:   clock,
		Worker:  newFakeWorker(s).port(),
		Backend: newFakeBackend(s).port(),
		Peers:   newBenchPool(b, clock, counted.dial),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	measure(b, clock, counted)
	cancel()
	require.NoError(b, <-done)
}

// BenchmarkWatch measures an inner member of a gang with all its children and a parent, and a leaf: at most 3 KB/s and
// 3.8% of a core.
func BenchmarkWatch(b *testing.B) {
	b.Run("inner", func(b *testing.B) { benchmarkWatch(b, 1) })
	b.Run("leaf", func(b *testing.B) { benchmarkWatch(b, 2*gang.DefaultFanout) })
}

func benchmarkWatch(b *testing.B, measured int) {
	b.Helper()
	const members, inner = 2*gang.DefaultFanout + 1, 1
	clock := clockwork.NewRealClock()
	counted := &traffic{}
	addresses := make([]*peerpb.Member, members)
	for i := range addresses {
		addresses[i] = &peerpb.Member{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for index := range members {
		if index > inner && index <= gang.DefaultFanout {
			continue
		}
		var dial peer.DialFunc
		listener := listen(b)
		if index == measured {
			dial = counted.dial
			listener = countedListener{
				Listener: listener,
				traffic:  counted,
			}
		}
		m := newMember(newKey("2f1b8e1c-6a55-4d7e-9a43-0f9f0d1c2b3a", tryNumber(1), int32(index)), addresses, clock,
			newBenchPool(b, clock, dial))
		addresses[index].Address = serveBench(b, listener, func(ctx context.Context, r *peerpb.Request) *peerpb.Reply {
			return &peerpb.Reply{
				Kind: &peerpb.Reply_Beat{
					Beat: m.beat(ctx, r.GetBeat()),
				},
			}
		})
		go m.run(ctx)
	}
	measure(b, clock, counted)
}
