package state

import (
	"reflect"

	"github.com/currantwinch/currantwinch/document"
	"github.com/pkg/errors"
)

// snapshotRestorer builds a state from the chunks of a snapshot.
type snapshotRestorer struct {
	state *State
	// sources are the workloads of all chunks read so far.
	sources []*jobWorkload
	// inForce are the workloads of the documents in force.
	inForce map[workloadKey]*jobWorkload
}

func (x *snapshotRestorer) add(w wireChunk) error {
	t := &x.state.t
	t.next = max(t.next, w.Next)
	for _, d := range w.Documents {
		if err := x.addDocument(d); err != nil {
			return err
		}
	}
	for _, p := range w.Refused {
		t.refused.ReplaceOrInsert(p.publication())
	}
	if err := x.addJobs(w); err != nil {
		return err
	}
	for _, e := range w.Ended {
		t.endedJobs.ReplaceOrInsert(endedJobRow{e.Offset, e.ID})
	}
	for _, share := range w.Shares {
		t.shares.ReplaceOrInsert(&share)
	}
	for _, d := range w.Daemons {
		t.daemons.ReplaceOrInsert(&d.Daemon)
	}
	for _, b := range w.Bills {
		x.state.addBill(newBillRow(b.Bill, b.Offset))
	}
	return x.addKeys(w.Keys)
}

func (x *snapshotRestorer) addKeys(w wireKeys) error {
	if w.Class < 0 || w.Class >= len(x.state.t.keys) {
		return errors.Errorf("snapshot has keys of class %d", w.Class)
	}
	table := &x.state.t.keys[w.Class]
	table.floor = max(table.floor, w.Floor)
	for _, k := range w.Rows {
		row := keyRow{hash: k.Hash, offset: k.Offset}
		if k.Refused != "" {
			row.refused = &k.Refused
		}
		table.byHash.ReplaceOrInsert(row)
		table.byOffset.ReplaceOrInsert(keyOrderRow{k.Offset, k.Hash})
	}
	return nil
}

func (x *snapshotRestorer) addDocument(w wireDocument) error {
	row := &documentRow{service: w.Service, published: w.Published}
	row.DocumentEntry = DocumentEntry{
		Text: w.Text, Revision: w.Revision, Team: w.Team, Author: w.Author,
		Offset: w.Offset, Time: timeOf(w.Time),
	}
	if len(w.Text) > 0 {
		doc, err := document.Parse(w.Text)
		if err != nil {
			return errors.Wrapf(err, "document of %s in snapshot", w.Service)
		}
		row.setDocument(doc)
	}
	for _, p := range w.History {
		row.history = append(row.history, p.publication())
	}
	x.state.t.documents.ReplaceOrInsert(row)
	return nil
}

func (x *snapshotRestorer) addJobs(w wireChunk) error {
	for _, workload := range w.Workloads {
		x.sources = append(x.sources, x.source(workload))
	}
	for _, j := range w.Jobs {
		if j.Workload < 0 || j.Workload >= len(x.sources) {
			return errors.Errorf("job %s in snapshot names no workload", j.ID)
		}
		row := &jobRow{j.ID, x.sources[j.Workload], intern(j.Author), j.Offset, j.Time, j.Phase, j.Done}
		if row.done != nil {
			row.done.JobID = row.id
		}
		x.state.t.jobs.ReplaceOrInsert(row)
		if j.Phase == JobAccepted {
			x.state.t.openJobs.ReplaceOrInsert(openJobRowOf(j.ID))
		}
	}
	return nil
}

// source returns a workload that jobs refer to. It reuses the one of a
// document in force if they are equal.
func (x *snapshotRestorer) source(w wireWorkload) *jobWorkload {
	if x.inForce == nil {
		x.inForce = make(map[workloadKey]*jobWorkload)
		x.state.t.documents.Ascend(func(row *documentRow) bool {
			for _, source := range row.sources {
				x.inForce[workloadKeyOf(source)] = source
			}
			return true
		})
	}
	out := &jobWorkload{w.Service, w.Team, w.Revision, w.Workload}
	if source, ok := x.inForce[workloadKeyOf(out)]; ok && reflect.DeepEqual(source, out) {
		return source
	}
	return out
}
