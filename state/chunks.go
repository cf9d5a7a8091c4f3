package state

import (
	"iter"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/google/btree"
)

// chunks yields the view in the order in which it is restored: documents come
// before the jobs that refer to their workloads.
func (v *View) chunks() iter.Seq[wireChunk] {
	return func(yield func(wireChunk) bool) {
		workloads := newWorkloadIndex()
		_ = yield(wireChunk{Version: snapshotVersion, Next: v.t.next}) &&
			yieldChunks(v.t.documents, wireOfDocument, yield, func(c *wireChunk) *[]wireDocument { return &c.Documents }) &&
			yieldChunks(v.t.refused, wireOfPublication, yield, func(c *wireChunk) *[]wirePublication { return &c.Refused }) &&
			yieldChunks(v.t.jobs, workloads.job, workloads.withUnwritten(yield), func(c *wireChunk) *[]wireJob { return &c.Jobs }) &&
			yieldChunks(v.t.endedJobs, wireOfEnded, yield, func(c *wireChunk) *[]wireEnded { return &c.Ended }) &&
			yieldChunks(v.t.shares, wireOfShare, yield, func(c *wireChunk) *[]ShareEntry { return &c.Shares }) &&
			yieldChunks(v.t.daemons, wireOfDaemon, yield, func(c *wireChunk) *[]wireDaemon { return &c.Daemons }) &&
			yieldChunks(v.t.bills, wireOfBill, yield, func(c *wireChunk) *[]wireBill { return &c.Bills }) &&
			v.yieldKeyChunks(classOther, yield) && v.yieldKeyChunks(classBill, yield) &&
			yield(wireChunk{End: true})
	}
}

// yieldChunks yields the rows of a tree in chunks, and reports whether to
// continue.
func yieldChunks[T, W any](tree *btree.BTreeG[T], encode func(T) W, yield func(wireChunk) bool, in func(*wireChunk) *[]W) bool {
	more := true
	var chunk wireChunk
	tree.Ascend(func(row T) bool {
		rows := in(&chunk)
		*rows = append(*rows, encode(row))
		if len(*rows) == rowsPerChunk {
			more = yield(chunk)
			chunk = wireChunk{}
		}
		return more
	})
	if more && len(*in(&chunk)) > 0 {
		more = yield(chunk)
	}
	return more
}

// yieldKeyChunks yields the keys of a class in chunks. It yields at least one
// chunk, which carries the floor.
func (v *View) yieldKeyChunks(class keyClass, yield func(wireChunk) bool) bool {
	table := v.t.keys[class]
	yieldWithFloor := func(c wireChunk) bool {
		c.Keys.Class, c.Keys.Floor = int(class), table.floor
		return yield(c)
	}
	return yieldWithFloor(wireChunk{}) && yieldChunks(table.byHash, wireOfKey, yieldWithFloor, func(c *wireChunk) *[]wireKey { return &c.Keys.Rows })
}

func wireOfEnded(r endedJobRow) wireEnded { return wireEnded{r.offset, r.id} }

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

func wireOfPublication(p Publication) wirePublication {
	return wirePublication{p.Service, p.Revision, p.Base, p.Team, p.Author, p.Offset, unixNano(p.Time), p.RefusalReason}
}

func (w wirePublication) publication() Publication {
	return Publication{w.Service, w.Revision, w.Base, w.Team, w.Author, w.Offset, timeOf(w.Time), w.Refused}
}

// workloadIndex assigns indexes to workloads, so that each one is written
// once.
type workloadIndex struct {
	indexes map[workloadKey]int
	// unwritten are the workloads that no chunk contains yet.
	unwritten []wireWorkload
}

type workloadKey struct {
	service, workload string
	revision          uint64
}

func workloadKeyOf(s *jobWorkload) workloadKey {
	return workloadKey{s.service, s.workload.Name, s.revision}
}

func newWorkloadIndex() *workloadIndex {
	return &workloadIndex{indexes: make(map[workloadKey]int)}
}

func (x *workloadIndex) job(r *jobRow) wireJob {
	key := workloadKeyOf(r.source)
	at, ok := x.indexes[key]
	if !ok {
		at = len(x.indexes)
		x.indexes[key] = at
		x.unwritten = append(x.unwritten, wireWorkload{r.source.service, r.source.revision, r.source.workload, r.source.team})
	}
	return wireJob{r.id, at, r.author, r.offset, r.time, r.phase, r.done}
}

// withUnwritten returns a yield function that adds the unwritten workloads to
// each chunk.
func (x *workloadIndex) withUnwritten(yield func(wireChunk) bool) func(wireChunk) bool {
	return func(c wireChunk) bool {
		c.Workloads, x.unwritten = x.unwritten, nil
		return yield(c)
	}
}
