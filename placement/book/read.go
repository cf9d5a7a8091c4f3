package book

import (
	"fmt"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
)

// Version returns the book's version, which increases with every change.
func (b *Book) Version() uint64 { return b.version }

// Entry returns the entry of one attempt.
func (b *Book) Entry(id ID) (Entry, bool) {
	e, ok := b.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Worker returns the account of one worker.
func (b *Book) Worker(name string) (Worker, bool) {
	a, ok := b.workers[name]
	if !ok {
		return Worker{}, false
	}
	return a.Worker, true
}

// Workers returns the accounts that changed after version since, sorted by name.
func (b *Book) Workers(since uint64) []Worker {
	var out []Worker
	for _, a := range b.workers {
		if a.Version > since {
			out = append(out, a.Worker)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Entries returns the entries of one worker, sorted by ID.
func (b *Book) Entries(worker string) []Entry {
	a, ok := b.workers[worker]
	if !ok {
		return nil
	}
	out := make([]Entry, 0, len(a.entries))
	for _, e := range a.entries {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID.Less(out[j].ID) })
	return out
}

// Len returns the number of entries.
func (b *Book) Len() int { return len(b.entries) }

// TeamUsage returns the sum of the resources of a team's entries.
func (b *Book) TeamUsage(name string) cluster.Resources {
	if t, ok := b.teams[name]; ok {
		return t.used
	}
	return cluster.Resources{}
}

// TeamNominated returns the sum of a team's nominations for which running tasks
// are being preempted.
func (b *Book) TeamNominated(name string) cluster.Resources {
	if t, ok := b.teams[name]; ok {
		return t.nominated
	}
	return cluster.Resources{}
}

// TeamsSince returns the teams whose sums changed after a version, sorted by
// name.
func (b *Book) TeamsSince(version uint64) []string {
	var out []string
	for name, t := range b.teams {
		if t.version > version {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Check recomputes all sums and indexes, and returns an error for the first
// inconsistency. Tests and the state dump call it; the dump contains the text of
// the error.
func (b *Book) Check() error {
	teams := make(map[string]cluster.Resources)
	count := 0
	for name, a := range b.workers {
		var sum cluster.Resources
		for id, e := range a.entries {
			if b.entries[id] != e || e.Worker != name {
				return fmt.Errorf("book: entry %v of %s is not in the index", id, name)
			}
			if _, held := b.reservations[id]; held != (e.State == Reserved) {
				return fmt.Errorf("book: hold of %v is not in the index", id)
			}
			sum = sum.Add(e.Resources)
			teams[e.Team] = teams[e.Team].Add(e.Resources)
			count++
		}
		var nominated cluster.Resources
		for _, m := range a.nominations {
			nominated = nominated.Add(m.resources)
		}
		if nominated != a.Nominated {
			return fmt.Errorf("book: %s has %+v earmarked, its earmarks are %+v", name, a.Nominated, nominated)
		}
		if sum != a.Used {
			return fmt.Errorf("book: %s counts %+v, its entries %+v", name, a.Used, sum)
		}
	}
	if count != len(b.entries) {
		return fmt.Errorf("book: %d entries on workers, %d in the index", count, len(b.entries))
	}
	for team, t := range b.teams {
		if teams[team] != t.used {
			return fmt.Errorf("book: team %s counts %+v, its entries %+v", team, t.used, teams[team])
		}
	}
	return nil
}

// MarkChanged makes Workers report a worker again although its account has not
// changed.
func (b *Book) MarkChanged(worker string) {
	if a, ok := b.workers[worker]; ok {
		b.markChanged(a)
	}
}
