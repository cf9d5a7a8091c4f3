package intake

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause limit the pause after a failed accept, which doubles
	// with each one in a row. Descriptors that others hold are free again within it.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
)

// ListenerOptions are the bounds of one listener; 0 means none.
type ListenerOptions struct {
	// Name is the listener's name in events and metrics.
	Name string
	// Connections bounds the accepted connections, and AddressConnections those of one
	// address.
	Connections, AddressConnections int
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

// NewListener bounds the connections of a listener, and exports their number.
func NewListener(inner net.Listener, o ListenerOptions) *Listener {
	l := &Listener{Listener: inner, o: o, began: time.Now(), done: make(chan struct{}), conns: make(map[*Conn]struct{})}
	o.Report.watchConnections(l)
	return l
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
	c := &Conn{Conn: inner, listener: l, address: addressOf(inner.RemoteAddr().String())}
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
