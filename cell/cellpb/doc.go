// Package cellpb holds the code generated from cell.proto, which defines a cell's log records and messages.
//
// # Usage
//
//	value, err := proto.Marshal(&cellpb.Record{Body: &cellpb.Record_Job{Job: job}})
package cellpb
