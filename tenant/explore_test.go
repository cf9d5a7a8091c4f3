package tenant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// The exploration plays owners of several partitions that share the cap of one tenant:
// owners are lost, cut off from the store and from each other, replaced while they still
// run, and back; transfers are late, lost and repeated; the cap changes at each owner at
// another time. A start that brings the tenant above the highest cap that may be in force,
// plus one task, is a breach.

const (
	worldPartitions = 3
	worldServers    = 4 // of each partition
	worldCapacity   = 30
	worldTenant     = "a"
	maxWorldTask    = 6
)

// worldRun is a run on a server. Limit is the cap under which it was started.
type worldRun struct {
	need, limit int64
}

// worldServer obeys the owner with the highest epoch that it has heard from.
type worldServer struct {
	epoch int
	runs  []worldRun
}

// worldOwner is one owner of a partition.
type worldOwner struct {
	partition *worldPartition
	epoch     int
	ledger    *Ledger
	limit     int64
	// cutOff is set while it reaches neither the store nor other owners.
	cutOff bool
	over   bool
	// heard are the servers that have listed their runs to it, with the runs it knows of.
	heard map[*worldServer][]worldRun
	// recovered is set once the leases of earlier owners have expired.
	recovered bool
	// writes are what the store does not have yet, in order.
	writes []worldWrite
}

type worldWrite struct {
	fraction Fraction
	then     func()
}

// worldPartition is what the store and the servers keep of a partition.
type worldPartition struct {
	number  int
	epoch   int
	stored  *Fraction
	servers []*worldServer
	// owners are those that still run; the last one has the highest epoch.
	owners []*worldOwner
}

// worldMessage is a transfer or its confirmation under way.
type worldMessage struct {
	from, to int
	transfer Transfer
	taken    bool
	question *Question
}

type world struct {
	rng        *rand.Rand
	now        time.Time
	limit      int64
	faults     fractionFaults
	ignore     bool // count no server that has not listed its runs
	partitions []*worldPartition
	messages   []worldMessage
	breach     string
	transfers  int
	starts     int
}

func newWorld(seed uint64, faults fractionFaults, ignore bool) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 6)), now: start, limit: 100, faults: faults, ignore: ignore}
	for i := range worldPartitions {
		p := &worldPartition{number: i}
		for range worldServers {
			p.servers = append(p.servers, &worldServer{})
		}
		w.partitions = append(w.partitions, p)
		w.claim(p)
	}
	return w
}

var start = time.Unix(1_700_000_000, 0)

func units(n int64) workload.Resources { return workload.Resources{CPU: n} }

// claim starts the next owner of a partition. Earlier ones go on until they learn of it.
func (w *world) claim(p *worldPartition) {
	p.epoch++
	o := &worldOwner{partition: p, epoch: p.epoch, ledger: NewLedger(0), heard: make(map[*worldServer][]worldRun), recovered: p.epoch == 1}
	o.ledger.Fractions = NewFractions(p.number == 0)
	o.ledger.Fractions.faults = w.faults
	if p.stored != nil {
		o.ledger.Fractions.Load(worldTenant, *p.stored)
	}
	w.configure(o)
	p.owners = append(p.owners, o)
}

func (w *world) configure(o *worldOwner) {
	o.limit = w.limit
	o.ledger.Configure(&routing.Tenancy{Tenants: map[string]routing.Tenant{worldTenant: {Name: worldTenant, Weight: 1, Cap: units(w.limit)}}}, w.now)
}

// attribute tells the ledger of an owner on which servers runs may be that it cannot see.
func (w *world) attribute(o *worldOwner) {
	unheard := int64(0)
	for _, s := range o.partition.servers {
		if _, heard := o.heard[s]; !heard && !o.recovered && !w.ignore {
			unheard += worldCapacity
		}
	}
	o.ledger.SetUnattributed(units(unheard))
}

// hear lets a server list its runs to an owner, and refuse earlier owners from then on.
func (w *world) hear(o *worldOwner, s *worldServer) {
	if s.epoch > o.epoch {
		o.over = true
		return
	}
	s.epoch = o.epoch
	for _, r := range o.heard[s] {
		o.ledger.Release(worldTenant, units(r.need), false)
	}
	o.heard[s] = slices.Clone(s.runs)
	for _, r := range s.runs {
		o.ledger.Reserve(worldTenant, units(r.need), false)
	}
}

// expire ends what earlier owners of a partition may still do: their leases are over, and
// with them the runs on servers that have not heard from the last owner.
func (w *world) expire(p *worldPartition) {
	last := p.owners[len(p.owners)-1]
	p.owners = []*worldOwner{last}
	for _, s := range p.servers {
		if _, heard := last.heard[s]; !heard {
			s.runs = nil
		}
	}
	last.recovered = true
}

func (w *world) start(o *worldOwner) {
	s := o.partition.servers[w.rng.IntN(worldServers)]
	known, heard := o.heard[s]
	if s.epoch > o.epoch {
		o.over = true
		return
	}
	if !heard {
		if !o.recovered {
			return
		}
		w.hear(o, s)
		known = o.heard[s]
	}
	used := int64(0)
	for _, r := range known {
		used += r.need
	}
	w.attribute(o)
	need := 1 + w.rng.Int64N(maxWorldTask)
	n := o.ledger.Allows(worldTenant, units(need), 1+w.rng.IntN(4))
	for range n {
		if used += need; used > worldCapacity {
			return
		}
		o.ledger.Reserve(worldTenant, units(need), false)
		r := worldRun{need, o.limit}
		s.runs = append(s.runs, r)
		o.heard[s] = append(o.heard[s], r)
		w.starts++
		w.check(fmt.Sprintf("owner %d of partition %d (fraction %d)", o.epoch, o.partition.number, o.ledger.Fraction(worldTenant)))
	}
}

// check reports a breach if more runs than the cap allows.
func (w *world) check(who string) {
	limit, total := w.limit, int64(0)
	for _, p := range w.partitions {
		for _, o := range p.owners {
			limit = max(limit, o.limit)
		}
		for _, s := range p.servers {
			for _, r := range s.runs {
				total += r.need
				limit = max(limit, r.limit)
			}
		}
	}
	if total >= limit+maxWorldTask && w.breach == "" {
		w.breach = fmt.Sprintf("%s: %d runs under a cap of %d", who, total, limit)
	}
}

// end ends a run, which its owner learns at once if its server obeys it.
func (w *world) end(p *worldPartition) {
	s := p.servers[w.rng.IntN(worldServers)]
	if len(s.runs) == 0 {
		return
	}
	i := w.rng.IntN(len(s.runs))
	s.runs = slices.Delete(slices.Clone(s.runs), i, i+1)
	for _, o := range p.owners {
		if _, heard := o.heard[s]; heard && s.epoch == o.epoch && w.rng.IntN(2) == 0 {
			w.hear(o, s)
		}
	}
}

// write stores a Fraction for an owner, in order, unless a later owner has claimed.
func (w *world) write(o *worldOwner, f Fraction, then func()) {
	o.writes = append(o.writes, worldWrite{f, then})
}

func (w *world) store(o *worldOwner) {
	if o.cutOff || len(o.writes) == 0 {
		return
	}
	if o.epoch != o.partition.epoch {
		o.over = true
		return
	}
	next := o.writes[0]
	o.writes = o.writes[1:]
	o.partition.stored = &next.fraction
	next.then()
}

// ask sends the question of an owner to the others.
func (w *world) ask(o *worldOwner) {
	w.attribute(o)
	q, ok := o.ledger.Ask(worldTenant, units(w.rng.Int64N(60)))
	if !ok || o.cutOff {
		return
	}
	q.From = o.partition.number
	for _, p := range w.partitions {
		if p != o.partition {
			w.messages = append(w.messages, worldMessage{from: q.From, to: p.number, question: &q})
		}
	}
}

// send sends the transfers of an owner that are stored.
func (w *world) send(o *worldOwner) {
	if o.cutOff {
		return
	}
	for _, t := range o.ledger.Fractions.Unconfirmed(worldTenant) {
		w.messages = append(w.messages, worldMessage{from: o.partition.number, to: t.To, transfer: t})
	}
}

// deliver delivers a message to an owner of its partition that is not cut off, and maybe
// again later.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.rng.IntN(len(w.messages))
	m := w.messages[i]
	if w.rng.IntN(4) > 0 {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	p := w.partitions[m.to]
	o := p.owners[w.rng.IntN(len(p.owners))]
	if o.cutOff {
		return
	}
	fractions := o.ledger.Fractions
	switch {
	case m.question != nil:
		w.attribute(o)
		amount := o.ledger.Grant(*m.question, units(w.rng.Int64N(20)), w.now)
		if t, f, ok := fractions.Give(worldTenant, m.question.From, amount); ok {
			w.transfers++
			w.write(o, f, func() { fractions.Stored(worldTenant, t.Number) })
		}
	case m.taken:
		if f, ok := fractions.Confirm(worldTenant, m.transfer.Number); ok {
			w.write(o, f, func() {})
		}
	default:
		reply := worldMessage{from: m.to, to: m.from, transfer: m.transfer, taken: true}
		confirm := func() { w.messages = append(w.messages, reply) }
		f, fresh := fractions.Take(worldTenant, m.from, m.transfer)
		if !fresh {
			f = fractions.of(worldTenant).snapshot()
			w.write(o, f, confirm)
			return
		}
		w.write(o, f, func() {
			fractions.Arrived(worldTenant, m.transfer.Amount)
			confirm()
		})
	}
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rng.IntN(200)) * time.Millisecond)
	p := w.partitions[w.rng.IntN(worldPartitions)]
	o := p.owners[w.rng.IntN(len(p.owners))]
	switch n := w.rng.IntN(100); {
	case n < 35:
		w.start(o)
	case n < 48:
		w.end(p)
	case n < 56:
		w.hear(o, p.servers[w.rng.IntN(worldServers)])
	case n < 66:
		w.store(o)
	case n < 74:
		w.ask(o)
	case n < 80:
		w.send(o)
	case n < 92:
		w.deliver()
	case n < 94:
		o.cutOff = !o.cutOff
	case n < 95:
		w.claim(p)
	case n < 96:
		w.expire(p)
	case n < 97:
		w.limit = 40 + w.rng.Int64N(120)
	default:
		w.configure(o)
	}
	p.owners = slices.DeleteFunc(p.owners, func(o *worldOwner) bool { return o.over && o.epoch != p.epoch })
	if len(p.owners) == 0 {
		w.claim(p)
	}
}

func (w *world) play(steps int) {
	for range steps {
		if w.step(); w.breach != "" {
			return
		}
	}
}

const (
	exploredSeeds = 1000
	exploredSteps = 2500
)

// Guards against starts above the cap by several owners, whatever happens to owners and
// messages between them, and against an exploration that transfers or starts nothing.
func TestFractions_ExplorationKeepsTheCap(t *testing.T) {
	starts, transfers := 0, 0
	for seed := range uint64(exploredSeeds) {
		w := newWorld(seed, fractionFaults{}, false)
		w.play(exploredSteps)
		if w.breach != "" {
			t.Fatalf("seed %d: %s", seed, w.breach)
		}
		starts, transfers = starts+w.starts, transfers+w.transfers
	}
	t.Logf("%d starts and %d transfers in %d plays", starts, transfers, exploredSeeds)
	if starts < 50*exploredSeeds || transfers < 5*exploredSeeds {
		t.Errorf("%d starts and %d transfers in %d plays show too little", starts, transfers, exploredSeeds)
	}
}

// Guards against an exploration that would not notice a broken transfer.
func TestFractions_ExplorationDetectsFaults(t *testing.T) {
	for name, f := range map[string]fractionFaults{
		"use what was given until it is confirmed": {keepGiven: true},
		"take a transfer each time":                {takeAgain: true},
		"send a transfer before it is stored":      {sendEarly: true},
		"give what runs use":                       {giveUsed: true},
		"count no server that has not listed":      {},
	} {
		found := false
		for seed := uint64(0); seed < exploredSeeds*5 && !found; seed++ {
			w := newWorld(seed, f, f == fractionFaults{})
			w.play(exploredSteps)
			found = w.breach != ""
			if found {
				t.Logf("%s: seed %d: %s", name, seed, w.breach)
			}
		}
		if !found {
			t.Errorf("%s: no breach found", name)
		}
	}
}
