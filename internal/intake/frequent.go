package intake

import (
	"cmp"
	"slices"
)

// refusedClient names what refusals are counted by.
type refusedClient struct {
	reason Reason
	client Client
}

// frequentClients counts the refusals of the clients that are refused the most, in bounded memory
// (the algorithm is known as Space-Saving): a new client takes the place and the count of the one
// with the lowest count.
type frequentClients struct {
	limit  int
	counts map[refusedClient]*refusedCount
}

// refusedCount is a count that is too high by at most excess.
type refusedCount struct{ count, excess int64 }

func newFrequentClients(limit int) *frequentClients {
	return &frequentClients{limit: limit, counts: make(map[refusedClient]*refusedCount)}
}

// add counts one refusal.
func (f *frequentClients) add(c refusedClient) {
	if known, ok := f.counts[c]; ok {
		known.count++
		return
	}
	if len(f.counts) < f.limit {
		f.counts[c] = &refusedCount{count: 1}
		return
	}
	var lowest refusedClient
	var replaced *refusedCount
	for other, count := range f.counts {
		if replaced == nil || count.count < replaced.count {
			lowest, replaced = other, count
		}
	}
	delete(f.counts, lowest)
	f.counts[c] = &refusedCount{count: replaced.count + 1, excess: replaced.count}
}

// most returns the n clients that were refused the most, the first one the most often.
func (f *frequentClients) most(n int) []RefusedClient {
	all := make([]RefusedClient, 0, len(f.counts))
	for c, count := range f.counts {
		all = append(all, RefusedClient{Reason: c.reason, Group: c.client.Group, Address: c.client.Address, Count: count.count, Excess: count.excess})
	}
	slices.SortFunc(all, func(a, b RefusedClient) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Reason, b.Reason))
	})
	return all[:min(n, len(all))]
}
