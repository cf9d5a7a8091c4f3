// Package peer carries calls between daemons: JSON-RPC 2.0 over one lasting
// connection a pair. Errors say whether the other side may have handled the
// call, and a connection is bound to one incarnation of either side.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds one message in either direction.
	maxMessageBytes = 4 << 20
	// maxCalls bounds the calls that wait for one peer's answer.
	maxCalls = 256
	// maxHandled bounds the calls of one peer that are handled at once.
	maxHandled = 256
	// dialTimeout bounds the making of a connection, hello included.
	dialTimeout = 2 * time.Second
	// silenceLimit is how long a peer that owes answers may send nothing
	// before its connection is given up.
	silenceLimit = 4 * time.Second
)

// Reasons of the errors that this package makes.
const (
	ReasonUnknownPeer      verdict.Reason = "peer_unknown"
	ReasonUnreachable      verdict.Reason = "peer_unreachable"
	ReasonBusy             verdict.Reason = "peer_busy"
	ReasonResponseLost     verdict.Reason = "peer_answer_lost"
	ReasonUnknownMethod    verdict.Reason = "peer_method_unknown"
	ReasonMalformedMessage verdict.Reason = "peer_answer_unreadable"
)

// Options is what Peers is built from.
type Options struct {
	roles.Base
	// Listener accepts other daemons. Peers closes it.
	Listener net.Listener
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// Resolve returns a daemon's peer address.
	Resolve func(daemon string) (address string, ok bool)
	// Security, if set, authenticates both ends of every connection.
	Security Security
}

// Security makes the TLS configurations of connections between daemons. Each
// configuration verifies the other end; the name that a daemon gives is
// checked against its certificate as well.
type Security interface {
	// Client returns the configuration of a connection to the named daemon.
	Client(daemon string) *tls.Config
	// Server returns the configuration of accepted connections.
	Server() *tls.Config
}

// Peers is the role that carries calls between daemons.
type Peers struct {
	o        Options
	handlers map[string]roles.PeerHandler
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	dialing map[string]chan struct{}
	open    map[*link]struct{}
	stopped bool

	refusals *refusals
	// handshakes holds one element for each unverified connection.
	handshakes chan struct{}
}

var (
	_ roles.Role  = (*Peers)(nil)
	_ roles.Peers = (*Peers)(nil)
)

// New returns Peers that accept nothing before Start.
func New(o Options) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		o: o, ctx: ctx, cancel: cancel,
		refusals: newRefusals(o.Base), handshakes: make(chan struct{}, maxHandshakes),
		handlers: make(map[string]roles.PeerHandler),
		links:    make(map[string]*link),
		dialing:  make(map[string]chan struct{}),
		open:     make(map[*link]struct{}),
	}
}

// Handle registers a method. It must be called before Start.
func (p *Peers) Handle(method string, handler roles.PeerHandler) { p.handlers[method] = handler }

// Methods lists the registered methods in order.
func (p *Peers) Methods() []string { return slices.Sorted(maps.Keys(p.handlers)) }

// Start accepts connections.
func (p *Peers) Start(context.Context) error {
	if p.o.Listener == nil {
		return nil
	}
	p.o.Duties.Go("peer.accept", 0, p.accept)
	return nil
}

// Stop closes the listener and all connections and waits for what they run,
// at most until ctx ends.
func (p *Peers) Stop(ctx context.Context) error {
	p.closeAll()
	done := make(chan struct{})
	go func() { p.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop peers")
	}
}

// begin counts a call that is handled, which Stop waits for. It reports false once
// Stop has begun to wait.
func (p *Peers) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.wg.Add(1)
	return true
}

func (p *Peers) closeAll() {
	p.mu.Lock()
	p.stopped = true
	links := make([]*link, 0, len(p.open))
	for l := range p.open {
		links = append(links, l)
	}
	p.mu.Unlock()
	p.cancel()
	if p.o.Listener != nil {
		_ = p.o.Listener.Close()
	}
	for _, l := range links {
		l.close()
	}
}

func (p *Peers) accept(ctx context.Context, turn duty.Turn) error {
	stop := context.AfterFunc(ctx, p.closeAll)
	defer stop()
	for {
		turn()
		c, err := p.o.Listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		p.serve(c)
	}
}

// Call sends a request to the named daemon and waits for its answer or for
// the end of ctx. A call to this daemon is handled in place.
func (p *Peers) Call(ctx context.Context, daemon, method string, params, result any) error {
	if daemon == p.o.Self.Name {
		return p.callSelf(ctx, method, params, result)
	}
	l, err := p.link(ctx, daemon)
	if err != nil {
		return err
	}
	err = l.call(ctx, method, params, result)
	if !errors.Is(err, jsonrpc2.ErrClosed) || verdict.Of(err) != verdict.NotRun {
		return err
	}
	// The connection ended before anything was sent on it.
	l.close()
	if l, err = p.link(ctx, daemon); err != nil {
		return err
	}
	return l.call(ctx, method, params, result)
}

func (p *Peers) callSelf(ctx context.Context, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonMalformedMessage)
	}
	answer, err := p.handle(ctx, p.o.Self.Name, method, data)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	data, err = json.Marshal(answer)
	if err == nil {
		err = json.Unmarshal(data, result)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, ReasonMalformedMessage)
}

func (p *Peers) handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	h, ok := p.handlers[method]
	if !ok {
		return nil, verdict.New(verdict.NotRun, ReasonUnknownMethod, "method %q", method)
	}
	return h(ctx, from, params)
}

// Connected lists the daemons with an open connection, in order.
func (p *Peers) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}

// Dump returns the open connections.
func (p *Peers) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]LinkStatus, 0, len(p.open))
	for l := range p.open {
		out = append(out, l.status())
	}
	return out
}
