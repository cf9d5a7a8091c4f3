package partition

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

const (
	// hangTime is how long a call to a log of usual speed may be without an answer
	// before it is sent again beside itself.
	hangTime = 600 * time.Millisecond
	// maxAttempts bounds the attempts of one call that are under way.
	maxAttempts = 3
	// latencyDecay is what one answer leaves of an earlier, longer one.
	latencyDecay = 0.6
	// minRetry and maxRetry bound the pause after an attempt that failed.
	minRetry = 30 * time.Millisecond
	maxRetry = 300 * time.Millisecond
)

// recentLatency is a log's latency of late, given what it was and how long the
// newest answer took: the longest, which fades.
func recentLatency(before, took time.Duration) time.Duration {
	return max(took, time.Duration(latencyDecay*float64(before)))
}

// outcome is what became of one attempt.
type outcome[T any] struct {
	value T
	took  time.Duration
	err   error
}

// repeat makes a call until it succeeds, its error is the log's own answer, or ctx
// ends. An attempt that hangs, maybe on a dead connection, is
// left under way and another sent beside it, so that the call must be one that
// may be repeated. It returns how long the attempt took that ended it.
func repeat[T any](ctx context.Context, hang time.Duration, call func(context.Context) (T, error)) (T, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], maxAttempts)
	again := time.NewTimer(0)
	defer again.Stop()
	open, retry := 0, minRetry
	var last outcome[T]
	for {
		select {
		case <-ctx.Done():
			return last.value, last.took, ended(ctx, last.err)
		case <-again.C:
			if open < maxAttempts {
				open++
				go func() { outcomes <- attempt(ctx, maxAttempts*hang, call) }()
			}
			again.Reset(hang)
		case last = <-outcomes:
			open--
			if last.err == nil || IsPermanent(last.err) {
				return last.value, last.took, last.err
			}
			again.Reset(retry)
			retry = min(2*retry, maxRetry)
		}
	}
}

// ended is the error of a call whose time is over: that of its last attempt if
// there was one.
func ended(ctx context.Context, last error) error {
	if last != nil {
		return last
	}
	return verdict.Wrap(errors.Wrap(context.Cause(ctx), "no answer"), verdict.MayHaveRun, ReasonNoAnswer)
}

// attempt makes a call once. Attempts that hang end in time for the next, so that
// one begins every hang.
func attempt[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) outcome[T] {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	value, err := call(ctx)
	return outcome[T]{value, time.Since(began), err}
}

// IsPermanent reports whether an error is the log's own answer, which another attempt
// would not change.
func IsPermanent(err error) bool {
	switch verdict.ReasonOf(err) {
	case ReasonFenced, ReasonOutOfSequence, ReasonOffsetMismatch, ReasonTruncated:
		return true
	}
	return false
}
