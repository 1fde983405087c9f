// Package jobstream writes the job stream in batches and follows it into a ledger.
//
// # Usage
//
// A process runs one Writer and one Follower over the same ledger. The follower shows the writer every batch:
//
//	jobs := ledger.New()
//	writer := journal.NewWriter(journal.WriterConfig{
//		ID:       processID, // unique for every start of a process
//		Ledger:   jobs,
//		Clock:    clock,
//		Append:   appendJobs,
//		Rejected: func(err error) bool { return errors.Is(err, platform.ErrRejected) },
//	})
//	follower := journal.NewFollower(journal.FollowerConfig{
//		Ledger:   jobs,
//		Clock:    clock,
//		Read:     readJobs,
//		Observe:  writer.Observe,
//		Truncate: writer.Truncate,
//	})
//	result, err := writer.Submit(ctx, record)
//
// Both have a Run method that returns when its context ends.
//
// # Outcome of a submission
//
// Submit returns after the follower has folded the batch. Without an error, the record is in the log and
// Result.Changes says whether it took effect. An error wraps ErrNotAppended when the records are definitely not in the
// log and will not be, and ErrUnknown when they may be or may still appear.
//
// An append without a response may appear at any later time, even behind younger batches, so neither reading to the
// end of the log nor finding a younger batch proves that it is lost. The writer therefore appends the same batch, with
// the same writer and sequence, until the follower finds a copy or an append is confirmed. The ledger gives effect to
// the first copy only, which makes every later appearance harmless. Only then does the writer send the next batch, so
// the batches of one writer begin in the log in the order of their sequences. A batch is dropped only while every
// attempt so far was definitely refused. After ErrUnknown the writer goes on until the batch is settled; the caller
// learns the outcome from the ledger, or settles an accept by submitting a void of the id.
//
// # Carries
//
// Carry restates live jobs. A reader of a truncated log may use a carry only if it has every record since the carry
// was written (see package ledger). The writer therefore appends an empty batch and reads it back before it writes
// carries.
//
// # Currency
//
// Status.Current is the start of the last read that reached the end of the log: everything appended before that
// moment is folded. WaitCurrent waits for a read that began after a given time.
package jobstream
