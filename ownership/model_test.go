package ownership

import (
	"fmt"
	"slices"
	"strings"
)

// The explored model has three daemons, one share and one log. Time advances
// in ticks. Every decision is made by the functions that a daemon runs; the
// model only delivers messages, keeps the log and injects faults.

const (
	daemonCount = 3
	tick        = Instant(1)
	start       = Instant(100)
)

// modelTiming has the shortest lease and takeover wait that differ by the one
// tick that a clock may lose.
var modelTiming = Timing{LeaseDuration: 1, TakeoverWait: 2, HandoverLease: 1}

// longTiming lets a deferred effect outlast the handover lease.
var longTiming = Timing{LeaseDuration: 2, TakeoverWait: 3, HandoverLease: 1}

// Record kinds of the model's log.
const (
	claimRecord = iota
	releaseRecord
	endRecord // a join of a newer incarnation, or a leave
)

type modelRecord struct {
	kind  int
	entry Entry  // claim
	name  string // release: holder; end: the incarnation that ended
	epoch uint64 // release
}

// Message kinds of the model. All are answers: a request is handled when it is
// sent, which is the worst case for every answer.
const (
	readAnswer = iota
	peerReadAnswer
	attestationAnswer
)

type message struct {
	kind    int
	to      string
	askedAt Instant
	head    int    // read
	witness string // attestation
	epoch   uint64 // attestation, peer read
}

type daemon struct {
	name     string // incarnation
	alive    bool
	joined   bool
	view     int
	clockLag Instant // ticks that its clock is behind
	state    ShareState
	// effectsUntil is when the last of its effects happens, in real time.
	effectsUntil Instant
	// deferredUntil is when the last of its deferred effects happens, in real
	// time.
	deferredUntil Instant
}

// budget bounds how often each kind of event may happen.
type budget struct {
	ticks, claims, crashes, restarts, leaves, cuts, heals, outages, clockDrifts, lateAnswers, lateAppends, releases, drains, deferredUses int
}

type modelState struct {
	now            Instant
	daemons        [daemonCount]daemon
	log            []modelRecord
	pendingAppends []modelRecord // appends without an answer, which may reach the log at any time
	lateAnswers    []message     // answers that may still arrive
	cut            [daemonCount][daemonCount]bool
	logUnreachable [daemonCount]bool
	endedEffects   Instant // when the last effect of an ended incarnation happens
	remaining      budget
	// claimants is how many of the daemons may claim.
	claimants int
	path      *step
	timing    Timing
}

func (w *modelState) clone() *modelState {
	c := *w
	c.log = slices.Clip(w.log)
	c.pendingAppends = slices.Clone(w.pendingAppends)
	c.lateAnswers = slices.Clone(w.lateAnswers)
	return &c
}

func (w *modelState) clock(i int) Instant { return w.now - w.daemons[i].clockLag }

// entry returns the share's newest claim below an offset of the log.
func (w *modelState) entry(view int) Entry {
	for i := view - 1; i >= 0; i-- {
		switch r := w.log[i]; r.kind {
		case claimRecord:
			e := r.entry
			e.Released = w.released(e, i, view)
			return e
		}
	}
	return Entry{}
}

func (w *modelState) released(e Entry, from, view int) bool {
	for _, r := range w.log[from:view] {
		if r.kind == releaseRecord && r.name == e.Holder && r.epoch == e.Epoch {
			return true
		}
	}
	return false
}

func (w *modelState) ended(view int) func(string) bool {
	log := w.log[:view]
	return func(name string) bool {
		for i := range log {
			if log[i].kind == endRecord && log[i].name == name {
				return true
			}
		}
		return false
	}
}

// appendRecord appends a record, unless it is a claim that the log's rules
// refuse.
func (w *modelState) appendRecord(r modelRecord) {
	if r.kind == claimRecord && r.entry.Epoch != w.entry(len(w.log)).Epoch+1 {
		return
	}
	if r.kind == claimRecord && w.ended(len(w.log))(r.entry.Holder) {
		return
	}
	w.log = append(slices.Clip(w.log), r)
}

// canCall reports whether i gets an answer from j.
func (w *modelState) canCall(i, j int) bool {
	return i == j || w.daemons[j].alive && !w.cut[i][j] && !w.cut[j][i]
}

// witnesses lists the joined incarnations that are not known to have ended.
func (w *modelState) witnesses(view int) []string {
	ended := w.ended(view)
	var names []string
	for i := range w.daemons {
		if w.daemons[i].joined && !ended(w.daemons[i].name) {
			names = append(names, w.daemons[i].name)
		}
	}
	return names
}

// useLeases lets every daemon that has a lease use it. It reports a violation
// if a daemon may act while effects of another one may still happen.
func (w *modelState) useLeases(p Protocol) string {
	for i := range w.daemons {
		d := &w.daemons[i]
		if !d.alive {
			continue
		}
		d.state = p.Advance(d.state, w.ended(d.view), w.clock(i))
		until, ok := p.Lease(d.state, w.clock(i))
		if !ok {
			continue
		}
		for j := range w.daemons {
			if j != i && w.daemons[j].effectsUntil > w.now {
				return fmt.Sprintf("%s acts while effects of %s may come", d.name, w.daemons[j].name)
			}
		}
		if w.endedEffects > w.now {
			return fmt.Sprintf("%s acts while effects of an ended incarnation may come", d.name)
		}
		d.effectsUntil = max(d.effectsUntil, until+d.clockLag)
		d.state = p.RecordUse(d.state, until)
	}
	return ""
}

func (w *modelState) deliver(p Protocol, i int, m message) {
	d := &w.daemons[i]
	now := w.clock(i)
	switch m.kind {
	case readAnswer:
		d.view = max(d.view, m.head)
		head := d.view
		if p.faults.trustStaleRead {
			head = m.head
		}
		d.state = p.ApplyRead(d.state, d.name, w.entry(head), m.askedAt, now)
	case peerReadAnswer:
		d.state = p.ApplyPeerRead(d.state, m.epoch, m.askedAt, now)
	case attestationAnswer:
		d.state = p.ApplyAttestation(d.state, m.witness, m.epoch, m.askedAt, now)
	}
}

// key encodes what can matter later in a state, so that equivalent states have
// the same key. All numbers are small.
func (w *modelState) key(b []byte) []byte {
	k := stateEncoder{b}
	k.number(int64(w.now - start))
	for i := range w.daemons {
		w.daemonKey(&k, i)
	}
	k.number(int64(len(w.log)))
	for _, r := range w.log {
		k.record(r)
	}
	k.number(int64(len(w.pendingAppends)))
	for _, r := range w.pendingAppends {
		k.record(r)
	}
	for _, m := range w.lateAnswers {
		k.name(m.to)
		k.name(m.witness)
		k.number(int64(m.kind))
		k.number(int64(m.askedAt - start))
		k.number(int64(m.head))
		k.number(int64(m.epoch))
	}
	k.future(w.endedEffects, w.now)
	l := w.remaining
	for _, n := range [...]int{l.claims, l.crashes, l.restarts, l.leaves, l.cuts, l.heals, l.outages, l.clockDrifts, l.lateAnswers, l.lateAppends, l.releases, l.drains, l.deferredUses} {
		k.number(int64(n))
	}
	return k.b
}

func (w *modelState) daemonKey(k *stateEncoder, i int) {
	d, s, now := &w.daemons[i], &w.daemons[i].state, w.clock(i)
	k.name(d.name)
	k.future(d.effectsUntil, w.now)
	k.flags(d.alive, w.logUnreachable[i], w.cut[i][0], w.cut[i][1], s.Effective, s.Superseded)
	if !d.alive {
		return
	}
	k.number(int64(d.view))
	k.number(int64(d.clockLag))
	k.tenure(s.Tenure)
	k.tenures(s.Prior)
	k.tenure(s.Pending)
	// Evidence that has expired, or that is older than better evidence, no
	// longer matters.
	leaseDuration := Instant(w.timing.LeaseDuration)
	k.future(s.ReadEvidence+leaseDuration, now)
	for _, v := range s.Attestations {
		if v.AskedAt+leaseDuration > now && v.AskedAt > s.ReadEvidence {
			k.name(v.Witness)
			k.number(int64(v.AskedAt - start))
		}
	}
	k.number(-1)
	for _, c := range s.Consents {
		k.name(c)
	}
	k.future(s.WaitUntil, now)
	k.number(int64(s.StoppedBelow))
	if s.StoppedBelow > s.Tenure.Epoch {
		k.future(s.StopBy, now)
	}
	k.future(s.UsedUntil, now)
	k.future(s.DeferredUntil, now)
	k.future(d.deferredUntil, w.now)
	k.flags(s.Draining)
	k.number(int64(s.PromisedEpoch))
}

type stateEncoder struct{ b []byte }

func (k *stateEncoder) number(v int64) { k.b = append(k.b, byte(v)) }

func (k *stateEncoder) name(n string) {
	if n == "" {
		k.b = append(k.b, 0)
		return
	}
	k.b = append(k.b, n[0]-'a'+1+(n[1]-'0')<<3)
}

func (k *stateEncoder) flags(flags ...bool) {
	var v byte
	for _, f := range flags {
		v <<= 1
		if f {
			v |= 1
		}
	}
	k.b = append(k.b, v)
}

// future writes a time if it is in the future; all past times are equivalent.
func (k *stateEncoder) future(at, now Instant) {
	if at <= now {
		k.number(-1)
		return
	}
	k.number(int64(at - start))
}

func (k *stateEncoder) tenure(t Tenure) {
	k.number(int64(t.Epoch))
	k.name(t.Holder)
	k.number(int64(len(t.Witnesses)))
	for _, n := range t.Witnesses {
		k.name(n)
	}
}

func (k *stateEncoder) tenures(list []Tenure) {
	k.number(int64(len(list)))
	for _, t := range list {
		k.tenure(t)
	}
}

func (k *stateEncoder) record(r modelRecord) {
	k.number(int64(r.kind))
	k.tenure(r.entry.Tenure)
	k.tenures(r.entry.Prior)
	k.name(r.name)
	k.number(int64(r.epoch))
}

// step is one event on the path to a state.
type step struct {
	previous *step
	event    event
}

type event struct {
	name   string
	daemon string
	peer   string
	detail int64
}

func (w *modelState) trace() string {
	var lines []string
	for s := w.path; s != nil; s = s.previous {
		lines = append(lines, fmt.Sprintf("%s %s %s %d", s.event.name, s.event.daemon, s.event.peer, s.event.detail))
	}
	slices.Reverse(lines)
	return strings.Join(lines, "\n  ")
}
