package intake

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// addressOf returns the host of a network address, or all of it if it has no port.
func addressOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// writePiece is the most that is written at once, in bytes.
const writePiece = 32 * kilobyte

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
	// group is the group of the client that has shown who it is; nil if it has not.
	group atomic.Pointer[string]
	// received counts the bytes that were read.
	received atomic.Int64
	// work is the place in a WorkQueue of the body that is being read; nil if it has none.
	work atomic.Pointer[Work]
}

func (c *Conn) mark(at *atomic.Int64) { at.Store(max(1, int64(time.Since(c.listener.began)))) }

func (c *Conn) state(now time.Duration) ConnectionState {
	s := ConnectionState{Address: c.address, Idle: now - time.Duration(c.waitsSince.Load()), Busy: c.busy.Load(), Known: c.known.Load(), Group: c.groupName()}
	if work := c.work.Load(); work != nil {
		s.Queued = work.active.Load()
	}
	// An answer that is not taken protects its connection no longer.
	if writes := c.writesSince.Load(); writes > 0 && s.Busy {
		s.Busy, s.Idle = false, now-time.Duration(writes)
	}
	return s
}

// SetKnown notes that the other end has shown who it is: a client of a group, such as a tenant,
// or a daemon if the group is empty.
func (c *Conn) SetKnown(group string) {
	if c.groupName() != group {
		c.group.Store(&group)
	}
	c.known.Store(true)
}

func (c *Conn) groupName() string {
	if group := c.group.Load(); group != nil {
		return *group
	}
	return ""
}

// SetBusy notes whether a request that has come is being handled.
func (c *Conn) SetBusy(busy bool) {
	if !busy {
		c.mark(&c.waitsSince)
	}
	c.busy.Store(busy)
}

// setWork makes reads wait for the processor as w does; nil ends that.
func (c *Conn) setWork(w *Work) { c.work.Store(w) }

// Read implements net.Conn. The processor is left to others while a read of a large body waits
// for bytes, and what has come is returned once it is this body's turn.
func (c *Conn) Read(b []byte) (int, error) {
	work := c.work.Load()
	// net/http looks for the end of a connection by reads of one byte, on a goroutine of
	// its own, while a handler works on the body.
	if len(b) == 1 {
		work = nil
	}
	if work != nil {
		work.Release()
	}
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if n > 0 && c.listener.o.LongLived {
		c.mark(&c.waitsSince)
	}
	if work != nil && n > 0 {
		work.Acquire()
		if refused := work.Refused(); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Write implements net.Conn. A long answer is written in pieces, each of which has to be taken
// within the time of a write.
func (c *Conn) Write(b []byte) (int, error) {
	defer c.writesSince.Store(0)
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		n, err := c.writePiece(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) writePiece(piece []byte) (int, error) {
	c.mark(&c.writesSince)
	if timeout := c.listener.o.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(piece)
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

// Bounded returns the bounded connection that c is, or that TLS on c runs over.
func Bounded(c net.Conn) (*Conn, bool) {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	bounded, ok := c.(*Conn)
	return bounded, ok
}

type connKey struct{}

// connOf returns the bounded connection of a request, or nil.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// SetKnown notes that the client of a request has shown that it belongs to a group.
func SetKnown(r *http.Request, group string) {
	if c := connOf(r); c != nil {
		c.SetKnown(group)
	}
}

// setBusy notes whether the request has come and is being handled.
func setBusy(r *http.Request, busy bool) {
	if c := connOf(r); c != nil {
		c.SetBusy(busy)
	}
}
