// Package operator serves the administration HTTP API of a process and holds its typed client. docs/api.md describes
// the API.
//
// # Usage
//
// A process fills the functions that it can answer; routes of functions that are nil do not exist. An agent has only
// Ready and Metrics:
//
//	metrics := operator.NewMetrics(logger)
//	server := operator.NewServer(operator.ServerConfig{
//		Logger:    logger,
//		Clock:     clock,
//		Operators: settings.Operators,
//		Ready:     ready,
//		Metrics:   metrics.Handler,
//	})
//	err := server.Serve(ctx, listener)
//
// Everything but /healthz and /readyz needs a bearer token of an operator. Without one the answer is 401 for every
// path, so that it says nothing about what exists.
//
// The commands use the Client:
//
//	client := operator.NewClient(operator.ClientConfig{Address: "127.0.0.1:7090", Token: token})
//	result, err := client.Publish(ctx, operator.PublishRequest{Base: 4, Text: text})
//
// A publish that lost to another one returns a ConflictError with the current revision and the diff.
package operator
