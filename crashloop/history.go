// Package crashloop tells a task that crashes the servers that run it from the
// tasks beside it and from servers that crash for causes of their own.
//
// One crash names a dozen suspects. Each of them is tried by itself: it starts on
// a server on which nothing else is started until the trial is over. A suspect that
// outlives its trial is cleared; one under which two servers crashed in trials is
// given up.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent
// use.
package crashloop

import (
	"slices"
	"time"
)

// Kind says what a crash shows about a run that it ended.
type Kind uint8

const (
	// Weak: something else is the likelier cause, such as an outage of several
	// servers or a run that had only just begun.
	Weak Kind = iota + 1
	// Shared: this run or another one on the server is the likely cause.
	Shared
	// Alone: the crash came during a trial of this run.
	Alone
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Weak:
		return "weak"
	case Shared:
		return "shared"
	case Alone:
		return "alone"
	}
	return "none"
}

const (
	// trialCrashes is the number of servers that have to crash in trials of a task
	// before it is given up.
	trialCrashes = 2
	// maxCrashes gives up a task after so many crashes without a passed trial, one
	// of them in a trial. Trials that others disturb must not go on for ever.
	maxCrashes = 5
	// weakCrashes is the number of weak crashes that make a task a suspect. One is
	// what an outage does to every task.
	weakCrashes = 2

	// minTrial and maxTrial bound a trial. It lasts ageFactor times as long as the
	// task ever ran before a crash, doubled for each trial after which it crashed
	// again.
	minTrial  = 500 * time.Millisecond
	maxTrial  = 10 * time.Second
	ageFactor = 2
	// maxDoublings takes minTrial to maxTrial.
	maxDoublings = 5

	// minBackoff is the delay of the start after the second crash; after the first
	// there is none. It doubles with each crash, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Crash is the crash of a server under a run.
type Crash struct {
	Run int `cbor:"1,keyasint,omitempty"`
	// Host identifies the machine, whose next server may have another ID.
	Host string `cbor:"2,keyasint,omitempty"`
	Kind Kind   `cbor:"3,keyasint,omitempty"`
}

// History is the evidence against one task, or one gang as a whole. The zero value
// has none. It is stored with the task.
type History struct {
	// Crashes are those since the last passed trial.
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// PassedTrials counts the trials that the task outlived.
	PassedTrials int `cbor:"2,keyasint,omitempty"`
	// LongestMS is the longest time from a start to a crash that is more than weak
	// evidence, in milliseconds.
	LongestMS int64 `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to store.
func (h *History) Empty() bool { return len(h.Crashes) == 0 && h.PassedTrials == 0 }

// Add records a crash that came age after the run's start. It reports false if a
// crash of that run has been recorded before: a gang's run counts once.
func (h *History) Add(c Crash, age time.Duration) bool {
	if slices.ContainsFunc(h.Crashes, func(known Crash) bool { return known.Run == c.Run }) {
		return false
	}
	h.Crashes = append(h.Crashes, c)
	if c.Kind != Weak {
		h.LongestMS = max(h.LongestMS, age.Milliseconds())
	}
	return true
}

// Suspect reports whether the task may only be started in a trial.
func (h *History) Suspect() bool {
	return len(h.Crashes) >= weakCrashes || slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Kind != Weak })
}

// GivenUp reports whether the task must not be started any more.
func (h *History) GivenUp() bool {
	hosts := make(map[string]bool)
	for _, c := range h.Crashes {
		if c.Kind == Alone {
			hosts[c.Host] = true
		}
	}
	return len(hosts) >= trialCrashes || len(hosts) > 0 && len(h.Crashes) >= maxCrashes
}

// CrashedOn reports whether a crash on the host is recorded.
func (h *History) CrashedOn(host string) bool {
	return slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Host == host })
}

// TrialTime returns how long the task has to run in its next trial.
func (h *History) TrialTime() time.Duration {
	d := max(minTrial, ageFactor*time.Duration(h.LongestMS)*time.Millisecond)
	return min(d<<min(max(h.PassedTrials, 0), maxDoublings), maxTrial)
}

// Backoff returns the delay of the next start.
func (h *History) Backoff() time.Duration {
	if len(h.Crashes) < 2 {
		return 0
	}
	return min(minBackoff<<min(len(h.Crashes)-2, maxDoublings), maxBackoff)
}

// Clear drops the evidence, after a passed trial or a successful run.
func (h *History) Clear() {
	if len(h.Crashes) == 0 {
		return
	}
	h.Crashes = nil
	h.PassedTrials++
}
