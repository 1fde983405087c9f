// Package storeserver simulates the platform's metadata store: keyed logs with conditional and fenced appends, long
// polls, retention and the newest record of each key. It keeps all data in memory.
//
// # Usage
//
//	store := storeserver.New(clock)
//	server := httptest.NewServer(store.Endpoint())
//	store.Append("keyed.op", "config", value)
//
// Each Endpoint is an HTTP handler for the same store with its own injected fault, so that a test can make the store
// fail for one process only.
package storeserver
