// Package logserver is an in-memory log service for tests: streams of records with offsets, long-poll reads,
// retention, and faults that are switched on and off while it runs.
//
// # Usage
//
//	server := logserver.New(logserver.Config{
//		Clock: clock,
//	})
//	http.Serve(listener, server.Handler())
//
// PUT /faults replaces all switches by the ones in the body, so that an empty object turns every fault off:
//
//	{"unavailable": "close", "reads": "2s", "appends": "2s", "lost": 1, "hang": true, "rate": 50,
//	 "retention": "10s", "keep": 1000, "truncate": {"jobs": 500}}
//
// See Faults for their meaning. GET /faults returns the switches.
package logserver
