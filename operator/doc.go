// Package operator implements operator functions: publishing the document to the store and reading it back, waiting
// until all entries have applied it, and serving the metrics and profiles of a process.
//
// # Usage
//
// Publishing a document:
//
//	publisher := operator.NewPublisher(operator.PublisherConfig{
//		Operations:  operations,
//		Documents:   documents,
//		ApplyRecord: platform.ApplyOperation,
//		DiffRecords: platform.DiffOperations,
//	})
//	current, err := publisher.Current(ctx)
//	published, err := publisher.Publish(ctx, current.Revision, text)
//
// If another publish came first, Publish returns a ConflictError with the current document. An error that wraps
// ErrOutcomeUnknown means that the document may have been published; after any other error nothing was published.
//
// Serving the administration endpoints of a process:
//
//	metrics := operator.NewMetrics(logger)
//	handler := operator.NewAdmin(metrics.Handler)
package operator
