package intake

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// shownClients is the number of clients that a state dump lists for each budget and
	// listener.
	shownClients = 8
	// shownRefused is the number of clients with refusals that a state dump lists, and
	// countedRefused that of those that are counted.
	shownRefused   = 16
	countedRefused = 128
)

// Status tells what clients take of the daemon, for a state dump. Its length is bounded.
type Status struct {
	Budgets   map[string]BudgetStatus   `json:"budgets"`
	Listeners map[string]ListenerStatus `json:"listeners"`
	// Refused lists the clients that were refused the most since the start of the process.
	Refused []RefusedClient `json:"refused"`
}

// BudgetStatus tells what a budget holds in bytes, and for whom.
type BudgetStatus struct {
	Held     int64    `json:"held"`
	Limit    int64    `json:"limit"`
	Requests int      `json:"requests"`
	Holders  []Holder `json:"holders"`
}

// Holder is a client that holds a part of a budget.
type Holder struct {
	Group    string `json:"group,omitempty"`
	Address  string `json:"address"`
	Requests int    `json:"requests"`
	Bytes    int64  `json:"bytes"`
}

// ListenerStatus tells how many connections a listener has, and whose.
type ListenerStatus struct {
	Open    int                 `json:"open"`
	Limit   int                 `json:"limit"`
	Clients []ClientConnections `json:"clients"`
}

// ClientConnections is a client with open connections.
type ClientConnections struct {
	Group       string `json:"group,omitempty"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
}

// RefusedClient is a client with the number of its requests that were refused. The number is too
// high by at most Excess.
type RefusedClient struct {
	Reason  Reason `json:"reason"`
	Group   string `json:"group,omitempty"`
	Address string `json:"address"`
	Count   int64  `json:"count"`
	Excess  int64  `json:"excess,omitempty"`
}

// Status returns what the budget holds and for whom.
func (b *Budget) Status() BudgetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	clients := make(map[Client]*Holder)
	for e := range b.entries {
		h, ok := clients[e.client]
		if !ok {
			h = &Holder{Group: e.client.Group, Address: e.client.Address}
			clients[e.client] = h
		}
		h.Requests++
		h.Bytes += e.held
	}
	holders := make([]Holder, 0, len(clients))
	for _, h := range clients {
		holders = append(holders, *h)
	}
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Group, b.Group))
	})
	return BudgetStatus{Held: b.used, Limit: b.limit, Requests: len(b.entries), Holders: holders[:min(shownClients, len(holders))]}
}

// Status returns whose connections are open.
func (l *Listener) Status() ListenerStatus {
	l.mu.Lock()
	clients := make(map[Client]int)
	open := len(l.conns)
	for c := range l.conns {
		clients[Client{Group: c.groupName(), Address: c.address}]++
	}
	l.mu.Unlock()
	list := make([]ClientConnections, 0, len(clients))
	for c, n := range clients {
		list = append(list, ClientConnections{Group: c.Group, Address: c.Address, Connections: n})
	}
	slices.SortFunc(list, func(a, b ClientConnections) int {
		return cmp.Or(cmp.Compare(b.Connections, a.Connections), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Group, b.Group))
	})
	return ListenerStatus{Open: open, Limit: l.o.Connections, Clients: list[:min(shownClients, len(list))]}
}

// Status returns what clients take of the daemon.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	budgets, listeners := maps.Clone(r.budgets), maps.Clone(r.listeners)
	s := Status{Budgets: make(map[string]BudgetStatus), Listeners: make(map[string]ListenerStatus), Refused: r.refused.most(shownRefused)}
	r.mu.Unlock()
	for name, b := range budgets {
		s.Budgets[name] = b.Status()
	}
	for name, l := range listeners {
		s.Listeners[name] = l.Status()
	}
	return s
}
