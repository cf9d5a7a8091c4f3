package ownership

import (
	"testing"
	"time"
)

// The rows are those of docs/design/outage.md: whether a holder may act in
// each kind of outage.
func TestLease_DuringOutage(t *testing.T) {
	const second = Instant(time.Second)
	start := Instant(time.Hour)
	witnesses := []string{"a1", "b1", "c1", "d1", "e1"}
	held := ShareState{Tenure: Tenure{Epoch: 4, Holder: "a1", Witnesses: witnesses}, Effective: true, ReadEvidence: start}
	attest := func(p Protocol, s ShareState, asked Instant, names ...string) ShareState {
		for _, n := range names {
			s = p.ApplyAttestation(s, n, 4, asked, asked)
		}
		return s
	}
	other := Entry{Tenure: Tenure{Epoch: 5, Holder: "b1", Witnesses: witnesses}}
	own := Entry{Tenure: held.Tenure}
	tests := []struct {
		name  string
		steps func(p Protocol, s ShareState) ShareState
		at    Instant
		want  bool
	}{
		{"log fresh", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", own, start+9*second, start+9*second)
		}, 10 * second, true},
		{"log slow: a read took 2 s", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", own, start+7*second, start+9*second)
		}, 9*second + second/2, true},
		{"log slow: a read took 4 s", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", own, start+5*second, start+9*second)
		}, 9 * second, false},
		{"log unreachable for this daemon alone, a peer reads", func(p Protocol, s ShareState) ShareState {
			return p.ApplyPeerRead(s, 4, start+9*second, start+9*second)
		}, 10 * second, true},
		{"log down for all, majority of witnesses reached", func(p Protocol, s ShareState) ShareState { return attest(p, s, start+9*second, "a1", "b1", "c1") }, 10 * second, true},
		{"log down for all, minority of witnesses reached", func(p Protocol, s ShareState) ShareState { return attest(p, s, start+9*second, "a1", "b1") }, 10 * second, false},
		{"log down, a witness restarted", func(p Protocol, s ShareState) ShareState { return attest(p, s, start+9*second, "a1", "b1", "c2") }, 10 * second, false},
		{"log down, renewal of unknown outcome, majority of the old witnesses only", func(p Protocol, s ShareState) ShareState {
			s.Pending = Tenure{Epoch: 5, Holder: "a1", Witnesses: []string{"a1", "f1", "g1"}}
			return attest(p, s, start+9*second, "a1", "b1", "c1")
		}, 10 * second, false},
		{"log down, renewal of unknown outcome, both majorities", func(p Protocol, s ShareState) ShareState {
			s.Pending = Tenure{Epoch: 5, Holder: "a1", Witnesses: []string{"a1", "f1", "g1"}}
			return attest(p, s, start+9*second, "a1", "b1", "c1", "f1")
		}, 10 * second, true},
		{"isolated for less than the lease duration", func(p Protocol, s ShareState) ShareState { return s }, 2 * second, true},
		{"isolated for the lease duration", func(p Protocol, s ShareState) ShareState { return s }, 3 * second, false},
		{"resumed after a long pause", func(p Protocol, s ShareState) ShareState { return s }, 600 * second, false},
		{"resumed, with an answer requested before the pause", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", own, start+second, start+600*second)
		}, 600 * second, false},
		{"resumed, after a new read", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", own, start+600*second, start+600*second)
		}, 601 * second, true},
		{"a later claim was read: until the evidence expires", func(p Protocol, s ShareState) ShareState {
			return p.ApplyRead(s, "a1", other, start+second, start+second)
		}, 2 * second, true},
		{"a later claim was read: no new evidence counts", func(p Protocol, s ShareState) ShareState {
			return attest(p, p.ApplyRead(s, "a1", other, start+second, start+second), start+2*second, "a1", "b1", "c1")
		}, 3 * second, false},
		{"agreed to a claim: until the leases in use end", func(p Protocol, s ShareState) ShareState {
			s, _ = p.HandleStop(s, 5, start+second)
			return s
		}, 2 * second, true},
		{"agreed to a claim: no longer", func(p Protocol, s ShareState) ShareState {
			s, _ = p.HandleStop(s, 5, start+second)
			return attest(p, s, start+2*second, "a1", "b1", "c1")
		}, 3 * second, false},
		{"claim not yet effective", func(p Protocol, s ShareState) ShareState {
			s.Effective = false
			return p.ApplyRead(s, "a1", own, start+9*second, start+9*second)
		}, 10 * second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Protocol{Timing: DefaultTiming}
			if _, got := p.Lease(tt.steps(p, held), start+tt.at); got != tt.want {
				t.Errorf("may act: %t, want %t", got, tt.want)
			}
		})
	}
}

func TestTiming_Check(t *testing.T) {
	if err := DefaultTiming.Validate(); err != nil {
		t.Error(err)
	}
	if err := (Timing{LeaseDuration: 3 * time.Second, TakeoverWait: 3100 * time.Millisecond}).Validate(); err == nil {
		t.Error("a takeover wait that a clock drift of 2% can undercut is accepted")
	}
}
