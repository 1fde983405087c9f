// Package callerclient is a typed client for the HTTP API for callers, which docs/api.md describes.
//
// # Usage
//
//	client := callerclient.New(callerclient.Config{Address: "127.0.0.1:7080", Token: token})
//	job, err := client.Submit(ctx, callerclient.Submission{ID: id, Payload: payload}, 30*time.Second)
//
// An Error is an error reply: the server did not accept the call. After any other error of Submit the outcome is
// unknown: query the job by its id, or submit it again under the same id, which never runs a job twice.
package callerclient
