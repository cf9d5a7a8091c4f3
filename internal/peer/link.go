package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// methodHello is the method of the first call on every connection.
const methodHello = "peer.hello"

// identity is sent by both sides in the hello exchange.
type identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
}

// link is one connection to one incarnation of a peer.
type link struct {
	peers        *Peers
	rpc          *jsonrpc2.Conn
	stream       *stream
	callSlots    chan struct{}
	handlerSlots chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc
	remote       atomic.Pointer[identity]
	// helloDone is set once this end has sent or accepted a hello. A connection
	// stays bound to the daemon named in the first one.
	helloDone atomic.Bool
	// verifyName checks a daemon's name against its certificate.
	verifyName func(name string) error
}

// LinkStatus describes one connection in a state dump. Calls counts the calls
// that wait for a response of the peer, Handled the peer's calls that are being
// handled, and Queued the messages that wait to be written.
type LinkStatus struct {
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
	Calls       int    `json:"calls"`
	Handled     int    `json:"handled"`
	Queued      int    `json:"queued"`
	SentBytes   uint64 `json:"sentBytes"`
	ReadBytes   uint64 `json:"readBytes"`
}

// newLink starts the goroutines of a connection. On a connection dialed by this
// daemon, a hello from the other end is refused.
func (p *Peers) newLink(c net.Conn, dialed bool) (*link, error) {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &link{
		peers: p, ctx: ctx, cancel: cancel,
		callSlots:    make(chan struct{}, maxPendingCalls),
		handlerSlots: make(chan struct{}, maxConcurrentHandlers),
		verifyName:   nameVerifier(c),
	}
	l.helloDone.Store(dialed)
	messages := p.o.Intake.Accepted
	if dialed {
		messages = p.o.Intake.Dialed
	}
	l.stream = newStream(c, p.o.Intake, messages)
	l.stream.greeted = l.helloDone.Load
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		cancel()
		_ = c.Close()
		return nil, verdict.New(verdict.NotRun, ReasonUnreachable, "this daemon stops")
	}
	p.connections[l] = struct{}{}
	p.wg.Add(2)
	go func() { defer p.wg.Done(); l.stream.writeLoop() }()
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, l, jsonrpc2.SetLogger(discardLogger{}))
	go func() { defer p.wg.Done(); l.awaitDisconnect() }()
	if !dialed {
		p.wg.Add(1)
		go func() { defer p.wg.Done(); l.awaitHello() }()
	}
	return l, nil
}

// discardLogger drops the log lines of the JSON-RPC library; its errors are
// returned to the caller.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// awaitDisconnect waits for the connection to end and removes it from the
// connections of this daemon.
func (l *link) awaitDisconnect() {
	<-l.rpc.DisconnectNotify()
	l.cancel()
	p := l.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, l)
	if id := l.remote.Load(); id != nil && p.links[id.Name] == l {
		delete(p.links, id.Name)
	}
}

func (l *link) close() {
	l.cancel()
	_ = l.rpc.Close()
}

// link returns the connection to a daemon, and opens one if there is none.
// Concurrent calls wait for the same connection attempt.
func (p *Peers) link(ctx context.Context, daemon string) (*link, error) {
	for {
		p.mu.Lock()
		if l, ok := p.links[daemon]; ok && l.ctx.Err() == nil {
			p.mu.Unlock()
			return l, nil
		}
		attempt, inProgress := p.dialing[daemon]
		if !inProgress {
			attempt = make(chan struct{})
			p.dialing[daemon] = attempt
			p.mu.Unlock()
			return p.connect(ctx, daemon, attempt)
		}
		p.mu.Unlock()
		select {
		case <-attempt:
		case <-ctx.Done():
			return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonUnreachable)
		}
	}
}

func (p *Peers) connect(ctx context.Context, daemon string, done chan struct{}) (*link, error) {
	defer func() {
		p.mu.Lock()
		delete(p.dialing, daemon)
		p.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	address, ok := p.o.Resolve(daemon)
	if !ok {
		return nil, verdict.New(verdict.NotRun, ReasonUnknownPeer, "no address of daemon %q", daemon)
	}
	c, err := p.o.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, verdict.Wrap(errors.Wrapf(err, "dial %s", daemon), verdict.NotRun, ReasonUnreachable)
	}
	if c, err = p.secureClient(ctx, c, daemon); err != nil {
		return nil, verdict.Wrap(errors.Wrapf(err, "secure connection to %s", daemon), verdict.NotRun, ReasonUnreachable)
	}
	l, err := p.newLink(c, true)
	if err != nil {
		return nil, err
	}
	if err := l.hello(ctx, daemon); err != nil {
		l.close()
		return nil, verdict.Wrap(errors.Wrapf(err, "greet %s", daemon), verdict.NotRun, ReasonUnreachable)
	}
	return l, nil
}

// hello exchanges identities with the peer. If it fails, the call for which the
// connection was opened has not been sent.
func (l *link) hello(ctx context.Context, daemon string) error {
	var remote identity
	if err := l.rpc.Call(ctx, methodHello, l.peers.identity(), &remote); err != nil {
		return err
	}
	if remote.Name != daemon {
		return errors.Errorf("reached %q in place of %q", remote.Name, daemon)
	}
	l.bind(remote)
	return nil
}

func (p *Peers) identity() identity {
	return identity{p.o.Self.Name, p.o.Self.Incarnation, p.o.Self.Location.Region}
}

// bind binds the connection to a peer. It replaces an older connection to the
// same name, and closes the older one if it belongs to another incarnation.
func (l *link) bind(remote identity) {
	l.remote.Store(&remote)
	setKnown(l.stream.conn)
	l.stream.setMetrics(l.peers.o.Metrics, l.peers.metricName(remote.Name), remote.Region != l.peers.o.Self.Location.Region)
	if old := l.peers.register(remote.Name, l); old != nil && old.remote.Load().Incarnation != remote.Incarnation {
		old.close()
	}
}

// register makes l the connection used for calls to the named peer, unless l has
// ended, and returns the previous one.
func (p *Peers) register(name string, l *link) (old *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil
	}
	old = p.links[name]
	p.links[name] = l
	return old
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
	}
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	default:
		return verdict.New(verdict.NotRun, ReasonBusy, "%d calls wait for %s", maxPendingCalls, l.remote.Load().Name)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonMalformedMessage)
	}
	waiter, err := l.rpc.DispatchCall(ctx, method, json.RawMessage(data))
	if err != nil {
		return sendError(err)
	}
	var response json.RawMessage
	if err := waiter.Wait(ctx, &response); err != nil {
		l.closeIfUnresponsive()
		return responseError(err)
	}
	if result == nil {
		return nil
	}
	return verdict.Wrap(json.Unmarshal(response, result), verdict.MayHaveRun, ReasonMalformedMessage)
}

// closeIfUnresponsive closes a connection on which a call failed and nothing was
// read for longer than readTimeout, so that the next call opens a new one.
func (l *link) closeIfUnresponsive() {
	if time.Since(l.stream.lastRead()) > readTimeout {
		l.close()
	}
}

// Handle handles one incoming request. The library calls it on the reading
// goroutine, so handlers run on goroutines of their own.
func (l *link) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodHello {
		l.handleHello(c, r)
		return
	}
	remote := l.remote.Load()
	if remote == nil {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonUnreachable, "no hello"))
		return
	}
	select {
	case l.handlerSlots <- struct{}{}:
	default:
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonBusy, "%d calls are being handled", maxConcurrentHandlers))
		return
	}
	params := rawParams(r)
	release, ok := l.stream.holdCall(len(params) + len(r.Method))
	if !ok {
		<-l.handlerSlots
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonBusy, "messages take all of their memory"))
		return
	}
	if !l.peers.beginHandling() {
		release()
		<-l.handlerSlots
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonUnreachable, "this daemon stops"))
		return
	}
	go func() {
		defer l.peers.wg.Done()
		defer func() { <-l.handlerSlots }()
		defer release()
		response, err := l.peers.handle(l.ctx, remote.Name, r.Method, params)
		l.reply(c, r, response, err)
	}()
}

func rawParams(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return nil
	}
	return *r.Params
}

func (l *link) handleHello(c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var remote identity
	if err := json.Unmarshal(rawParams(r), &remote); err != nil || remote.Name == "" || len(remote.Name) > maxNameBytes {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonMalformedMessage, "unreadable hello"))
		return
	}
	if err := l.verifyIdentity(remote.Name); err != nil {
		l.peers.refusals.report(l.stream.conn, err)
		l.cancel()
		_ = c.Close()
		return
	}
	if !l.helloDone.CompareAndSwap(false, true) {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonMalformedMessage, "second hello"))
		return
	}
	l.bind(remote)
	l.reply(c, r, l.peers.identity(), nil)
}

// verifyIdentity checks that the other end of an accepted connection is the daemon that it names:
// by its certificate, or without TLS by its address.
func (l *link) verifyIdentity(name string) error {
	o := l.peers.o
	if o.Security == nil && o.VerifySource != nil {
		return o.VerifySource(name, l.stream.conn.RemoteAddr())
	}
	return l.verifyName(name)
}

func (l *link) reply(c *jsonrpc2.Conn, r *jsonrpc2.Request, response any, err error) {
	if err != nil {
		_ = c.ReplyWithError(l.ctx, r.ID, rpcError(err))
		return
	}
	if c.Reply(l.ctx, r.ID, response) != nil {
		_ = c.ReplyWithError(l.ctx, r.ID, rpcError(verdict.New(verdict.MayHaveRun, ReasonMalformedMessage, "answer could not be sent")))
	}
}

func (l *link) status() LinkStatus {
	s := LinkStatus{Calls: len(l.callSlots), Handled: len(l.handlerSlots), Queued: len(l.stream.queue)}
	s.SentBytes, s.ReadBytes = l.stream.sentBytes.Load(), l.stream.readBytes.Load()
	if id := l.remote.Load(); id != nil {
		s.Peer, s.Incarnation = id.Name, id.Incarnation
	}
	return s
}
