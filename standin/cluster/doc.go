// Package cluster runs a radishpath deployment on the loopback interface: the real programs as separate processes, with
// simulations of the store and the executors in the calling process. The demo, the process-level tests and the soak
// test use it. Every process has its own loopback address, and every entry its own storeserver.Endpoint.
//
// # Usage
//
//	c, err := cluster.Start(ctx, cluster.Config{
//		BinaryPath: "bin/radishpath",
//		Clock:      clock,
//		Entries:    3,
//		Agents:     4,
//	})
//	defer c.Close()
//	c.Entries[0].Restart(ctx, syscall.SIGKILL, time.Second)
//	require.Empty(t, c.Recorder.Violations())
package cluster
