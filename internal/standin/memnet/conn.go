package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// backlog is the maximum number of connections waiting to be accepted.
	backlog = 128
	// windowBytes is the maximum of unread bytes in one direction.
	windowBytes = 256 << 10
)

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type listener struct {
	host    *Host
	address string
	accept  chan *conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection. It fails with net.ErrClosed once the
// listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, l.closed()
	default:
	}
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, l.closed()
	}
}

func (l *listener) closed() error {
	return &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
}

// Close closes the listener and the connections not yet accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		n := l.host.network
		n.mu.Lock()
		delete(n.listeners, l.address)
		n.mu.Unlock()
		close(l.done)
		l.drain()
	})
	return nil
}

func (l *listener) drain() {
	for {
		select {
		case c := <-l.accept:
			_ = c.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr
}

func (n *Network) pair(from *Host, l *listener) (near, far *conn) {
	there := newPipe(n, from, l.host)
	back := newPipe(n, l.host, from)
	n.mu.Lock()
	n.pipes[there], n.pipes[back] = struct{}{}, struct{}{}
	n.mu.Unlock()
	near = &conn{in: back, out: there, local: addr(from.name + ":0"), remote: addr(l.address)}
	far = &conn{in: there, out: back, local: addr(l.address), remote: addr(from.name + ":0")}
	return near, far
}

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }
func (c *conn) LocalAddr() net.Addr         { return c.local }
func (c *conn) RemoteAddr() net.Addr        { return c.remote }

// Close closes both directions. The other end reads the remaining data, then EOF.
func (c *conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error  { c.in.setReadDeadline(t); return nil }
func (c *conn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }

type chunk struct {
	data []byte
	sent time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to *Host

	mu            sync.Mutex
	chunks        []chunk
	size          int
	opened        time.Time // when the path was last unblocked
	wasOpen       bool
	writeClosed   bool // the writer has closed
	writeClosedAt time.Time
	err           error // set by a reset; both ends fail with it
	readClosed    bool  // the reader has closed
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{}
}

func newPipe(n *Network, from, to *Host) *pipe {
	return &pipe{network: n, from: from, to: to, wasOpen: true, changed: make(chan struct{})}
}

// update applies a change under the lock and wakes the reader and the writer.
func (p *pipe) update(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	p.wakeLocked()
}

func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) fail(err error)              { p.update(func() { p.err = err }) }
func (p *pipe) setReadDeadline(t time.Time) { p.update(func() { p.readDeadline = t }) }
func (p *pipe) setWriteDeadline(t time.Time) {
	p.update(func() { p.writeDeadline = t })
}

func (p *pipe) closeWrite() {
	p.update(func() {
		if !p.writeClosed {
			p.writeClosed, p.writeClosedAt = true, time.Now()
		}
	})
}

func (p *pipe) closeRead() {
	p.update(func() { p.readClosed = true })
	p.network.mu.Lock()
	delete(p.network.pipes, p)
	p.network.mu.Unlock()
}

func (p *pipe) linkChanged() {
	_, open := p.network.path(p.from, p.to)
	p.update(func() {
		if open && !p.wasOpen {
			p.opened = time.Now()
		}
		p.wasOpen = open
	})
}

// arrival returns the arrival time of data sent at the given time, or false
// while the path is blocked. Data held by a block is sent when it is lifted.
func (p *pipe) arrival(sent time.Time, latency time.Duration, open bool) (time.Time, bool) {
	if !open {
		return time.Time{}, false
	}
	if p.opened.After(sent) {
		sent = p.opened
	}
	return sent.Add(latency), true
}

func (p *pipe) read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		n, wait, changed, err := p.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		waitUntil(wait, changed)
	}
}

// tryRead reads the data that has arrived. If there is none, it returns the time
// until which to wait unless changed is closed before.
func (p *pipe) tryRead(b []byte) (n int, until time.Time, changed <-chan struct{}, err error) {
	latency, open := p.network.path(p.from, p.to)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.changed
	switch {
	case p.readClosed:
		return 0, until, changed, net.ErrClosed
	case p.err != nil:
		return 0, until, changed, p.err
	case expired(p.readDeadline, now):
		return 0, until, changed, os.ErrDeadlineExceeded
	}
	until = p.readDeadline
	if len(p.chunks) > 0 {
		at, ok := p.arrival(p.chunks[0].sent, latency, open)
		if ok && !at.After(now) {
			return p.take(b), until, changed, nil
		}
		return 0, earlier(until, at), changed, nil
	}
	if p.writeClosed {
		at, ok := p.arrival(p.writeClosedAt, latency, open)
		if ok && !at.After(now) {
			return 0, until, changed, io.EOF
		}
		return 0, earlier(until, at), changed, nil
	}
	return 0, until, changed, nil
}

func (p *pipe) take(b []byte) int {
	first := &p.chunks[0]
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.wakeLocked()
	return n
}

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, until, changed, err := p.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n == 0 {
			waitUntil(until, changed)
		}
	}
	p.network.count(p.from, p.to, written)
	return written, nil
}

func (p *pipe) tryWrite(b []byte) (n int, until time.Time, changed <-chan struct{}, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.changed
	switch {
	case p.writeClosed:
		return 0, until, changed, net.ErrClosed
	case p.err != nil:
		return 0, until, changed, p.err
	case p.readClosed:
		return 0, until, changed, io.ErrClosedPipe
	case expired(p.writeDeadline, now):
		return 0, until, changed, os.ErrDeadlineExceeded
	}
	n = min(len(b), windowBytes-p.size)
	if n <= 0 {
		return 0, p.writeDeadline, changed, nil
	}
	p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b[:n]...), sent: now})
	p.size += n
	p.wakeLocked()
	return n, until, p.changed, nil
}

// waitUntil waits until changed is closed or the given time is reached. The zero
// time means no limit.
func waitUntil(until time.Time, changed <-chan struct{}) {
	if until.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// earlier returns the earlier of two times. The zero time means no limit.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
