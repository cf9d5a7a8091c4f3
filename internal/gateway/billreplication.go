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

// methodBillCopy has another daemon keep bills until they are in the log.
const methodBillCopy = "gateway.bill.watch"

const (
	// billCopyTimeout bounds one call that places copies.
	billCopyTimeout = 300 * time.Millisecond
	// maxBillCopies bounds the daemons that are tried for the copy of one bill.
	maxBillCopies = 2
)

// billWriterID identifies the daemon incarnation that is to write a bill. A
// restarted daemon has a new incarnation and none of the bills.
type billWriterID struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
}

func writerOf(d cluster.Daemon) billWriterID { return billWriterID{d.Name, d.Incarnation} }

// billCopy carries bills and names their writer. The receiver keeps them until
// they are in the log: it writes them itself if it is the writer, else only if
// the writer is gone.
type billCopy struct {
	Bills  []record.Bill `json:"bills"`
	Writer billWriterID  `json:"writer"`
}

func (b *billQueue) register(peers roles.Peers) {
	peers.Handle(methodBillCopy, handle(func(_ context.Context, _ string, copies billCopy) (any, error) {
		if !b.receive(copies) {
			return nil, verdict.New(verdict.NotRun, ReasonBillsFull, "no room for %d bills", len(copies.Bills))
		}
		return struct{}{}, nil
	}))
}

// receive keeps the bills of a message and reports whether there was capacity for
// all of them.
func (b *billQueue) receive(copies billCopy) bool {
	if copies.Writer == writerOf(b.o.Self) {
		return b.becomeWriter(copies.Bills)
	}
	stored := true
	for _, bill := range copies.Bills {
		stored = b.addCopy(bill, copies.Writer) && stored
	}
	return stored
}

// becomeWriter makes this daemon the writer of bills, if the pending bills stay
// within Limits.MaxBills.
func (b *billQueue) becomeWriter(bills []record.Bill) bool {
	if b.pendingCount()+len(bills) > b.o.Limits.MaxBills {
		return false
	}
	for _, bill := range bills {
		b.add(bill)
	}
	return true
}

// copyBill has another daemon keep a copy of a bill whose key this daemon owns.
// Without the copy the bill would be lost if this daemon failed, although the
// caller got the verdict that its request ran. A bill whose key another daemon owns
// needs no copy, as the key's owner keeps one. If no daemon accepts the copy, only
// this daemon has the bill.
func (g *Gateway) copyBill(bill record.Bill) {
	owner, ok := g.o.Owners.Owner(cluster.KeyShare(bill.RequestKey))
	if ok && owner.Name != g.o.Self.Name {
		return
	}
	copies := billCopy{Bills: []record.Bill{bill}, Writer: writerOf(g.o.Self)}
	candidates := g.bills.copyCandidates()
	for _, m := range candidates[:min(len(candidates), maxBillCopies)] {
		if g.bills.sendCopy(context.Background(), m, copies) {
			return
		}
	}
}

// sendCopy sends bills to one daemon and reports whether it accepted them.
func (b *billQueue) sendCopy(ctx context.Context, to roles.Member, copies billCopy) bool {
	ctx, cancel := context.WithTimeout(ctx, billCopyTimeout)
	defer cancel()
	return b.o.Peers.Call(ctx, to.Daemon.Name, methodBillCopy, copies, nil) == nil
}

// copyCandidates returns the other daemons that are not leaving, those of this
// region first.
func (b *billQueue) copyCandidates() []roles.Member {
	self := b.o.Self
	others := slices.DeleteFunc(slices.Clone(b.o.Members.Live()), func(m roles.Member) bool {
		return m.Leaving || m.Daemon.Name == self.Name
	})
	slices.SortStableFunc(others, func(x, y roles.Member) int {
		return cmp.Compare(differentRegion(x, self), differentRegion(y, self))
	})
	return others
}

// differentRegion returns 0 for a daemon in the region of self, else 1.
func differentRegion(m roles.Member, self cluster.Daemon) int {
	if m.Daemon.Location.Region == self.Location.Region {
		return 0
	}
	return 1
}

// transferAll makes other daemons the writers of all pending bills. It reports
// whether none is left.
func (b *billQueue) transferAll(ctx context.Context) bool {
	for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
		if !b.transfer(ctx, batch) {
			return false
		}
		b.remove(batch)
	}
	return true
}

// transfer makes another daemon the writer of bills and places a copy with a
// second one, preferably in another failure domain, for the case that the writer
// fails. It reports whether a daemon accepted to write them.
func (b *billQueue) transfer(ctx context.Context, batch []record.Bill) bool {
	candidates := b.copyCandidates()
	i := slices.IndexFunc(candidates, func(m roles.Member) bool {
		return b.sendCopy(ctx, m, billCopy{Bills: batch, Writer: writerOf(m.Daemon)})
	})
	if i < 0 {
		return false
	}
	writer := candidates[i].Daemon
	slices.SortStableFunc(candidates, func(x, y roles.Member) int {
		return cmp.Compare(sameFailureDomain(x, writer), sameFailureDomain(y, writer))
	})
	copied := b.placeCopy(ctx, candidates, billCopy{Bills: batch, Writer: writerOf(writer)})
	b.o.Events.Log(events.BillsHandedOver, "bills", len(batch), "writer", writer.Name, "copied", copied)
	return true
}

// sameFailureDomain returns 1 for a daemon in the failure domain of other, else 0.
func sameFailureDomain(m roles.Member, other cluster.Daemon) int {
	if m.Daemon.Location.SameDomain(other.Location) {
		return 1
	}
	return 0
}

// forwardCopies sends the copies kept for other writers to other daemons. If none
// accepts a copy, only the writer has the bill.
func (b *billQueue) forwardCopies(ctx context.Context) {
	candidates := b.copyCandidates()
	for writer, copies := range b.copiesByWriter() {
		for batch := range slices.Chunk(copies, maxBillsPerAppend) {
			b.placeCopy(ctx, candidates, billCopy{Bills: batch, Writer: writer})
		}
	}
}

// placeCopy sends copies of bills to the candidates in order, except to their
// writer, until one accepts. It reports whether one did.
func (b *billQueue) placeCopy(ctx context.Context, candidates []roles.Member, copies billCopy) bool {
	return slices.ContainsFunc(candidates, func(m roles.Member) bool {
		return writerOf(m.Daemon) != copies.Writer && b.sendCopy(ctx, m, copies)
	})
}

// copiesByWriter returns the copies of bills that are not in the log, by writer.
func (b *billQueue) copiesByWriter() map[billWriterID][]record.Bill {
	view := b.o.State.View()
	b.mu.Lock()
	defer b.mu.Unlock()
	copies := make(map[billWriterID][]record.Bill)
	for _, key := range slices.Sorted(maps.Keys(b.copies)) {
		if _, ok := view.Bill(key); !ok {
			copied := b.copies[key]
			copies[copied.writer] = append(copies[copied.writer], copied.bill)
		}
	}
	return copies
}
