// Package cellpb holds the generated code of a cell's records and messages; cell.proto describes them.
//
// # Usage
//
//	value, err := proto.Marshal(&cellpb.Record{Body: &cellpb.Record_Job{Job: job}})
package cellpb
