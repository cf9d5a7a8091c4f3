// Package verdict defines the verdict on a request: it ran, did not run or may have
// run. Every error that a component of the scheduler returns to another one or to a
// caller carries a verdict, so that the receiver knows whether a retry is safe.
package verdict

import (
	stderrors "errors"
	"fmt"
	"time"
)

// Verdict states whether a request was executed.
type Verdict uint8

const (
	// MayHaveRun means that nothing is known, so a retry is not safe. It is the
	// zero value.
	MayHaveRun Verdict = iota
	// NotRun means that certainly no part of the request was executed, so a retry
	// is safe.
	NotRun
	// Ran means that the request certainly was executed and its outcome is known.
	Ran
)

// String returns the wire form of v.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText returns the wire form of v. It never fails.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the wire form. For an unknown value it returns an error and
// sets the verdict to MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = MayHaveRun
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "ran":
		*v = Ran
	case "may_have_run":
	default:
		return fmt.Errorf("verdict: unknown word %q", text)
	}
	return nil
}

// Reason is a short machine-readable cause, such as "queue_full".
type Reason string

// Error is an error with a verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// RetryAfter is how long a caller should wait before a retry; zero if
	// nothing is advised.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// New returns an error with a verdict, a reason and a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// Wrap gives err a verdict and a reason. A nil err stays nil.
func Wrap(err error, v Verdict, reason Reason) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Reason: reason, Err: err}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the verdict, the reason and the cause, separated by colons.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Verdict, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: Ran for nil, the verdict of the outermost
// Error in its chain, or MayHaveRun where there is none.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of the outermost Error in err's chain, or
// "unknown".
func ReasonOf(err error) Reason {
	var e *Error
	if stderrors.As(err, &e) {
		return e.Reason
	}
	return "unknown"
}

// RetryAfterOf returns the RetryAfter of the outermost Error in err's chain, or zero.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if stderrors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
