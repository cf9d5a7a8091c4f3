package intake

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// backlogPart is the part of a listener's connections, an eighth, that may wait to be
	// accepted beside them.
	backlogPart = 8
	minBacklog  = 16
)

// SocketOptions are the bounds of a listening socket.
type SocketOptions struct {
	// Connections is the number of connections that its Listener accepts. An eighth as many
	// may wait to be accepted, and Backlog at least.
	Connections, Backlog int
	// Bytes is the size of the receive and send buffers of each connection, which bounds
	// what it has received and nobody has read; 0 means the system's size.
	Bytes int
}

// Listen opens a socket at a TCP address. Its connections are bounded in size, and in number
// while they wait to be accepted; NewListener bounds those that are accepted.
func Listen(address string, o SocketOptions) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if o.Bytes <= 0 {
			return nil
		}
		var failed error
		err := c.Control(func(fd uintptr) {
			// Accepted sockets inherit both, so that the window is bounded from the start.
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.Bytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, o.Bytes))
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := setBacklog(l, max(minBacklog, o.Backlog, o.Connections/backlogPart)); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// setBacklog bounds the connections that wait to be accepted, since each holds what its socket
// has received. The system's default is for machines with more memory.
func setBacklog(l net.Listener, n int) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	c, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = c.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}
