// Package peer implements calls between daemons: JSON-RPC 2.0 over one
// long-lived connection per pair of daemons. Errors tell whether the peer may
// have handled the call. A connection is bound to one incarnation of each side.
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
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes limits the size of one message in either direction.
	maxMessageBytes = 4 << 20
	// maxMethodInError limits what an error repeats of a method's name in bytes, since the
	// other end chooses how long that is.
	maxMethodInError = 64
	// maxPendingCalls limits the calls that wait for responses of one connection.
	maxPendingCalls = 256
	// maxConcurrentHandlers limits the calls of one connection handled concurrently.
	maxConcurrentHandlers = 256
	// dialTimeout limits the opening of a connection, including TLS and hello.
	dialTimeout = 2 * time.Second
	// readTimeout: after a failed call, a connection is closed if nothing was
	// read from it for longer than this.
	readTimeout = 4 * time.Second
)

// Reasons of the errors returned by this package.
const (
	ReasonUnknownPeer      verdict.Reason = "peer_unknown"
	ReasonUnreachable      verdict.Reason = "peer_unreachable"
	ReasonBusy             verdict.Reason = "peer_busy"
	ReasonResponseLost     verdict.Reason = "peer_answer_lost"
	ReasonUnknownMethod    verdict.Reason = "peer_method_unknown"
	ReasonMalformedMessage verdict.Reason = "peer_answer_unreadable"
)

// Options configures Peers.
type Options struct {
	roles.Base
	// Listener accepts connections of other daemons. Peers closes it.
	Listener net.Listener
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// Resolve returns a daemon's peer address.
	Resolve func(daemon string) (address string, ok bool)
	// VerifySource, if not nil, checks that a daemon of the given name may call from the
	// address of the other end of a connection. It is not called if Security is set, which
	// verifies names by certificates.
	VerifySource func(daemon string, remote net.Addr) error
	// Security, if not nil, authenticates both ends of every connection by TLS.
	Security Security
	// Intake bounds what messages take; nil takes the bounds of a VM whose memory is not
	// known.
	Intake *Intake
}

// Security provides the TLS configurations of connections between daemons. Each
// configuration must verify the other end. Peers also checks the name in a
// daemon's hello against its certificate.
type Security interface {
	// Client returns the configuration for a connection to the named daemon.
	Client(daemon string) *tls.Config
	// Server returns the configuration for accepted connections.
	Server() *tls.Config
}

// Peers is the role that sends calls to other daemons and handles theirs.
type Peers struct {
	o        Options
	handlers map[string]roles.PeerHandler
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu          sync.Mutex
	links       map[string]*link
	dialing     map[string]chan struct{}
	connections map[*link]struct{}
	// named holds the daemons that have metrics of their own.
	named   map[string]struct{}
	stopped bool

	refusals *refusals
	// handshakes is a semaphore of the TLS handshakes of accepted connections.
	handshakes chan struct{}
}

var (
	_ roles.Role  = (*Peers)(nil)
	_ roles.Peers = (*Peers)(nil)
)

// New returns Peers that accept no connections before Start.
func New(o Options) *Peers {
	if o.Intake == nil {
		o.Intake = newIntake(intake.LimitsFor(intake.VM{}, intake.Profile{}, intake.Limits{}), nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		o: o, ctx: ctx, cancel: cancel,
		refusals: newRefusals(o.Base), handshakes: make(chan struct{}, maxHandshakes),
		handlers:    make(map[string]roles.PeerHandler),
		links:       make(map[string]*link),
		dialing:     make(map[string]chan struct{}),
		connections: make(map[*link]struct{}),
		named:       make(map[string]struct{}),
	}
}

// Handle registers the handler of a method. It must be called before Start.
func (p *Peers) Handle(method string, handler roles.PeerHandler) { p.handlers[method] = handler }

// Methods returns the names of the registered methods, sorted.
func (p *Peers) Methods() []string { return slices.Sorted(maps.Keys(p.handlers)) }

// Start begins to accept connections.
func (p *Peers) Start(context.Context) error {
	if p.o.Listener == nil {
		return nil
	}
	p.o.Duties.Go("peer.accept", 0, p.accept)
	return nil
}

// Stop closes the listener and all connections, and waits until their goroutines
// have ended or ctx ends.
func (p *Peers) Stop(ctx context.Context) error {
	p.closeAll()
	done := make(chan struct{})
	go func() { p.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for peer connections to end")
	}
}

// beginHandling registers a running handler that Stop waits for. It returns false
// once Stop has begun.
func (p *Peers) beginHandling() bool {
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
	links := make([]*link, 0, len(p.connections))
	for l := range p.connections {
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

func (p *Peers) accept(ctx context.Context, progress duty.Heartbeat) error {
	stop := context.AfterFunc(ctx, p.closeAll)
	defer stop()
	for {
		progress()
		c, err := p.o.Listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		p.handleConn(c)
	}
}

// Call sends a request to the named daemon and waits for the response or for the
// end of ctx. A call to this daemon itself runs the handler directly.
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
	// The connection ended before the request was sent, so a retry is safe.
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
	response, err := p.handle(ctx, p.o.Self.Name, method, data)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	data, err = json.Marshal(response)
	if err == nil {
		err = json.Unmarshal(data, result)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, ReasonMalformedMessage)
}

func (p *Peers) handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	h, ok := p.handlers[method]
	if !ok {
		return nil, verdict.New(verdict.NotRun, ReasonUnknownMethod, "method %q", method[:min(len(method), maxMethodInError)])
	}
	return h(ctx, from, params)
}

// Connected returns the names of the daemons with an open connection, sorted.
func (p *Peers) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}

// Dump returns a []LinkStatus of the open connections.
func (p *Peers) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]LinkStatus, 0, len(p.connections))
	for l := range p.connections {
		out = append(out, l.status())
	}
	return out
}
