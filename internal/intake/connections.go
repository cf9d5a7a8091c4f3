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
	// Known is set once the other end of a connection between daemons has said who it is.
	Known bool
}

// Yielding returns the index of the connection that gives way to one more from an address:
// of the address's own connections if they have reached perAddress, of all if these have
// reached limit. It is the one that has been idle for the longest; connections that are
// busy, or idle for less than 10 ms, do not give way, and known ones only if no other does.
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
	index = -1
	for i, c := range all {
		if c.Busy || c.Idle < connectionGrace || ofAddress && c.Address != address {
			continue
		}
		if index < 0 || before(c, all[index]) {
			index = i
		}
	}
	return index, index >= 0
}

func before(a, b ConnectionState) bool {
	if a.Known != b.Known {
		return !a.Known
	}
	return a.Idle > b.Idle
}
