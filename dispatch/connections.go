package dispatch

// MaxConnections returns how many connections one of n daemons may have open to a
// backend server, idle ones included: one for each slot it holds there and an
// equal part of those that the slots of all daemons leave over. All daemons
// together stay within the server's connections as long as the slots are lent
// once.
func MaxConnections(connections, slots, held, daemons int) int {
	spare := max(0, connections-slots) / max(daemons, 1)
	return min(held+spare, connections)
}
