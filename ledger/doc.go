// Package ledger folds the job stream into the state of every job. The order of the log is authoritative: every
// reader that folds the same batches reaches the same state, and a writer learns whether its record took effect by
// folding its own batch.
//
// # Usage
//
// A follower applies each batch in the order of the log and looks at the changes:
//
//	jobs := ledger.New()
//	for _, change := range jobs.Apply(offset, batch) {
//		if !change.Applied {
//			logger.Info("record without effect", "job", change.Job, "reason", change.Reason)
//		}
//	}
//	state, ok := jobs.Job("a1")
//
// A record without effect carries a Reason. A Ledger is safe for concurrent use; the messages in its states are
// shared and must not be changed.
//
// # Rules
//
// The first accept of an id takes effect; its offset is the job's generation. An adopt that names the current
// generation takes effect; its offset is the next generation. A start takes effect if it names the current
// generation and the job has not ended; of a non-idempotent job only the first one does. The first end takes effect.
// An end that claims that nothing ran (never_started, or the outcome refused) has no effect after a start of a
// non-idempotent job, and none when it names an older generation, because a newer owner may have run the job. A void
// takes effect on an id that was not accepted; a later accept of that id has no effect. A cancel before the accept is
// remembered and the job is accepted as cancelled. The last claim is the current one. A batch whose writer and
// sequence were folded before has no effect.
//
// # Truncated logs
//
// A reader that starts at a later offset meets records about jobs that it does not know. It keeps them until a carry
// restates the job, and then folds them on top of the carry. A record between the moment at which a carry was written
// and its offset would be missing from the carry. Therefore a carry in the batch with sequence n states the job as of
// that writer's batch n-1 or later, and counts only for readers that folded batch n-1: they have every record since.
// Folding a record again that the carry already contains has no effect. Package journal keeps this rule when it
// writes carries.
//
// One case is left to the caller. If an id ended or became void just below the first offset, and a copy of its accept
// follows just above it, a new reader takes the copy for the first accept. Live jobs are carried every quarter of the
// retention, so a job that looks live, was accepted more than half of the retention ago, and has Restated zero is such
// a copy; its owner must end it as lost instead of running it.
//
// A claim is not carried; the placer appends its claim again every quarter of the retention, under a new term.
//
// # Memory
//
// The target is 18,000 jobs per day, remembered for the log's retention. A job that is not ended is kept whole, with
// its payload. Of an ended one, payload and agents are dropped and the rest is kept in its wire form. Bodies of
// answers are kept up to a total of 32 MiB, newest first; State.AnswerDropped tells that the body has to be read
// again from the record at State.EndOffset.
package ledger
