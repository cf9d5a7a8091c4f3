package placer

import (
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// freshRound is how old a round may be for a team with a limit to take room
	// by it.
	freshRound = 2 * syncBusy
	// roundPatience bounds how long such a team waits for an owner that does not
	// answer.
	roundPatience = 500 * time.Millisecond
)

// taken is room that this daemon took for a team, with the newest sync sent by
// then.
type taken struct {
	tick uint64
	size cluster.Resources
}

// limits keeps homes on several daemons from filling a team's limit at the same
// moment, each by itself. Between two rounds of syncs a daemon takes only its
// part of the room that the round left.
type limits struct {
	// homes is how many daemons hold key shares.
	homes int
	// round is the newest sync such that every owner has answered one sent
	// since.
	round uint64
	// roundAt is when that was found, and wantedAt since when another round is
	// waited for; zero is not.
	roundAt  time.Time
	wantedAt time.Time
	// recent is what was taken since round for teams with a limit.
	recent map[string][]taken
	// slowed are the teams whose jobs wait for the next round.
	slowed map[string]bool
}

func newLimits() limits {
	return limits{homes: 1, recent: make(map[string][]taken), slowed: make(map[string]bool)}
}

// allows reports whether a team may have size more now. A team's first take of
// a round is allowed whatever its size, if it keeps within the limit at all. A
// team that has to wait for a round has its jobs woken by noteRound.
func (h *homes) allows(team string, size cluster.Resources, now time.Time) bool {
	if !h.ledger.Allows(team, size) {
		return false
	}
	l := &h.limits
	if l.homes <= 1 || h.ledger.Quota(team).Limit.IsZero() {
		return true
	}
	patient := l.wantedAt.IsZero() || now.Sub(l.wantedAt) < roundPatience
	stale := now.Sub(l.roundAt) > freshRound && patient
	if !stale && h.ledger.AllowsSplit(team, size, l.unseen(team), l.homes) {
		return true
	}
	l.slowed[team] = true
	h.wantRound(now)
	return false
}

// wantRound has all owners asked soon.
func (h *homes) wantRound(now time.Time) {
	if h.limits.wantedAt.IsZero() {
		h.limits.wantedAt = now
	}
	soon := now.Add(syncHurried)
	for _, l := range h.links {
		if l.next.After(soon) {
			l.next = soon
		}
	}
}

// noteTaken notes that size was taken for a team.
func (h *homes) noteTaken(team string, size cluster.Resources) {
	if !h.ledger.Quota(team).Limit.IsZero() {
		h.limits.recent[team] = append(h.limits.recent[team], taken{h.tick, size})
	}
}

// unseen sums up what was taken for a team since the last round.
func (l *limits) unseen(team string) cluster.Resources {
	var sum cluster.Resources
	for _, t := range l.recent[team] {
		sum = sum.Add(t.size)
	}
	return sum
}

// noteRound finds out up to which sync every owner has answered, and lets the
// jobs go on that waited for that.
func (h *homes) noteRound(now time.Time) {
	round := h.tick
	for daemon := range h.ownedRacks() {
		round = min(round, h.link(daemon).answered)
	}
	if round <= h.limits.round {
		return
	}
	h.limits.round, h.limits.roundAt, h.limits.wantedAt = round, now, time.Time{}
	for team, list := range h.limits.recent {
		kept := list[:0]
		for _, t := range list {
			if t.tick >= round {
				kept = append(kept, t)
			}
		}
		if h.limits.recent[team] = kept; len(kept) == 0 {
			delete(h.limits.recent, team)
		}
	}
	h.wakeSlowed()
}

// endPatience lets jobs go on by an older round where an owner does not
// answer.
func (h *homes) endPatience(now time.Time) {
	if at := h.limits.wantedAt; !at.IsZero() && now.Sub(at) >= roundPatience {
		h.wakeSlowed()
	}
}

func (h *homes) wakeSlowed() {
	for team := range h.limits.slowed {
		h.queue.WakeTeam(team)
	}
	clear(h.limits.slowed)
}

// countHomes counts the daemons that hold key shares.
func (h *homes) countHomes() {
	daemons := make(map[string]bool)
	for i := range cluster.KeyShareCount {
		share := cluster.Share{Kind: cluster.ShareKey, Name: strconv.Itoa(i)}
		if d, ok := h.p.o.Owners.Owner(share); ok {
			daemons[d.Name] = true
		}
	}
	h.limits.homes = max(len(daemons), 1)
}
