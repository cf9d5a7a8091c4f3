package ownership

import (
	"fmt"
	"slices"
	"strings"
)

// The explored model: three daemons, one share, one log. Time goes in ticks.
// Every decision is made by the functions that a daemon runs; the model only
// carries messages, keeps the log and makes things fail.

const (
	daemons = 3
	tick    = Instant(1)
	start   = Instant(100)
)

// modelTiming has the shortest right and wait that differ: a clock may lose
// one tick.
var modelTiming = Timing{LeaseDuration: 1, TakeoverWait: 2, HandoverLease: 1}

// longTiming lets an effect that carries its end outlast a short right.
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

// Message kinds of the model. All are answers: a question is handled when it
// is asked, which is the worst case for every answer.
const (
	readAnswer = iota
	peerReadAnswer
	voucherAnswer
)

type message struct {
	kind    int
	to      string
	dated   Instant
	head    int    // read
	witness string // voucher
	epoch   uint64 // voucher, peer read
}

type daemon struct {
	name   string // incarnation
	alive  bool
	joined bool
	view   int
	lost   Instant // ticks its clock has lost
	part   ShareState
	// effects is when the last thing it did takes effect, in real time.
	effects Instant
	// late is when the last effect comes that carries its own end.
	late Instant
}

// budget bounds how often each kind of event may come.
type budget struct {
	ticks, claims, crashes, restarts, leaves, cuts, heals, outages, drifts, delays, lates, releases, finishes, carried int
}

type world struct {
	now    Instant
	d      [daemons]daemon
	log    []modelRecord
	flight []modelRecord // appends whose answer is lost, landing at any time
	mail   []message     // late answers
	cut    [daemons][daemons]bool
	noLog  [daemons]bool
	ghosts Instant // when the last effect of an ended incarnation comes
	left   budget
	// claimants is how many of the daemons may claim.
	claimants int
	path      *step
	timing    Timing
}

func (w *world) clone() *world {
	c := *w
	c.log = slices.Clip(w.log)
	c.flight = slices.Clone(w.flight)
	c.mail = slices.Clone(w.mail)
	return &c
}

func (w *world) clock(i int) Instant { return w.now - w.d[i].lost }

// entry folds the log up to an offset.
func (w *world) entry(view int) Entry {
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

func (w *world) released(e Entry, from, view int) bool {
	for _, r := range w.log[from:view] {
		if r.kind == releaseRecord && r.name == e.Holder && r.epoch == e.Epoch {
			return true
		}
	}
	return false
}

func (w *world) ended(view int) func(string) bool {
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

// land appends a record if the fold grants it.
func (w *world) land(r modelRecord) {
	if r.kind == claimRecord && r.entry.Epoch != w.entry(len(w.log)).Epoch+1 {
		return
	}
	if r.kind == claimRecord && w.ended(len(w.log))(r.entry.Holder) {
		return
	}
	w.log = append(slices.Clip(w.log), r)
}

// reach reports whether i gets an answer from j.
func (w *world) reach(i, j int) bool {
	return i == j || w.d[j].alive && !w.cut[i][j] && !w.cut[j][i]
}

// witnesses lists the joined incarnations that are not known to have ended.
func (w *world) witnesses(view int) []string {
	ended := w.ended(view)
	var names []string
	for i := range w.d {
		if w.d[i].joined && !ended(w.d[i].name) {
			names = append(names, w.d[i].name)
		}
	}
	return names
}

// act lets every daemon that has a right use it, and reports two that may act
// at once, or one that may act while another's effects may still come.
func (w *world) act(p Protocol) string {
	for i := range w.d {
		d := &w.d[i]
		if !d.alive {
			continue
		}
		d.part = p.Advance(d.part, w.ended(d.view), w.clock(i))
		until, ok := p.Lease(d.part, w.clock(i))
		if !ok {
			continue
		}
		for j := range w.d {
			if j != i && w.d[j].effects > w.now {
				return fmt.Sprintf("%s acts while effects of %s may come", d.name, w.d[j].name)
			}
		}
		if w.ghosts > w.now {
			return fmt.Sprintf("%s acts while effects of an ended incarnation may come", d.name)
		}
		d.effects = max(d.effects, until+d.lost)
		d.part = p.RecordUse(d.part, until)
	}
	return ""
}

func (w *world) deliver(p Protocol, i int, m message) {
	d := &w.d[i]
	now := w.clock(i)
	switch m.kind {
	case readAnswer:
		d.view = max(d.view, m.head)
		head := d.view
		if p.faults.trustStaleRead {
			head = m.head
		}
		d.part = p.ApplyRead(d.part, d.name, w.entry(head), m.dated, now)
	case peerReadAnswer:
		d.part = p.ApplyPeerRead(d.part, m.epoch, m.dated, now)
	case voucherAnswer:
		d.part = p.ApplyAttestation(d.part, m.witness, m.epoch, m.dated, now)
	}
}

// key identifies a world up to what can matter later. All numbers are small.
func (w *world) key(b []byte) []byte {
	k := keyWriter{b}
	k.number(int64(w.now - start))
	for i := range w.d {
		w.daemonKey(&k, i)
	}
	k.number(int64(len(w.log)))
	for _, r := range w.log {
		k.record(r)
	}
	k.number(int64(len(w.flight)))
	for _, r := range w.flight {
		k.record(r)
	}
	for _, m := range w.mail {
		k.name(m.to)
		k.name(m.witness)
		k.number(int64(m.kind))
		k.number(int64(m.dated - start))
		k.number(int64(m.head))
		k.number(int64(m.epoch))
	}
	k.later(w.ghosts, w.now)
	l := w.left
	for _, n := range [...]int{l.claims, l.crashes, l.restarts, l.leaves, l.cuts, l.heals, l.outages, l.drifts, l.delays, l.lates, l.releases, l.finishes, l.carried} {
		k.number(int64(n))
	}
	return k.b
}

func (w *world) daemonKey(k *keyWriter, i int) {
	d, s, now := &w.d[i], &w.d[i].part, w.clock(i)
	k.name(d.name)
	k.later(d.effects, w.now)
	k.flags(d.alive, w.noLog[i], w.cut[i][0], w.cut[i][1], s.Effective, s.Superseded)
	if !d.alive {
		return
	}
	k.number(int64(d.view))
	k.number(int64(d.lost))
	k.tenure(s.Tenure)
	k.tenures(s.Prior)
	k.tenure(s.Pending)
	// Evidence that has run out, or that is older than better evidence,
	// changes nothing any more.
	right := Instant(w.timing.LeaseDuration)
	k.later(s.ReadEvidence+right, now)
	for _, v := range s.Attestations {
		if v.AskedAt+right > now && v.AskedAt > s.ReadEvidence {
			k.name(v.Witness)
			k.number(int64(v.AskedAt - start))
		}
	}
	k.number(-1)
	for _, c := range s.Consents {
		k.name(c)
	}
	k.later(s.WaitUntil, now)
	k.number(int64(s.StoppedBelow))
	if s.StoppedBelow > s.Tenure.Epoch {
		k.later(s.StopBy, now)
	}
	k.later(s.UsedUntil, now)
	k.later(s.DeferredUntil, now)
	k.later(d.late, w.now)
	k.flags(s.Draining)
	k.number(int64(s.PromisedEpoch))
}

type keyWriter struct{ b []byte }

func (k *keyWriter) number(v int64) { k.b = append(k.b, byte(v)) }

func (k *keyWriter) name(n string) {
	if n == "" {
		k.b = append(k.b, 0)
		return
	}
	k.b = append(k.b, n[0]-'a'+1+(n[1]-'0')<<3)
}

func (k *keyWriter) flags(flags ...bool) {
	var v byte
	for _, f := range flags {
		v <<= 1
		if f {
			v |= 1
		}
	}
	k.b = append(k.b, v)
}

// later writes a time that is still to come; all others are alike.
func (k *keyWriter) later(at, now Instant) {
	if at <= now {
		k.number(-1)
		return
	}
	k.number(int64(at - start))
}

func (k *keyWriter) tenure(t Tenure) {
	k.number(int64(t.Epoch))
	k.name(t.Holder)
	k.number(int64(len(t.Witnesses)))
	for _, n := range t.Witnesses {
		k.name(n)
	}
}

func (k *keyWriter) tenures(list []Tenure) {
	k.number(int64(len(list)))
	for _, t := range list {
		k.tenure(t)
	}
}

func (k *keyWriter) record(r modelRecord) {
	k.number(int64(r.kind))
	k.tenure(r.entry.Tenure)
	k.tenures(r.entry.Prior)
	k.name(r.name)
	k.number(int64(r.epoch))
}

// step is one event on the way to a world.
type step struct {
	before *step
	event  event
}

type event struct {
	name   string
	daemon string
	peer   string
	detail int64
}

func (w *world) trace() string {
	var lines []string
	for s := w.path; s != nil; s = s.before {
		lines = append(lines, fmt.Sprintf("%s %s %s %d", s.event.name, s.event.daemon, s.event.peer, s.event.detail))
	}
	slices.Reverse(lines)
	return strings.Join(lines, "\n  ")
}
