package intake

import (
	"cmp"
	"fmt"
	"time"
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
	// operatorsPart is the part of the memory, a thirty-second, that operators' connections
	// may take.
	operatorsPart = 32
	// unknownMemory and unknownDescriptors apply where the VM's limits are not known.
	unknownMemory      = 1024 * megabyte
	unknownDescriptors = 16384
	// tlsConnectionBytes is what TLS adds to a connection: buffers for a record each way, and
	// the state of the handshake.
	tlsConnectionBytes = 48 * kilobyte

	// minBodyBytes holds one largest body of a submission while it is decoded (see
	// DecodedBytes), with the part that is kept for small requests.
	minBodyBytes = 4 * megabyte
	// minOperatorBytes holds a number of operators' largest bodies, 128 kB each.
	minOperatorBytes = 2 * megabyte
	// largePart is the part of the memory, an eighth, up to which a budget is enlarged so
	// that the largest body of a service fits.
	largePart = 8
	// minMessageBytes holds the longest message between daemons, 4 MB, as its buffer grows.
	minMessageBytes = 8 * megabyte
)

// VM is the VM of a daemon.
type VM struct {
	// MemoryMB is its memory in mebibytes, and Descriptors the process's limit of file
	// descriptors; 0 means not known.
	MemoryMB    int64
	Descriptors int
}

// Profile is what the defaults of a program's limits depend on beside its VM.
type Profile struct {
	// LargestBody is the longest body of a caller, and LargestAnswer the longest answer to
	// one, that can be configured, in bytes; 0 if that does not matter to the budgets.
	LargestBody, LargestAnswer int64
	// OperatorConnections is the most connections of operators.
	OperatorConnections int
	// BodyTimeout bounds the whole time of a body.
	BodyTimeout time.Duration
	// TLS is set if connections are encrypted.
	TLS bool
}

// Limits are the bounds on untrusted clients.
type Limits struct {
	// BodyBytes bounds the bodies of all callers' calls, AnswerBytes the answers of backend
	// servers to them, OperatorBytes the bodies of operators' calls, and MessageBytes all
	// messages of other daemons in each direction.
	BodyBytes, AnswerBytes, OperatorBytes, MessageBytes int64
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

// LimitsFor returns set with each limit that is 0 derived from the VM and the program's
// profile.
func LimitsFor(vm VM, p Profile, set Limits) Limits {
	memory := cmp.Or(vm.MemoryMB*megabyte, unknownMemory)
	descriptors := int64(cmp.Or(vm.Descriptors, unknownDescriptors))
	each := int64(connectionBytes)
	eachPeer := int64(peerConnectionBytes)
	if p.TLS {
		each += tlsConnectionBytes
		eachPeer += tlsConnectionBytes
	}
	connections := cmp.Or(set.Connections, max(16, int(min(memory/connectionsPart/each, descriptors/descriptorsPart))))
	return Limits{
		BodyBytes:     cmp.Or(set.BodyBytes, budgetBytes(memory, p.LargestBody)),
		AnswerBytes:   cmp.Or(set.AnswerBytes, budgetBytes(memory, p.LargestAnswer)),
		OperatorBytes: cmp.Or(set.OperatorBytes, max(minOperatorBytes, memory/operatorsPart)),
		MessageBytes:  cmp.Or(set.MessageBytes, max(minMessageBytes, memory/messagesPart)),
		Connections:   connections,
		// Callers come through the platform's balancer, so that all of them may share one
		// address. The part that is left lets callers of other addresses connect.
		AddressConnections:  cmp.Or(set.AddressConnections, connections-connections/4),
		PeerConnections:     cmp.Or(set.PeerConnections, max(16, int(min(maxPeerConnections, memory/connectionsPart/eachPeer, descriptors/descriptorsPart)))),
		OperatorConnections: cmp.Or(set.OperatorConnections, max(16, int(min(int64(cmp.Or(p.OperatorConnections, defaultOperatorConnections)), memory/operatorsPart/each, descriptors/8)))),
		HeaderBytes:         cmp.Or(set.HeaderBytes, 16*kilobyte),
		StallTimeout:        cmp.Or(set.StallTimeout, 2*time.Second),
		BodyTimeout:         cmp.Or(set.BodyTimeout, p.BodyTimeout, defaultBodyTimeout),
		HeaderTimeout:       cmp.Or(set.HeaderTimeout, 3*time.Second),
		// Longer than the idle time of the platform's balancer.
		IdleTimeout: cmp.Or(set.IdleTimeout, time.Minute),
		SocketBytes: cmp.Or(set.SocketBytes, 32*kilobyte),
	}
}

const (
	// defaultOperatorConnections are enough for readiness probes, metrics and state dumps.
	defaultOperatorConnections = 64
	// defaultBodyTimeout is the time budget of a caller that states none.
	defaultBodyTimeout = 5 * time.Second
)

// budgetBytes returns the default of a budget for bodies of up to largest bytes: a sixteenth
// of the memory, and up to an eighth if one largest body does not fit otherwise.
func budgetBytes(memory, largest int64) int64 {
	return max(minBodyBytes, memory/bodiesPart, min(memory/largePart, budgetFor(largest)))
}

// budgetFor returns the least budget in which a body of n bytes can be read: half of its
// bytes count twice while its buffer grows, and a part is kept for small requests.
func budgetFor(n int64) int64 { return (n + 1 + n/2) * smallPart / (smallPart - 1) }

// LargestBody returns the length of the longest body that can be read within a budget of
// limit bytes.
func LargestBody(limit int64) int64 { return (limit - limit/smallPart) * 2 / 3 }

// LimitError is the error of a limit that is too low.
type LimitError struct {
	// Limit is its name, such as body_bytes; Value and Least are in bytes, milliseconds or
	// connections.
	Limit        string
	Value, Least int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("intake.%s: %d, want at least %d, or 0 for the default", e.Limit, e.Value, e.Least)
}

// Validate checks limits that were set; 0 means that a limit is not set. The error is a
// *LimitError.
func (l Limits) Validate() error {
	for _, f := range []struct {
		name         string
		value, least int64
	}{
		{"body_bytes", l.BodyBytes, minBodyBytes},
		{"answer_bytes", l.AnswerBytes, minBodyBytes},
		{"operator_bytes", l.OperatorBytes, minOperatorBytes},
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
			return &LimitError{Limit: f.name, Value: f.value, Least: f.least}
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
