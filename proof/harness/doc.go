// Package harness runs the real binaries for process-level tests: the stand-ins for log and workers, entries and
// agents. It stops, kills and restarts them, cuts the connections between them, and judges what the workers did by
// their own records.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		os.Exit(harness.Run(m))
//	}
//
//	h := harness.New(t, harness.Config{
//		Clock: clockwork.NewRealClock(),
//	})
//	cluster := h.StartCluster(harness.ClusterConfig{
//		Entries: 2,
//		Workers: []harness.WorkerConfig{
//			{
//				ID:   "w1",
//				Zone: "suva",
//				Rack: "r1",
//			},
//		},
//	})
//	cluster.Agents[0].Kill()
//	h.Network().Cut("entry-1", "log")
//	require.NoError(t, harness.NoPartialGangs(h.Events(), members, limit, clock.Now()))
//
// Every process ends when the test ends, also on failure, and when the test process itself is killed. The output of
// each process goes to a file in Config.Directory; the ends of these files are logged when the test fails.
//
// Ports lie outside the range from which the kernel takes the ports of outgoing connections, in blocks that one
// Harness holds at a time, so that a process finds its address free when it is restarted.
package harness
