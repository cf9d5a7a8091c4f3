package state

import (
	"fmt"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/record"
)

func lessShare(a, b *ShareEntry) bool {
	if a.Share.Kind != b.Share.Kind {
		return a.Share.Kind < b.Share.Kind
	}
	return a.Share.Name < b.Share.Name
}

// applyJoin ends any earlier incarnation of the name. Shares that it claimed
// remain recorded as claimed by it.
func (s *State) applyJoin(e logEntry) (refused string) {
	d := e.Join.Daemon
	if d.Name == "" || d.Incarnation == "" {
		return "a daemon needs a name and an incarnation"
	}
	if s.isLive(d.Name, d.Incarnation) {
		return fmt.Sprintf("incarnation %s of %s has joined", d.Incarnation, d.Name)
	}
	s.t.daemons.ReplaceOrInsert(&d)
	return ""
}

func (s *State) applyLeave(e logEntry) (refused string) {
	if !s.isLive(e.Leave.Name, e.Leave.Incarnation) {
		return notLiveReason(e.Leave.Name, e.Leave.Incarnation)
	}
	s.t.daemons.Delete(&cluster.Daemon{Name: e.Leave.Name})
	return ""
}

func (s *State) isLive(name, incarnation string) bool {
	d, ok := s.t.daemons.Get(&cluster.Daemon{Name: name})
	return ok && d.Incarnation == incarnation
}

func notLiveReason(name, incarnation string) string {
	return fmt.Sprintf("incarnation %s of %s is not live", incarnation, name)
}

// applyClaim grants each share whose claimed epoch follows its current one.
// The claim is refused only if no share is granted.
func (s *State) applyClaim(e logEntry) (refused string) {
	c := e.Claim
	if !s.isLive(c.Name, c.Incarnation) {
		return notLiveReason(c.Name, c.Incarnation)
	}
	granted := 0
	for _, want := range c.Shares {
		if want.Epoch != s.epoch(want.Share)+1 {
			continue
		}
		granted++
		s.t.shares.ReplaceOrInsert(&ShareEntry{
			Share: want.Share, Epoch: want.Epoch, Name: c.Name, Incarnation: c.Incarnation,
			Offset: e.Offset, Witnesses: c.Witnesses, Prior: want.Prior,
		})
	}
	if granted == 0 {
		return "no share is at the epoch before the one claimed"
	}
	return ""
}

func (s *State) epoch(share cluster.Share) uint64 {
	if current, ok := s.t.shares.Get(&ShareEntry{Share: share}); ok {
		return current.Epoch
	}
	return 0
}

// applyRelease releases each share that its holder holds at the stated epoch.
// The record is refused only if no share is released.
func (s *State) applyRelease(e logEntry) (refused string) {
	released := 0
	for _, given := range e.Release.Shares {
		if s.releaseShare(e, given) {
			released++
		}
	}
	if released == 0 {
		return "no share is held at the epoch released"
	}
	return ""
}

func (s *State) releaseShare(e logEntry, given record.ShareEpoch) bool {
	current, ok := s.t.shares.Get(&ShareEntry{Share: given.Share})
	if !ok || current.Released || current.Epoch != given.Epoch {
		return false
	}
	if current.Name != e.Release.Name || current.Incarnation != e.Release.Incarnation {
		return false
	}
	changed := *current
	changed.Released, changed.Successor, changed.Offset = true, e.Release.Successor, e.Offset
	changed.Prior = nil
	s.t.shares.ReplaceOrInsert(&changed)
	return true
}
