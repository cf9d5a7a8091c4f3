package intake

import "time"

// connectionGrace is the idle time below which a connection does not give way: the request
// on a new connection is about to arrive. It is short, so that a client that opens many
// connections at once cannot exclude others.
const connectionGrace = 10 * time.Millisecond

// ConnectionState is what decides which connection gives way to a new one.
type ConnectionState struct {
	// Address is the host address of the other end.
	Address string
	// Idle is how long the next request or message has been awaited, or an answer not taken.
	Idle time.Duration
	// Busy is set while a request that has come is being handled.
	Busy bool
	// Queued is set while a body that has come, in whole or in part, waits for the processor.
	Queued bool
	// Known is set once the other end has shown who it is: a daemon by its hello, a caller by
	// a key.
	Known bool
	// Group is the group of a known client, such as its tenant.
	Group string
}

// Yielding returns the index of the connection that gives way to one more from an address:
// of the address's own connections if they have reached perAddress, of all if these have
// reached limit. It is the one that has been idle for the longest. Connections that are
// busy, or idle for less than 10 ms, do not give way. Queued ones do only if no other does, and of
// them the one with the latest beginning, whose wait is the longest yet to come. Known ones do only
// after all others, and first those of a group that has more than an equal share of the limit.
// It returns -1 and true if none has to give way, and -1 and false if one has to and none
// can.
func Yielding(all []ConnectionState, address string, limit, perAddress int) (index int, ok bool) {
	own := 0
	for _, c := range all {
		if c.Address == address {
			own++
		}
	}
	ofAddress := own >= perAddress
	if len(all) < limit && !ofAddress {
		return -1, true
	}
	excess := groupInExcess(all, limit)
	index = -1
	for i, c := range all {
		if c.Busy || c.Idle < connectionGrace || ofAddress && c.Address != address {
			continue
		}
		if index < 0 || c.before(all[index], excess) {
			index = i
		}
	}
	return index, index >= 0
}

// groupInExcess returns the group of known clients with the most connections if they are more
// than an equal share of limit for each group, or "".
func groupInExcess(all []ConnectionState, limit int) string {
	counts := make(map[string]int)
	for _, c := range all {
		if c.Known && c.Group != "" {
			counts[c.Group]++
		}
	}
	largest := ""
	for group, n := range counts {
		if n > counts[largest] {
			largest = group
		}
	}
	if len(counts) < 2 || counts[largest] <= limit/len(counts) {
		return ""
	}
	return largest
}

// before reports whether c gives way before another connection.
func (c ConnectionState) before(other ConnectionState, excess string) bool {
	if a, b := c.protection(excess), other.protection(excess); a != b {
		return a < b
	}
	if c.Queued {
		return c.Idle < other.Idle
	}
	return c.Idle > other.Idle
}

// protection is how well a connection is protected from giving way, 0 if not at all.
func (c ConnectionState) protection(excess string) int {
	const queued, ofShare, known = 1, 2, 4
	level := 0
	if c.Queued {
		level += queued
	}
	if c.Known {
		level += known
		if c.Group == "" || c.Group != excess {
			level += ofShare
		}
	}
	return level
}
