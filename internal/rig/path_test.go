package rig

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// direction is one of the two directions of a path.
type direction int

// A path leads from a daemon to a server, to the store or to another daemon.
const (
	forth direction = iota
	back
)

// path is a path between two machines. A cut path swallows bytes without a reset.
type path struct{ cut [2]atomic.Bool }

// set cuts or heals both directions, or only the one given.
func (p *path) set(cut bool, directions ...direction) {
	if len(directions) == 0 {
		directions = []direction{forth, back}
	}
	for _, d := range directions {
		p.cut[d].Store(cut)
	}
}

// flow is one direction of one connection over a path. Once it has lost bytes it stays
// silent, as the bytes after them are of no use.
type flow struct {
	path      *path
	direction direction
	lost      atomic.Bool
}

// swallows reports whether bytes that are sent now are lost.
func (f *flow) swallows() bool {
	if f.path.cut[f.direction].Load() {
		f.lost.Store(true)
	}
	return f.lost.Load()
}

// cutListener accepts connections over a path.
type cutListener struct {
	net.Listener
	path *path
}

// Accept implements net.Listener.
func (l cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, in: flow{path: l.path, direction: forth}, out: flow{path: l.path, direction: back}}, nil
}

type cutConn struct {
	net.Conn
	in, out flow
}

// Read implements net.Conn. It goes on reading while bytes are lost.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 || !c.in.swallows() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn. The writer does not notice that bytes are lost.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.out.swallows() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// serveOver serves a handler at an address over a path until the test ends.
func serveOver(t testing.TB, address string, p *path, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(cutListener{l, p}) }()
	t.Cleanup(func() { _ = s.Close() })
}

const (
	// helloTimeout limits the wait for the name of a daemon that dials another.
	helloTimeout = 5 * time.Second
	// healPoll is the time between two looks whether a cut path has healed.
	healPoll = 50 * time.Millisecond
)

// peerProxy stands in front of one daemon. It learns from the first message of each
// connection which daemon has dialled, and carries the connection over the path between
// the two.
type peerProxy struct {
	net    *network
	daemon int
	// paths holds the paths from each other daemon to this one and back.
	paths []*path
	ctx   context.Context
}

// serveProxy serves the proxy in front of a daemon until the test ends.
func serveProxy(t testing.TB, n *network, daemon int, paths []*path) {
	t.Helper()
	l, err := net.Listen("tcp", n.name(daemon))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	p := &peerProxy{net: n, daemon: daemon, paths: paths, ctx: ctx}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
}

// carry carries one connection until an end closes it.
func (p *peerProxy) carry(dialer net.Conn) {
	defer func() { _ = dialer.Close() }()
	hello, from := p.readHello(dialer)
	if from < 0 {
		return
	}
	path, way := p.paths[from], forth
	if from > p.daemon {
		way = back
	}
	there := &flow{path: path, direction: way}
	if there.swallows() {
		_, _ = io.Copy(io.Discard, dialer)
		return
	}
	// Daemons take a connection only from the host of the daemon that it names.
	toListener := net.Dialer{Timeout: helloTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.net.ip(commonView, firstDaemonHost+from))}}
	listener, err := toListener.Dial("tcp", p.net.listen(p.daemon))
	if err != nil {
		return
	}
	defer func() { _ = listener.Close() }()
	stop := context.AfterFunc(p.ctx, func() { _, _ = dialer.Close(), listener.Close() })
	defer stop()
	var both sync.WaitGroup
	both.Go(func() {
		p.pump(listener, io.MultiReader(bytes.NewReader(hello), dialer), there, p.net.between(from, p.daemon))
		_ = dialer.Close()
	})
	both.Go(func() {
		p.pump(dialer, listener, &flow{path: path, direction: 1 - way}, p.net.between(p.daemon, from))
		_ = listener.Close()
	})
	both.Wait()
}

// readHello reads until the name of the dialling daemon has been read. It returns -1 if
// there is none.
func (p *peerProxy) readHello(c net.Conn) (read []byte, daemon int) {
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	buffer := make([]byte, 4096)
	for len(read) < len(buffer) {
		n, err := c.Read(buffer)
		read = append(read, buffer[:n]...)
		for i := range p.net.daemons {
			if bytes.Contains(read, []byte(p.net.listen(i))) {
				_ = c.SetReadDeadline(time.Time{})
				return read, i
			}
		}
		if err != nil {
			break
		}
	}
	return nil, -1
}

// pump carries one direction of a connection. The end of the connection is noticed on the
// other side only once the path has healed.
func (p *peerProxy) pump(to io.WriteCloser, from io.Reader, f *flow, t *translation) {
	var held []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !f.swallows() {
			ready, rest := t.split(append(held, buffer[:n]...))
			held = bytes.Clone(rest)
			if _, failed := to.Write(t.apply(ready)); failed != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	for f.path.cut[f.direction].Load() && p.ctx.Err() == nil {
		time.Sleep(healPoll)
	}
	_ = to.Close()
}

// A path that is cut one way must swallow bytes of that way alone, without a reset, and
// the connection that lost them must stay silent when the path has healed.
func TestPath_SwallowsBytesOneWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &path{}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go func() { _ = s.Serve(cutListener{l, p}) }()
	defer func() { _ = s.Close() }()
	client := &http.Client{Timeout: 300 * time.Millisecond}
	get := func() error {
		r, err := client.Get("http://" + l.Addr().String())
		if err == nil {
			_ = r.Body.Close()
		}
		return err
	}
	for _, d := range []direction{forth, back} {
		p.set(true, d)
		var timeout net.Error
		if err := get(); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("direction %d is cut: %v, want a timeout", d, err)
		}
		p.set(false, d)
	}
	client.Timeout = 10 * time.Second
	if err := get(); err != nil {
		t.Errorf("a new connection after both ways have healed: %v", err)
	}
}
