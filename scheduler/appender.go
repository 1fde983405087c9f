package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"radishpath.example/radishpath/boottime"
	"radishpath.example/radishpath/cell"
)

const (
	// minCopyDelay is the least time without an answer after which an append is sent once more beside the first copy. Of
	// the time without a record after which another entry claims, it leaves enough for several copies.
	minCopyDelay = 200 * time.Millisecond
	// copyDelayFactor is the multiple of the usual time of an answer after which an answer counts as late. A log that is
	// slow for all isn't asked twice.
	copyDelayFactor = 3
	// maxAppendCopies is the number of unanswered copies of an append.
	maxAppendCopies = 4
	// answerTimeWeight is the weight of an answer in the moving average of their times.
	answerTimeWeight = 0.2
)

// appender appends to the cell's log under the scheduler's fence. Answers may be lost, and with them the connection;
// another copy under the same sequence number then has the same effect, at once. It is used for one append at a time.
type appender struct {
	append   appendFunc
	logger   hclog.Logger
	clock    clockwork.Clock
	bootTime boottime.Clock
	// answerTime is the moving average of the times of answers.
	answerTime time.Duration
}

// appendAnswer is the answer to one copy of an append.
type appendAnswer struct {
	sentAt time.Duration
	err    error
}

// run appends records until the log has taken them or never will, and returns when the answered copy was sent.
func (a *appender) run(ctx context.Context, records []cell.LogRecord, fence *cell.Fence) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan appendAnswer)
	unanswered, sent := 0, 0
	defer func() {
		cancel()
		for range unanswered {
			<-answers
		}
	}()
	backoff := initialAppendBackoff
	next := a.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("append: %w", context.Cause(ctx))
		case <-next:
			next = nil
			unanswered++
			sent++
			go a.sendCopy(ctx, records, fence, answers)
			if unanswered < maxAppendCopies {
				next = a.clock.After(a.copyDelay())
			}
		case answer := <-answers:
			unanswered--
			if isFinal(answer.err) || ctx.Err() != nil {
				a.noteAnswer(fence, answer, sent)
				return answer.sentAt, answer.err
			}
			a.logFailure(fence, sent, answer.err)
			next = a.clock.After(backoff)
			backoff = min(2*backoff, maxAppendBackoff)
		}
	}
}

// sendCopy sends one copy of an append and passes its answer on.
func (a *appender) sendCopy(
	ctx context.Context, records []cell.LogRecord, fence *cell.Fence, answers chan<- appendAnswer,
) {
	sentAt := a.bootTime.Now()
	_, err := a.append(ctx, records, fence, -1, maxAppendTimeout)
	answers <- appendAnswer{
		sentAt: sentAt,
		err:    err,
	}
}

// copyDelay is the time without an answer after which another copy is sent.
func (a *appender) copyDelay() time.Duration {
	return max(minCopyDelay, copyDelayFactor*a.answerTime)
}

// isFinal reports whether an answer shows that the records are stored or never will be.
func isFinal(err error) bool {
	var sequenceErr *cell.SequenceError
	return err == nil || errors.Is(err, cell.ErrFenced) || errors.As(err, &sequenceErr)
}

func (a *appender) noteAnswer(fence *cell.Fence, answer appendAnswer, sent int) {
	if answer.err != nil {
		return
	}
	took := a.bootTime.Now() - answer.sentAt
	a.answerTime += time.Duration(answerTimeWeight * float64(took-a.answerTime))
	if sent > 1 {
		a.logger.Info("append to the log succeeded after retries", "sequence", fence.Sequence, "copies", sent,
			"took", took.Milliseconds())
	}
}

func (a *appender) logFailure(fence *cell.Fence, sent int, err error) {
	if sent == 1 {
		a.logger.Warn("append to the log failed; retrying", "sequence", fence.Sequence, "error", err)
	}
}
