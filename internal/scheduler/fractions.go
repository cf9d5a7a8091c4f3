package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// capAskInterval is the least time between two questions to other owners.
	capAskInterval = 500 * time.Millisecond
	// minCapDelay is the delay before an unanswered transfer is sent again. It doubles with
	// each repetition up to maxCapDelay.
	minCapDelay = 100 * time.Millisecond
	maxCapDelay = 2 * time.Second
)

// capShares is the state by which a Core divides the caps with the owners of other
// partitions.
type capShares struct {
	// others is the number of other partitions, and askedAt when their owners were last
	// asked.
	others  int
	askedAt time.Time
	// demand is what the unplaced tasks of each tenant reserve together, as of askedAt.
	demand map[string]workload.Resources
	// sends counts how often each unconfirmed transfer was sent.
	sends map[capTransferKey]int
}

type capTransferKey struct {
	tenant string
	number uint64
}

// SetCapHolder sets what is known of the first holder of all caps, and the number of other
// partitions. While no holder is stored, a partition without others is the first holder; one
// with others may use no cap before a holder is stored.
func (c *Core) SetCapHolder(holder CapHolder, others int) {
	c.capShares.others = others
	first := holder.First || holder.Loaded && !holder.Known && others == 0
	if first != c.tenants.ledger.Fractions.First() {
		c.tenants.ledger.Fractions.SetFirst(first)
		c.placementNeeded = true
	}
}

// loadFraction restores what this partition holds of a tenant's cap.
func (c *Core) loadFraction(name string, value []byte) error {
	var f tenant.Fraction
	if err := workload.Decode(value, &f); err != nil {
		return err
	}
	c.tenants.ledger.Fractions.Load(name, f)
	return nil
}

func (c *Core) writeFraction(name string, f tenant.Fraction, then func()) {
	c.write([]partition.Record{recordOf(keyFraction, name, f)}, then)
}

// shareCaps asks other owners for parts of the caps that hold work back here.
func (c *Core) shareCaps() {
	x, t := &c.capShares, c.tenants
	if x.others == 0 || !t.ledger.Active() || c.now.Sub(x.askedAt) < capAskInterval {
		return
	}
	x.askedAt = c.now
	x.demand = make(map[string]workload.Resources)
	gangs := make(map[string]workload.Resources)
	for _, st := range c.queued {
		if name := st.job().sub.Tenant; name != "" && st.job().ending == "" {
			need := st.spec.Reserved().Scaled(st.unplacedTasks())
			x.demand[name] = x.demand[name].Plus(need)
			if st.spec.Gang {
				gangs[name] = gangs[name].Max(need)
			}
		}
	}
	t.attributeCapacity()
	for _, name := range t.ledger.Names() {
		t.ledger.Observe(name, x.demand[name], c.now)
		t.ledger.SetGang(name, gangs[name])
		if x.demand[name] == (workload.Resources{}) {
			continue
		}
		if q, short := t.ledger.Ask(name, x.demand[name]); short {
			c.emit(AskCap{q})
		}
	}
}

// CapAsked handles the request of another partition's owner for a part of a cap. If this
// owner grants any, a transfer is stored and then sent.
func (c *Core) CapAsked(q tenant.Question) {
	t := c.tenants
	t.attributeCapacity()
	amount := t.ledger.Grant(q, c.capShares.demand[q.Tenant], c.now)
	transfer, f, ok := t.ledger.Fractions.Give(q.Tenant, q.From, amount)
	if !ok {
		return
	}
	c.writeFraction(q.Tenant, f, func() {
		t.ledger.Fractions.Stored(q.Tenant, transfer.Number)
		c.log.Log(events.CapGiven, "tenant", q.Tenant, "to", q.From, "number", transfer.Number, "amount", transfer.Amount, "left", t.ledger.Fraction(q.Tenant))
		c.sendCap(q.Tenant, transfer)
	})
}

// sendCap sends a stored transfer to the owner of the other partition.
func (c *Core) sendCap(name string, t tenant.Transfer) {
	key := capTransferKey{name, t.Number}
	delay := time.Duration(0)
	if n := c.capShares.sends[key]; n > 0 {
		delay = min(minCapDelay<<min(n-1, 10), maxCapDelay)
	}
	c.capShares.sends[key]++
	c.emit(SendCap{Tenant: name, Transfer: t, Delay: delay})
}

// resumeCaps sends the transfers that earlier owners have stored.
func (c *Core) resumeCaps() {
	fractions := c.tenants.ledger.Fractions
	for _, name := range fractions.Names() {
		for _, t := range fractions.Unconfirmed(name) {
			c.sendCap(name, t)
		}
	}
}

// CapSent handles the outcome of a transfer: a nil error means that the other partition
// holds it.
func (c *Core) CapSent(name string, number uint64, err error) {
	fractions := c.tenants.ledger.Fractions
	if err != nil {
		for _, t := range fractions.Unconfirmed(name) {
			if t.Number == number {
				c.sendCap(name, t)
			}
		}
		return
	}
	if f, open := fractions.Confirm(name, number); open {
		delete(c.capShares.sends, capTransferKey{name, number})
		c.writeFraction(name, f, nil)
	}
}

// TakeCap takes a transfer from another partition and replies once it is stored.
func (c *Core) TakeCap(t CapTransfer, reply func(Reply)) {
	fractions := c.tenants.ledger.Fractions
	f, fresh := fractions.Take(t.Tenant, t.From, tenant.Transfer{Number: t.Number, Amount: t.Amount})
	if !fresh && len(c.onStored) == 0 && !c.hasStores() {
		c.reply(reply, Reply{})
		return
	}
	if !fresh {
		// The write that records the transfer may be in flight.
		c.afterStored(func() { c.reply(reply, Reply{}) })
		return
	}
	c.writeFraction(t.Tenant, f, func() {
		fractions.Arrived(t.Tenant, t.Amount)
		c.log.Log(events.CapTaken, "tenant", t.Tenant, "from", t.From, "number", t.Number, "amount", t.Amount, "held", fractions.Usable(t.Tenant))
		c.placementNeeded = true
		c.reply(reply, Reply{})
	})
}
