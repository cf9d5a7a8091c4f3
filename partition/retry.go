package partition

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

const (
	// minHang is the least time without an answer after which a call is sent
	// again in parallel.
	minHang = 600 * time.Millisecond
	// maxAttempts limits the attempts of one call in flight.
	maxAttempts = 3
	// latencyDecay is the factor by which each answer decays an earlier, higher
	// latency.
	latencyDecay = 0.6
	// minRetry and maxRetry bound the delay after a failed attempt.
	minRetry = 30 * time.Millisecond
	maxRetry = 300 * time.Millisecond
)

// decayedLatency returns the decayed maximum of the latency: the newest one or
// the decayed earlier value, whichever is higher.
func decayedLatency(before, took time.Duration) time.Duration {
	return max(took, time.Duration(latencyDecay*float64(before)))
}

// outcome is the result of one attempt.
type outcome[T any] struct {
	value T
	took  time.Duration
	err   error
}

// retryHedged makes a call until it succeeds, it fails with a permanent error,
// or ctx ends. It leaves an attempt that hangs, perhaps on a dead connection,
// in flight and sends another beside it, so that the call must be idempotent.
// It also returns how long the deciding attempt took.
func retryHedged[T any](ctx context.Context, hangTimeout time.Duration, call func(context.Context) (T, error)) (T, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], maxAttempts)
	attemptTimer := time.NewTimer(0)
	defer attemptTimer.Stop()
	inFlight, retry := 0, minRetry
	var last outcome[T]
	for {
		select {
		case <-ctx.Done():
			return last.value, last.took, timeoutError(ctx, last.err)
		case <-attemptTimer.C:
			if inFlight < maxAttempts {
				inFlight++
				go func() { outcomes <- attempt(ctx, maxAttempts*hangTimeout, call) }()
			}
			attemptTimer.Reset(hangTimeout)
		case last = <-outcomes:
			inFlight--
			if last.err == nil || IsPermanent(last.err) {
				return last.value, last.took, last.err
			}
			attemptTimer.Reset(retry)
			retry = min(2*retry, maxRetry)
		}
	}
}

// timeoutError returns the error of a call whose context ended: that of the
// last attempt, if any.
func timeoutError(ctx context.Context, last error) error {
	if last != nil {
		return last
	}
	return verdict.Wrap(errors.Wrap(context.Cause(ctx), "no answer"), verdict.MayHaveRun, ReasonNoAnswer)
}

// attempt makes a call once. Its timeout keeps the number of hanging attempts
// low enough for a new one to start every hang interval.
func attempt[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) outcome[T] {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	value, err := call(ctx)
	return outcome[T]{value, time.Since(began), err}
}

// IsPermanent reports whether an error is the log's definite answer, which a
// retry would not change.
func IsPermanent(err error) bool {
	switch verdict.ReasonOf(err) {
	case ReasonFenced, ReasonOutOfSequence, ReasonOffsetMismatch, ReasonTruncated, ReasonRejected:
		return true
	}
	return false
}
