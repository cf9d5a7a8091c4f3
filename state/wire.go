package state

import (
	"iter"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/google/btree"
)

// chunks yields the view in the order in which it is read again: documents
// before the jobs that run under their workloads.
func (v *View) chunks() iter.Seq[wireChunk] {
	return func(yield func(wireChunk) bool) {
		workloads := newWorkloadIndex()
		_ = yield(wireChunk{Version: snapshotVersion, Next: v.t.next}) &&
			split(v.t.documents, wireOfDocument, yield, func(c *wireChunk) *[]wireDocument { return &c.Documents }) &&
			split(v.t.refused, wireOfPublication, yield, func(c *wireChunk) *[]wirePublished { return &c.Refused }) &&
			split(v.t.jobs, workloads.job, workloads.addTo(yield), func(c *wireChunk) *[]wireJob { return &c.Jobs }) &&
			split(v.t.ended, wireOfEnded, yield, func(c *wireChunk) *[]wireEnded { return &c.Ended }) &&
			split(v.t.shares, wireOfShare, yield, func(c *wireChunk) *[]ShareEntry { return &c.Shares }) &&
			split(v.t.daemons, wireOfDaemon, yield, func(c *wireChunk) *[]wireDaemon { return &c.Daemons }) &&
			split(v.t.bills, wireOfBill, yield, func(c *wireChunk) *[]wireBill { return &c.Bills }) &&
			v.splitKeys(classOther, yield) && v.splitKeys(classBill, yield) &&
			yield(wireChunk{End: true})
	}
}

// split yields the rows of a tree in chunks, and reports whether to go on.
func split[T, W any](tree *btree.BTreeG[T], turn func(T) W, yield func(wireChunk) bool, in func(*wireChunk) *[]W) bool {
	goOn := true
	var chunk wireChunk
	tree.Ascend(func(row T) bool {
		rows := in(&chunk)
		*rows = append(*rows, turn(row))
		if len(*rows) == chunkRows {
			goOn = yield(chunk)
			chunk = wireChunk{}
		}
		return goOn
	})
	if goOn && len(*in(&chunk)) > 0 {
		goOn = yield(chunk)
	}
	return goOn
}

// splitKeys yields at least one chunk of a class, for its floor.
func (v *View) splitKeys(class keyClass, yield func(wireChunk) bool) bool {
	table := v.t.keys[class]
	stamped := func(c wireChunk) bool {
		c.Keys.Class, c.Keys.Floor = int(class), table.floor
		return yield(c)
	}
	return stamped(wireChunk{}) && split(table.byHash, wireOfKey, stamped, func(c *wireChunk) *[]wireKey { return &c.Keys.Rows })
}

func wireOfEnded(r endedRow) wireEnded { return wireEnded{r.offset, r.id} }

func wireOfShare(r *ShareEntry) ShareEntry { return *r }

func wireOfDaemon(d *cluster.Daemon) wireDaemon { return wireDaemon{*d} }

func wireOfBill(r *billRow) wireBill { return wireBill{r.Bill, r.offset} }

func wireOfKey(r keyRow) wireKey {
	w := wireKey{Hash: r.hash, Offset: r.offset}
	if r.refused != nil {
		w.Refused = *r.refused
	}
	return w
}

func wireOfDocument(row *documentRow) wireDocument {
	w := wireDocument{
		Service: row.service, Text: row.Text, Revision: row.Revision, Team: row.Team, Author: row.Author,
		Offset: row.Offset, Time: unixNano(row.Time), Published: row.published,
	}
	for _, p := range row.history {
		w.History = append(w.History, wireOfPublication(p))
	}
	return w
}

func wireOfPublication(p Publication) wirePublished {
	return wirePublished{p.Service, p.Revision, p.Base, p.Team, p.Author, p.Offset, unixNano(p.Time), p.RefusalReason}
}

func (w wirePublished) publication() Publication {
	return Publication{w.Service, w.Revision, w.Base, w.Team, w.Author, w.Offset, timeOf(w.Time), w.Refused}
}

// workloadIndex writes each workload once, however many jobs run under it.
type workloadIndex struct {
	at map[workloadKey]int
	// fresh are the workloads that no chunk holds yet.
	fresh []wireWorkload
}

type workloadKey struct {
	service, workload string
	revision          uint64
}

func keyOf(s *jobSource) workloadKey { return workloadKey{s.service, s.workload.Name, s.revision} }

func newWorkloadIndex() *workloadIndex {
	return &workloadIndex{at: make(map[workloadKey]int)}
}

func (x *workloadIndex) job(r *jobRow) wireJob {
	key := keyOf(r.source)
	at, ok := x.at[key]
	if !ok {
		at = len(x.at)
		x.at[key] = at
		x.fresh = append(x.fresh, wireWorkload{r.source.service, r.source.revision, r.source.workload, r.source.team})
	}
	return wireJob{r.id, at, r.author, r.offset, r.time, r.phase, r.done}
}

// addTo returns a yield that adds the fresh workloads to each chunk.
func (x *workloadIndex) addTo(yield func(wireChunk) bool) func(wireChunk) bool {
	return func(c wireChunk) bool {
		c.Workloads, x.fresh = x.fresh, nil
		return yield(c)
	}
}
