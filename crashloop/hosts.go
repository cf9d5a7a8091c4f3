package crashloop

import (
	"slices"
	"time"
)

const (
	// brokenWindow is the time within which servers whose connections broke count as
	// one outage, and silentWindow that for servers whose silence was noticed by a
	// time-out.
	brokenWindow = 150 * time.Millisecond
	silentWindow = 1500 * time.Millisecond
	// outageOthers is the number of other servers that make a crash an outage.
	outageOthers = 2
	// hostMemory is how long a crash counts against a host.
	hostMemory = 30 * time.Second
	// unreliableCrashes is the number of crashes within hostMemory from which a host
	// counts as unreliable.
	unreliableCrashes = 2
)

// Down is the moment at which a server stopped responding.
type Down struct {
	Host string
	At   time.Time
	// Broken is set if its connections broke, so that At is exact.
	Broken bool
	// OnTrial is set if a trial was under way on the server.
	OnTrial bool
}

// Hosts remembers which machines went down lately. The zero value knows of none.
type Hosts struct{ down []Down }

// WentDown records that a server stopped responding.
func (h *Hosts) WentDown(d Down) {
	kept := h.down[:0]
	for _, known := range h.down {
		if d.At.Sub(known.At) < hostMemory {
			kept = append(kept, known)
		}
	}
	h.down = append(kept, d)
}

// Outage reports whether several other servers went down together with the host, which
// went down at that time. The end of a server on which a trial is under way is
// expected, and no part of an outage.
func (h *Hosts) Outage(host string, at time.Time) bool {
	broken := slices.ContainsFunc(h.down, func(d Down) bool { return d.Host == host && d.At.Equal(at) && d.Broken })
	others := make(map[string]bool)
	for _, d := range h.down {
		window := silentWindow
		if broken && d.Broken {
			window = brokenWindow
		}
		if d.Host != host && !d.OnTrial && at.Sub(d.At).Abs() <= window {
			others[d.Host] = true
		}
	}
	return len(others) >= outageOthers
}

// Unreliable reports whether the host went down several times lately.
func (h *Hosts) Unreliable(host string, now time.Time) bool {
	n := 0
	for _, d := range h.down {
		if d.Host == host && now.Sub(d.At) < hostMemory {
			n++
		}
	}
	return n >= unreliableCrashes
}
