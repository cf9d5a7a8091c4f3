package logclient

import "github.com/pkg/errors"

import "time"

// Health is the state of the log as seen by one client.
type Health uint8

// States of the log.
const (
	// HealthUnknown applies until the first answer.
	HealthUnknown Health = iota
	// HealthFresh means that answers to reads arrive in time.
	HealthFresh
	// HealthSlow means that answers arrive late.
	HealthSlow
	// HealthDown means that no answer arrives.
	HealthDown
	// HealthTruncated means that the log dropped records that were not read
	// yet.
	HealthTruncated
)

// String returns the state's name.
func (h Health) String() string {
	return [...]string{"unknown", "fresh", "slow", "down", "truncated"}[h]
}

// MarshalText returns the state's name.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Thresholds of the health decision.
const (
	// SlowAfter: the log counts as slow if an answer is late by more than
	// this.
	SlowAfter = time.Second
	// DownAfter: the log counts as down after this long without an answer,
	// even while calls are pending.
	DownAfter = 12 * time.Second
	// DownFailures: the log counts as down, ahead of DownAfter, after this
	// many consecutive failed reads.
	DownFailures = 3
)

// HealthSignals is what one client has observed of the log. The zero value has
// observed nothing. Methods return changed copies.
type HealthSignals struct {
	// StartedAt is when the client was created.
	StartedAt time.Time
	// LastAnswer is when the last valid answer arrived, and Lateness how much
	// later it was than the wait that was asked for.
	LastAnswer time.Time
	Lateness   time.Duration
	// Failures counts the failed reads since the last valid answer.
	Failures int
	// Truncated is set while the log lacks records that were never read, or no
	// longer agrees with those that were.
	Truncated bool
}

// WithAnswer returns the signals after a valid answer.
func (s HealthSignals) WithAnswer(now time.Time, late time.Duration) HealthSignals {
	s.LastAnswer, s.Lateness, s.Failures = now, late, 0
	return s
}

// WithFailure returns the signals after a failed read.
func (s HealthSignals) WithFailure() HealthSignals {
	s.Failures++
	return s
}

// Health returns the log's health according to the signals.
func (s HealthSignals) Health(now time.Time) Health {
	last := s.LastAnswer
	if last.IsZero() {
		last = s.StartedAt
	}
	sinceLastAnswer := now.Sub(last)
	switch {
	case s.Failures >= DownFailures || sinceLastAnswer > DownAfter:
		return HealthDown
	case s.Truncated:
		return HealthTruncated
	case s.LastAnswer.IsZero():
		return HealthUnknown
	case s.Lateness > SlowAfter || sinceLastAnswer > SlowAfter+MaxReadWait:
		return HealthSlow
	default:
		return HealthFresh
	}
}

// UnmarshalText parses a state's name.
func (h *Health) UnmarshalText(text []byte) error {
	for _, each := range []Health{HealthUnknown, HealthFresh, HealthSlow, HealthDown, HealthTruncated} {
		if each.String() == string(text) {
			*h = each
			return nil
		}
	}
	return errors.Errorf("unknown log health %q", text)
}
