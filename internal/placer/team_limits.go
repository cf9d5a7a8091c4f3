package placer

import (
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// maxRoundAge is how old the last round may be for a team with a limit to
	// be granted capacity.
	maxRoundAge = 2 * busySyncInterval
	// roundTimeout bounds how long such a team waits for an owner that does not
	// answer.
	roundTimeout = 500 * time.Millisecond
)

// limitGrant is capacity that this daemon granted to a team, with the number of
// the newest sync sent by then.
type limitGrant struct {
	syncSeq uint64
	size    cluster.Resources
}

// limitTracker keeps daemons that schedule at the same time from each filling a
// team's limit. Between two rounds of syncs, a daemon grants only its part of
// the capacity that was left at the last round.
type limitTracker struct {
	// daemons is how many daemons own key shares.
	daemons int
	// round is the number of the newest sync for which every owner has answered
	// that sync or a later one.
	round uint64
	// roundTime is when round was determined; roundWantedSince is since when
	// another round is awaited, or zero.
	roundTime        time.Time
	roundWantedSince time.Time
	// recentGrants lists the grants since round to teams with a limit.
	recentGrants map[string][]limitGrant
	// deferredTeams are the teams whose jobs wait for the next round.
	deferredTeams map[string]bool
}

func newLimitTracker() limitTracker {
	return limitTracker{daemons: 1, recentGrants: make(map[string][]limitGrant), deferredTeams: make(map[string]bool)}
}

// teamAllows reports whether a team may be granted size now. The first grant
// after a round may be of any size within the limit. A team that has to wait
// for a round has its jobs woken by updateRound.
func (sc *scheduler) teamAllows(team string, size cluster.Resources, now time.Time) bool {
	if !sc.ledger.Allows(team, size) {
		return false
	}
	lt := &sc.limits
	if lt.daemons <= 1 || sc.ledger.Quota(team).Limit.IsZero() {
		return true
	}
	inTime := lt.roundWantedSince.IsZero() || now.Sub(lt.roundWantedSince) < roundTimeout
	stale := now.Sub(lt.roundTime) > maxRoundAge && inTime
	if !stale && sc.ledger.AllowsSplit(team, size, lt.grantedSinceRound(team), lt.daemons) {
		return true
	}
	lt.deferredTeams[team] = true
	sc.requestRound(now)
	return false
}

// requestRound brings the next sync with every owner forward.
func (sc *scheduler) requestRound(now time.Time) {
	if sc.limits.roundWantedSince.IsZero() {
		sc.limits.roundWantedSince = now
	}
	soon := now.Add(roundSyncInterval)
	for _, pe := range sc.peers {
		if pe.nextSync.After(soon) {
			pe.nextSync = soon
		}
	}
}

// recordGrant records a grant to a team with a limit.
func (sc *scheduler) recordGrant(team string, size cluster.Resources) {
	if !sc.ledger.Quota(team).Limit.IsZero() {
		sc.limits.recentGrants[team] = append(sc.limits.recentGrants[team], limitGrant{sc.syncSeq, size})
	}
}

// grantedSinceRound sums up the grants to a team since the last round.
func (lt *limitTracker) grantedSinceRound(team string) cluster.Resources {
	var sum cluster.Resources
	for _, t := range lt.recentGrants[team] {
		sum = sum.Add(t.size)
	}
	return sum
}

// updateRound determines up to which sync every owner has answered, and wakes
// the jobs that waited for it.
func (sc *scheduler) updateRound(now time.Time) {
	round := sc.syncSeq
	for daemon := range sc.racksByOwner() {
		round = min(round, sc.peer(daemon).answeredSeq)
	}
	if round <= sc.limits.round {
		return
	}
	sc.limits.round, sc.limits.roundTime, sc.limits.roundWantedSince = round, now, time.Time{}
	for team, list := range sc.limits.recentGrants {
		kept := list[:0]
		for _, t := range list {
			if t.syncSeq >= round {
				kept = append(kept, t)
			}
		}
		if sc.limits.recentGrants[team] = kept; len(kept) == 0 {
			delete(sc.limits.recentGrants, team)
		}
	}
	sc.wakeDeferredTeams()
}

// expireRoundWait lets deferred jobs go on with an older round after
// roundTimeout.
func (sc *scheduler) expireRoundWait(now time.Time) {
	if since := sc.limits.roundWantedSince; !since.IsZero() && now.Sub(since) >= roundTimeout {
		sc.wakeDeferredTeams()
	}
}

func (sc *scheduler) wakeDeferredTeams() {
	for team := range sc.limits.deferredTeams {
		sc.queue.WakeTeam(team)
	}
	clear(sc.limits.deferredTeams)
}

// countHomeDaemons counts the daemons that own key shares.
func (sc *scheduler) countHomeDaemons() {
	daemons := make(map[string]bool)
	for i := range cluster.KeyShareCount {
		share := cluster.Share{Kind: cluster.ShareKey, Name: strconv.Itoa(i)}
		if d, ok := sc.p.o.Owners.Owner(share); ok {
			daemons[d.Name] = true
		}
	}
	sc.limits.daemons = max(len(daemons), 1)
}
