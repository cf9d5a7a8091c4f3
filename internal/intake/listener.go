package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause limit the pause after a failed accept, which doubles
	// with each one in a row. Descriptors that others hold are free again within it.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
	// backlogPart is the part of a listener's connections, an eighth, that may wait to be
	// accepted beside them.
	backlogPart = 8
	minBacklog  = 16
)

// ListenerOptions are the bounds of one listener; 0 means none.
type ListenerOptions struct {
	// Name is the listener's name in events and metrics.
	Name string
	// Connections bounds the accepted connections, and AddressConnections those of one
	// address.
	Connections, AddressConnections int
	// Backlog is the least number of connections that may wait to be accepted.
	Backlog int
	// SocketBytes is the size of a socket's receive and send buffers, which bounds what it
	// has received and nobody has read.
	SocketBytes int
	// WriteTimeout limits each write.
	WriteTimeout time.Duration
	// LongLived is set where connections are kept open for any number of messages: what
	// counts is when the last byte passed. Elsewhere it is when the connection was opened,
	// or its last request answered.
	LongLived bool
	Report    *Reporter
}

// Listener accepts connections within bounds. A connection that has been idle for long
// gives way to a new one.
type Listener struct {
	net.Listener
	o     ListenerOptions
	began time.Time
	done  chan struct{}
	once  sync.Once

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// order and states are used by yielding alone.
	order  []*Conn
	states []ConnectionState
}

// Listen opens a listener at a TCP address.
func Listen(address string, o ListenerOptions) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if o.SocketBytes <= 0 {
			return nil
		}
		var failed error
		err := c.Control(func(fd uintptr) {
			// Accepted sockets inherit both, so that the window is bounded from the start.
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.SocketBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, o.SocketBytes))
		})
		return errors.Join(err, failed)
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := setBacklog(inner, max(minBacklog, o.Backlog, o.Connections/backlogPart)); err != nil {
		_ = inner.Close()
		return nil, err
	}
	return NewListener(inner, o), nil
}

// setBacklog bounds the connections that wait to be accepted. Each holds what its socket
// has received: 2,000 held 90 MB while the processor was busy, with the system's backlog
// of 4,096.
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

// NewListener bounds the connections of a listener.
func NewListener(inner net.Listener, o ListenerOptions) *Listener {
	return &Listener{Listener: inner, o: o, began: time.Now(), done: make(chan struct{}), conns: make(map[*Conn]struct{})}
}

// Accept waits for a connection that the bounds admit. Errors other than that of a closed
// listener are reported, and it continues after a pause: they concern one connection, or a
// temporary shortage.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		inner, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.o.Report.acceptFailed(l.o.Name, err)
			select {
			case <-l.done:
				return nil, net.ErrClosed
			case <-time.After(pause):
			}
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if c := l.admit(inner); c != nil {
			return c, nil
		}
	}
}

// Close closes the listener; accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Open returns the number of accepted connections that are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// admit returns the bounded connection, or nil if the bounds do not admit it.
func (l *Listener) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, address: hostOf(inner)}
	c.mark(&c.waitsSince)
	l.mu.Lock()
	victim, admitted := l.yielding(c.address)
	if victim != nil {
		delete(l.conns, victim)
	}
	if admitted {
		l.conns[c] = struct{}{}
	}
	open := len(l.conns)
	l.mu.Unlock()
	if !admitted {
		victim = c
	}
	if victim != nil {
		l.o.Report.connectionGaveWay(l.o.Name, victim, open)
		_ = victim.Conn.Close()
	}
	if !admitted {
		return nil
	}
	return c
}

// yielding returns the connection that gives way to one of the address, and whether that
// one is admitted. The caller holds l.mu.
func (l *Listener) yielding(address string) (victim *Conn, admitted bool) {
	limit, perAddress := l.o.Connections, l.o.AddressConnections
	if limit <= 0 {
		return nil, true
	}
	if perAddress <= 0 {
		perAddress = limit
	}
	if len(l.conns) < min(limit, perAddress) {
		return nil, true
	}
	l.order, l.states = l.order[:0], l.states[:0]
	defer func() { clear(l.order) }()
	now := time.Since(l.began)
	for c := range l.conns {
		l.order = append(l.order, c)
		l.states = append(l.states, c.state(now))
	}
	index, ok := Yielding(l.states, address, limit, perAddress)
	if index < 0 {
		return nil, ok
	}
	return l.order[index], true
}

func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// Conn is a connection that a Listener accepted.
type Conn struct {
	net.Conn
	listener *Listener
	address  string
	// waitsSince is since when the next request or message is awaited, and writesSince
	// since when a write goes on, both since the listener began; writesSince is 0 if none
	// goes on.
	waitsSince, writesSince atomic.Int64
	busy, known             atomic.Bool
}

func (c *Conn) mark(at *atomic.Int64) { at.Store(max(1, int64(time.Since(c.listener.began)))) }

func (c *Conn) state(now time.Duration) ConnectionState {
	s := ConnectionState{Address: c.address, Idle: now - time.Duration(c.waitsSince.Load()), Busy: c.busy.Load(), Known: c.known.Load()}
	// An answer that is not taken protects its connection no longer.
	if writes := c.writesSince.Load(); writes > 0 && s.Busy {
		s.Busy, s.Idle = false, now-time.Duration(writes)
	}
	return s
}

// SetKnown notes that the other end has said who it is.
func (c *Conn) SetKnown() { c.known.Store(true) }

// SetBusy notes whether a request that has come is being handled.
func (c *Conn) SetBusy(busy bool) {
	if !busy {
		c.mark(&c.waitsSince)
	}
	c.busy.Store(busy)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.o.LongLived {
		c.mark(&c.waitsSince)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if timeout := c.listener.o.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	c.mark(&c.writesSince)
	defer c.writesSince.Store(0)
	return c.Conn.Write(b)
}

// CloseWrite lets net/http end an answer before the connection is closed.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// Bind makes the connections of the listener known to the handlers of a server, whose
// ConnContext it sets.
func Bind(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// setBusy notes whether the request of ctx has come and is being handled.
func setBusy(ctx context.Context, busy bool) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.SetBusy(busy)
	}
}
