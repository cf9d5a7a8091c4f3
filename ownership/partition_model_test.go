package ownership

import (
	"fmt"
	"slices"
)

// This model has the partitions of the scheduler: an owner may send leases before its claim
// is effective, witnesses are named by daemon and forget their promises when they restart,
// the daemon of an earlier owner says whether that has ended, and the log refuses the calls
// of all owners but the newest. It has three daemons, one partition and one log. Owners keep
// sending leases for as long as their evidence lets them, to servers that no later owner
// reaches.

// partTiming has the shortest lease and wait that differ by one tick, and attestations that
// extend a lease for five ticks after a read, or for partMajority if they are not those of all.
var partTiming = Timing{LeaseDuration: 1, TakeoverWait: 2, HandoverLease: 1, AttestedDuration: 5, MaxClockRatio: 1.5}

const partMajority = 2

// partDaemon is one daemon with its memory as a witness.
type partDaemon struct {
	alive    bool
	promised uint64
	// startedAt is when its process began, in real time; while there is none, when the last
	// one ended. The next one begins a tick later at the earliest.
	startedAt Instant
	// clockLag is by how many ticks its clock is behind.
	clockLag Instant
	logAway  bool
}

// partOwner is one claim and its owner. Index i of the model's owners has epoch i+1.
type partOwner struct {
	daemon int
	state  ShareState
	// running is set until the owner has ended. It acts once its claim is answered.
	running, answered bool
	// began is when the append of the claim began, by its daemon's clock.
	began Instant
	// stopped are the daemons that said that no earlier owner runs there.
	stopped [daemonCount]bool
	// leaseUntil is the latest end of the leases that it has sent, in real time.
	leaseUntil Instant
	// witnesses and prior are what the log has of its claim.
	witnesses []string
	prior     []Tenure
	priorOver bool
}

// partLate is an answer or an append that may still arrive.
type partLate struct {
	kind       int
	owner      int
	witness    string
	askedAt    Instant
	up         Instant
	witnessSet []string
}

const (
	lateConfirm = iota
	lateAttestation
	lateWitnesses       // an append of other witnesses, whose answer arrives with it
	lateWitnessesSilent // the same without an answer
)

// partBudget bounds how often each kind of event may happen.
type partBudget struct {
	ticks, claims, crashes, outages, cuts, clockDrifts, lateAnswers, replacements int
}

type partState struct {
	now       Instant
	daemons   [daemonCount]partDaemon
	owners    []partOwner
	late      []partLate
	cut       [daemonCount][daemonCount]bool
	remaining partBudget
	// keepEvidence is set where a fault lets attestations extend leases without end.
	keepEvidence bool
	path         *step
}

func (w *partState) clone() *partState {
	c := *w
	c.owners = slices.Clone(w.owners)
	c.late = slices.Clone(w.late)
	return &c
}

var partNames = [daemonCount]string{"a", "b", "c"}

func (w *partState) clock(daemon int) Instant { return w.now - w.daemons[daemon].clockLag }

func (w *partState) reaches(i, j int) bool {
	return w.daemons[i].alive && w.daemons[j].alive && !w.cut[i][j]
}

// holder names the owner of an epoch, as a daemon may own the partition several times.
func (w *partState) holder(i int) string {
	return fmt.Sprintf("%s/%d", partNames[w.owners[i].daemon], i+1)
}

// ended returns what an owner knows of the ends of earlier ones.
func (w *partState) ended(i int) func(string) bool {
	return func(holder string) bool {
		return w.owners[i].stopped[holder[0]-'a']
	}
}

// runsBelow reports whether an owner before an epoch runs on a daemon. One whose claim is
// not answered yet counts.
func (w *partState) runsBelow(daemon int, epoch uint64) bool {
	for i, o := range w.owners {
		if o.daemon == daemon && o.running && uint64(i+1) < epoch {
			return true
		}
	}
	return false
}

func (w *partState) endOwners(daemon int, below uint64) {
	for i := range w.owners {
		if w.owners[i].daemon == daemon && uint64(i+1) < below {
			w.owners[i].running = false
		}
	}
}

// claim appends a claim that names the earlier owners whose leases may last.
func (w *partState) claim(daemon int, witnesses []string) {
	last := len(w.owners) - 1
	o := partOwner{daemon: daemon, running: true, began: w.clock(daemon), witnesses: witnesses}
	if last >= 0 {
		before := w.owners[last]
		if !before.priorOver {
			o.prior = slices.Clip(before.prior)
		}
		o.prior = append(slices.Clone(o.prior), Tenure{Epoch: uint64(last + 1), Holder: w.holder(last), Witnesses: before.witnesses, MajorityDuration: partMajority})
	}
	w.owners = append(w.owners, o)
}

// answerClaim lets an owner know of its claim.
func (w *partState) answerClaim(p Protocol, i int) {
	o := &w.owners[i]
	o.answered = true
	e := Entry{Tenure: Tenure{Epoch: uint64(i + 1), Holder: w.holder(i), Witnesses: o.witnesses, MajorityDuration: partMajority}, Prior: o.prior}
	o.state = p.ApplyRead(o.state, e.Holder, e, o.began, w.clock(o.daemon))
}

// storeWitnesses appends other witnesses, if no later owner has claimed.
func (w *partState) storeWitnesses(i int, witnesses []string) bool {
	if i != len(w.owners)-1 {
		return false
	}
	w.owners[i].witnesses = witnesses
	return true
}

func (w *partState) deliver(p Protocol, m partLate) {
	o := &w.owners[m.owner]
	now := w.clock(o.daemon)
	switch m.kind {
	case lateWitnesses, lateWitnessesSilent:
		stored := w.storeWitnesses(m.owner, m.witnessSet)
		if stored && m.kind == lateWitnesses && o.running {
			o.state = p.WitnessesReplaced(o.state)
		}
		return
	}
	if !o.running {
		return
	}
	switch m.kind {
	case lateConfirm:
		o.state = p.ApplyRead(o.state, w.holder(m.owner), Entry{Tenure: o.state.Tenure}, m.askedAt, now)
	case lateAttestation:
		if p.WitnessRemembers(o.state, up(m.up), now) {
			o.state = p.ApplyAttestation(o.state, m.witness, uint64(m.owner+1), m.askedAt, now)
		}
	}
}

// useLeases lets every owner send the longest lease that it may, and reports a breach if an
// owner may start inherited tasks while a lease of an earlier one lasts.
func (w *partState) useLeases(p Protocol) (starts bool, breach string) {
	for i := range w.owners {
		o := &w.owners[i]
		if !o.running || !o.answered {
			continue
		}
		now := w.clock(o.daemon)
		o.state = p.Advance(o.state, w.ended(i), now)
		until := p.EvidenceUntil(o.state)
		if until <= now {
			continue
		}
		o.leaseUntil = max(o.leaseUntil, until+w.daemons[o.daemon].clockLag)
		if since, over := p.PriorCannotRenew(o.state); !over || now.Sub(since) < p.takeoverWait() {
			continue
		}
		starts = starts || i > 0
		for j := range w.owners[:i] {
			if w.owners[j].leaseUntil > w.now {
				return true, fmt.Sprintf("owner %d starts tasks while a lease of owner %d lasts", i+1, j+1)
			}
		}
	}
	return starts, ""
}

// matters reports whether what arrives late can still change anything.
func (w *partState) matters(m partLate) bool {
	switch m.kind {
	case lateWitnesses, lateWitnessesSilent:
		return m.owner == len(w.owners)-1
	}
	return w.owners[m.owner].running
}

func (w *partState) key(b []byte) []byte {
	k := stateEncoder{b}
	k.number(int64(w.now - start))
	for i, d := range w.daemons {
		k.flags(d.alive, d.logAway, w.cut[i][0], w.cut[i][1])
		k.number(int64(d.promised))
		k.number(int64(d.startedAt - start))
		k.number(int64(d.clockLag))
	}
	k.number(int64(len(w.owners)))
	for i := range w.owners {
		w.ownerKey(&k, i)
	}
	for _, m := range w.late {
		if !w.matters(m) {
			continue
		}
		k.number(int64(m.kind))
		k.number(int64(m.owner))
		k.names([]string{m.witness})
		k.number(int64(m.askedAt - start))
		k.number(int64(m.up))
		k.names(m.witnessSet)
	}
	l := w.remaining
	for _, n := range [...]int{l.claims, l.crashes, l.outages, l.cuts, l.clockDrifts, l.lateAnswers, l.replacements} {
		k.number(int64(n))
	}
	return k.b
}

func (w *partState) ownerKey(k *stateEncoder, i int) {
	o := &w.owners[i]
	k.number(int64(o.daemon))
	k.future(o.leaseUntil, w.now)
	k.flags(o.running, o.answered, o.priorOver)
	if i == len(w.owners)-1 || o.running {
		k.names(o.witnesses)
		k.number(int64(len(o.prior)))
		for _, t := range o.prior {
			k.number(int64(t.Epoch))
			k.names(t.Witnesses)
		}
	}
	if !o.running {
		return
	}
	s, now := &o.state, w.clock(o.daemon)
	if !o.answered {
		k.number(int64(o.began - start))
		return
	}
	// Evidence that extends no lease any more is equivalent.
	if useful := s.ReadEvidence.Add(partTiming.AttestedDuration + partTiming.LeaseDuration); w.keepEvidence || useful > now {
		k.number(int64(s.ReadEvidence - start))
	}
	k.names(s.Tenure.Witnesses)
	k.names(s.Pending.Witnesses)
	k.number(int64(len(s.Prior)))
	for _, t := range s.Prior {
		k.number(int64(t.Epoch))
	}
	if len(s.Prior) > 0 {
		k.number(int64(s.ClaimedAt - start))
		k.flags(o.stopped[:]...)
		consents := slices.Clone(s.Consents)
		slices.Sort(consents)
		k.names(consents)
	}
	k.future(s.WaitUntil, now)
	k.flags(s.Effective)
	for _, v := range s.Attestations {
		if v.AskedAt > s.ReadEvidence && v.AskedAt+Instant(partTiming.LeaseDuration) > now {
			k.names([]string{v.Witness})
			k.number(int64(v.AskedAt - start))
		}
	}
	k.number(-1)
}

// names writes a list of daemons.
func (k *stateEncoder) names(list []string) {
	k.number(int64(len(list)))
	for _, n := range list {
		k.b = append(k.b, n...)
	}
}
