package intake

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	// bodiesPart, messagesPart and connectionsPart are the parts of the VM's memory that
	// bodies, messages between daemons and connections may take: a sixteenth, a sixteenth
	// and an eighth. Beside them, a quarter is the budget for submissions, and the rest is
	// for the program, its own calls and the garbage collector.
	bodiesPart      = 16
	messagesPart    = 16
	connectionsPart = 8
	// connectionBytes is what a connection without a body takes: two buffers of 4 KB, a
	// goroutine, headers, and what its socket has received.
	connectionBytes = 48 * kilobyte
	// peerConnectionBytes is the same for a connection of a daemon, with the larger buffers
	// of its socket. Messages have a budget of their own.
	peerConnectionBytes = 64 * kilobyte
	// descriptorsPart is the part of the descriptors, a quarter, that the connections of
	// callers may take, and those of daemons.
	descriptorsPart = 4
	// maxPeerConnections is more than the daemons of the largest deployment, 783.
	maxPeerConnections = 1024
	// unknownMemory and unknownDescriptors apply where the VM's limits are not known.
	unknownMemory      = 1024 * megabyte
	unknownDescriptors = 16384

	// largestBody is the largest legal body: the configuration's max_body_bytes.
	largestBody = 262144
	// minBodyBytes holds one largest body while it is decoded (see DecodedBytes), with the
	// part that is kept for small requests.
	minBodyBytes = 4 * megabyte
	// minMessageBytes holds the longest message between daemons, 4 MB, as its buffer grows.
	minMessageBytes = 8 * megabyte
)

// Limits are the bounds on untrusted clients.
type Limits struct {
	// BodyBytes bounds the bodies of all callers' calls, and MessageBytes all messages of
	// other daemons in each direction.
	BodyBytes, MessageBytes int64
	// Connections, PeerConnections and OperatorConnections bound the accepted connections
	// of the three listeners; AddressConnections those of callers from one address.
	Connections, AddressConnections, PeerConnections, OperatorConnections int
	// HeaderBytes bounds the headers of one request.
	HeaderBytes int
	// StallTimeout bounds the time without progress of a body, a message or an answer, and
	// BodyTimeout the whole time of a body.
	StallTimeout, BodyTimeout time.Duration
	// HeaderTimeout bounds the time of headers, and IdleTimeout the time between two
	// requests on one connection.
	HeaderTimeout, IdleTimeout time.Duration
	// SocketBytes is the size of the receive and send buffers of a caller's socket.
	SocketBytes int
}

// LimitsFor returns set with each limit that is 0 derived from the VM's memory in mebibytes
// and the process's limit of file descriptors; 0 means that these are not known.
func LimitsFor(memoryMB int64, descriptors int, set Limits) Limits {
	memory := cmp.Or(memoryMB*megabyte, unknownMemory)
	descriptors = cmp.Or(descriptors, unknownDescriptors)
	connections := cmp.Or(set.Connections, max(16, int(min(memory/connectionsPart/connectionBytes, int64(descriptors/descriptorsPart)))))
	return Limits{
		BodyBytes:    cmp.Or(set.BodyBytes, max(minBodyBytes, memory/bodiesPart)),
		MessageBytes: cmp.Or(set.MessageBytes, max(minMessageBytes, memory/messagesPart)),
		Connections:  connections,
		// Callers come through the platform's balancer, so that all of them may share one
		// address. The part that is left lets callers of other addresses connect.
		AddressConnections:  cmp.Or(set.AddressConnections, connections-connections/4),
		PeerConnections:     cmp.Or(set.PeerConnections, max(16, min(maxPeerConnections, int(memory/connectionsPart/peerConnectionBytes), descriptors/descriptorsPart))),
		OperatorConnections: cmp.Or(set.OperatorConnections, max(16, min(64, descriptors/8))),
		HeaderBytes:         cmp.Or(set.HeaderBytes, 16*kilobyte),
		StallTimeout:        cmp.Or(set.StallTimeout, 2*time.Second),
		// A caller's time budget is 3 s, and 5 s if it states none.
		BodyTimeout:   cmp.Or(set.BodyTimeout, 5*time.Second),
		HeaderTimeout: cmp.Or(set.HeaderTimeout, 3*time.Second),
		// Longer than the idle time of the platform's balancer.
		IdleTimeout: cmp.Or(set.IdleTimeout, time.Minute),
		SocketBytes: cmp.Or(set.SocketBytes, 32*kilobyte),
	}
}

// Validate checks limits that were set; 0 means that a limit is not set.
func (l Limits) Validate() error {
	for _, f := range []struct {
		name         string
		value, least int64
	}{
		{"body_bytes", l.BodyBytes, minBodyBytes},
		{"message_bytes", l.MessageBytes, minMessageBytes},
		{"connections", int64(l.Connections), 16},
		{"address_connections", int64(l.AddressConnections), 16},
		{"peer_connections", int64(l.PeerConnections), 16},
		{"operator_connections", int64(l.OperatorConnections), 4},
		{"header_bytes", int64(l.HeaderBytes), 4 * kilobyte},
		{"stall_ms", l.StallTimeout.Milliseconds(), 100},
		{"body_ms", l.BodyTimeout.Milliseconds(), 100},
		{"header_ms", l.HeaderTimeout.Milliseconds(), 100},
		{"idle_ms", l.IdleTimeout.Milliseconds(), 100},
		{"socket_bytes", int64(l.SocketBytes), 4 * kilobyte},
	} {
		if f.value != 0 && f.value < f.least {
			return errors.Errorf("intake.%s: %d, want at least %d, or 0 for the default", f.name, f.value, f.least)
		}
	}
	return nil
}

// DecodedBytes returns an upper bound of the memory in bytes that a body takes once it is
// decoded, beside the body itself:
// its strings; its list elements, of which each follows a comma, with the list's former
// length while it grows; and its objects, of which only maxObjects are kept.
func DecodedBytes(body []byte, maxObjects int) int64 {
	const elementBytes, objectBytes = 16, 1024
	elements, objects := 0, 0
	for _, b := range body {
		switch b {
		case ',':
			elements++
		case '{':
			objects++
		}
	}
	// In sound JSON there is a value beside each comma.
	elements = min(elements, len(body)/2)
	return int64(len(body)) + int64(elements)*elementBytes + int64(min(objects, maxObjects))*objectBytes
}
