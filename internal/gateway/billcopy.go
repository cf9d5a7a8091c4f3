package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// methodBillWatch has another daemon keep bills until they stand in the log.
const methodBillWatch = "gateway.bill.watch"

const (
	// billCopyTimeout bounds one attempt to place copies.
	billCopyTimeout = 300 * time.Millisecond
	// maxBillCopies bounds the daemons that are asked for a copy of one run.
	maxBillCopies = 2
)

// billWriter is the run of a daemon that is to write a bill. A daemon that was
// started again knows nothing of it.
type billWriter struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
}

func writerOf(d cluster.Daemon) billWriter { return billWriter{d.Name, d.Incarnation} }

// billWatch carries bills and says who writes them. Whoever gets it keeps them
// until they stand in the log: as their writer if it is named, else in case the
// writer ends first.
type billWatch struct {
	Bills  []record.Bill `json:"bills"`
	Writer billWriter    `json:"writer"`
}

func (b *bills) register(peers roles.Peers) {
	peers.Handle(methodBillWatch, handle(func(_ context.Context, _ string, w billWatch) (any, error) {
		if !b.take(w) {
			return nil, verdict.New(verdict.NotRun, ReasonBillsFull, "no room for %d bills", len(w.Bills))
		}
		return struct{}{}, nil
	}))
}

// take keeps the bills of a message and reports whether there was room.
func (b *bills) take(w billWatch) bool {
	if w.Writer == writerOf(b.o.Self) {
		return b.adopt(w.Bills)
	}
	kept := true
	for _, bill := range w.Bills {
		kept = b.watch(bill, w.Writer) && kept
	}
	return kept
}

// adopt makes this daemon the writer of bills, if there is room.
func (b *bills) adopt(adopted []record.Bill) bool {
	if b.depth()+len(adopted) > b.o.Limits.MaxBills {
		return false
	}
	for _, bill := range adopted {
		b.add(bill)
	}
	return true
}

// copyBill has another daemon keep a bill whose key this daemon owns itself.
// Otherwise the bill would be lost with this daemon, though the caller was
// told that its request ran. Without another daemon in reach the bill is kept
// here alone.
func (g *Gateway) copyBill(bill record.Bill) {
	owner, ok := g.o.Owners.Owner(cluster.KeyShare(bill.RequestKey))
	if ok && owner.Name != g.o.Self.Name {
		return
	}
	w := billWatch{Bills: []record.Bill{bill}, Writer: writerOf(g.o.Self)}
	keepers := g.bills.keepers()
	for _, m := range keepers[:min(len(keepers), maxBillCopies)] {
		if g.bills.send(context.Background(), m, w) {
			return
		}
	}
}

// send has one daemon keep bills and reports whether it agreed.
func (b *bills) send(ctx context.Context, to roles.Member, w billWatch) bool {
	ctx, cancel := context.WithTimeout(ctx, billCopyTimeout)
	defer cancel()
	return b.o.Peers.Call(ctx, to.Daemon.Name, methodBillWatch, w, nil) == nil
}

// keepers lists the daemons that may keep bills, those of this region first.
func (b *bills) keepers() []roles.Member {
	self := b.o.Self
	others := slices.DeleteFunc(slices.Clone(b.o.Members.Live()), func(m roles.Member) bool {
		return m.Leaving || m.Daemon.Name == self.Name
	})
	slices.SortStableFunc(others, func(x, y roles.Member) int {
		return cmp.Compare(otherRegion(x, self), otherRegion(y, self))
	})
	return others
}

// otherRegion is 0 for a daemon of the same region as self, else 1.
func otherRegion(m roles.Member, self cluster.Daemon) int {
	if m.Daemon.Location.Region == self.Location.Region {
		return 0
	}
	return 1
}

// entrustAll has other daemons write all that is pending. It reports whether
// nothing is left.
func (b *bills) entrustAll(ctx context.Context) bool {
	for batch := b.batch(); len(batch) > 0; batch = b.batch() {
		if !b.entrust(ctx, batch) {
			return false
		}
		b.written(batch)
	}
	return true
}

// entrust has one daemon write bills, and a second one of another failure
// domain, where there is one, keep them in case the first ends. It reports
// whether the first agreed.
func (b *bills) entrust(ctx context.Context, batch []record.Bill) bool {
	keepers := b.keepers()
	i := slices.IndexFunc(keepers, func(m roles.Member) bool {
		return b.send(ctx, m, billWatch{Bills: batch, Writer: writerOf(m.Daemon)})
	})
	if i < 0 {
		return false
	}
	writer := keepers[i].Daemon
	slices.SortStableFunc(keepers, func(x, y roles.Member) int {
		return cmp.Compare(sameDomain(x, writer), sameDomain(y, writer))
	})
	copied := b.copyTo(ctx, keepers, billWatch{Bills: batch, Writer: writerOf(writer)})
	b.o.Events.Log(events.BillsEntrusted, "bills", len(batch), "writer", writer.Name, "copied", copied)
	return true
}

// sameDomain is 1 for a daemon in the failure domain of another, else 0.
func sameDomain(m roles.Member, other cluster.Daemon) int {
	if m.Daemon.Location.SameDomain(other.Location) {
		return 1
	}
	return 0
}

// passOnWatched has other daemons keep the bills that this daemon keeps for
// their writers. Where nobody agrees, their writers are left with them.
func (b *bills) passOnWatched(ctx context.Context) {
	keepers := b.keepers()
	for writer, kept := range b.watchedBills() {
		for batch := range slices.Chunk(kept, maxBillsPerAppend) {
			b.copyTo(ctx, keepers, billWatch{Bills: batch, Writer: writer})
		}
	}
}

// copyTo has the first of the keepers that agrees keep copies of bills, any but
// their writer. It reports whether one did.
func (b *bills) copyTo(ctx context.Context, keepers []roles.Member, w billWatch) bool {
	return slices.ContainsFunc(keepers, func(m roles.Member) bool {
		return writerOf(m.Daemon) != w.Writer && b.send(ctx, m, w)
	})
}

// watchedBills returns the bills kept for other daemons, by their writers, but
// for those that stand in the log.
func (b *bills) watchedBills() map[billWriter][]record.Bill {
	view := b.o.State.View()
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[billWriter][]record.Bill)
	for _, key := range slices.Sorted(maps.Keys(b.watched)) {
		if _, ok := view.Bill(key); !ok {
			w := b.watched[key]
			kept[w.writer] = append(kept[w.writer], w.bill)
		}
	}
	return kept
}
