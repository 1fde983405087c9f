// Package callerclient is the typed client of the HTTP API for callers. docs/api.md describes the API.
//
// # Usage
//
//	client := callerclient.New(callerclient.Config{Address: "127.0.0.1:7080", Token: token})
//	job, err := client.Submit(ctx, callerclient.Submission{ID: id, Payload: payload}, 30*time.Second)
//
// An Error is a reply of the server, which did not accept the call. After any other error of Submit the outcome is
// unknown: ask for the job by its id, or submit again under the same id, which never runs a job twice.
package callerclient
