package dispatch

// MaxConnections returns how many connections one daemon may have open to a backend
// server, including idle ones: one for each slot that it holds there and an equal
// part of the connections that exceed the server's slots. All daemons together stay
// within the server's connections as long as no slot is leased twice.
func MaxConnections(connections, slots, heldSlots, daemons int) int {
	spare := max(0, connections-slots) / max(daemons, 1)
	return min(heldSlots+spare, connections)
}
