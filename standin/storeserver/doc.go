// Package storeserver is a model of the platform's metadata store: keyed logs with conditional and fenced appends, long
// polls, retention and the newest record of each key. It keeps everything in memory.
//
// # Usage
//
//	store := storeserver.New(clock)
//	server := httptest.NewServer(store.Door())
//	store.Write("keyed.op", "config", value)
//
// Each Door is a way into the same store with faults of its own, so that a test can turn one process away and serve the
// others.
package storeserver
