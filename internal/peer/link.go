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

// methodHello is the first call on every connection.
const methodHello = "peer.hello"

// identity is what both sides say of themselves first.
type identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
}

// link is one connection to one incarnation of a peer.
type link struct {
	peers   *Peers
	rpc     *jsonrpc2.Conn
	stream  *stream
	calls   chan struct{}
	handled chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	remote  atomic.Pointer[identity]
	// greeted is set once this end has sent a hello or taken one. A connection
	// keeps the daemon that it began with.
	greeted atomic.Bool
	// verify checks a daemon's name against its certificate.
	verify func(name string) error
}

// LinkStatus is one connection in a state dump.
type LinkStatus struct {
	Peer        string `json:"peer"`
	Incarnation string `json:"incarnation"`
	Calls       int    `json:"calls"`
	Handled     int    `json:"handled"`
	Queued      int    `json:"queued"`
	SentBytes   uint64 `json:"sentBytes"`
	ReadBytes   uint64 `json:"readBytes"`
}

// newLink starts a connection. A dialed one takes no hello from the other end.
func (p *Peers) newLink(c net.Conn, dialed bool) (*link, error) {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &link{
		peers: p, ctx: ctx, cancel: cancel,
		calls:   make(chan struct{}, maxCalls),
		handled: make(chan struct{}, maxHandled),
		verify:  verifierOf(c),
	}
	l.greeted.Store(dialed)
	l.stream = newStream(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		cancel()
		_ = c.Close()
		return nil, verdict.New(verdict.NotRun, ReasonUnreachable, "this daemon stops")
	}
	p.open[l] = struct{}{}
	p.wg.Add(2)
	go func() { defer p.wg.Done(); l.stream.writeLoop() }()
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, l, jsonrpc2.SetLogger(silent{}))
	go func() { defer p.wg.Done(); l.reap() }()
	return l, nil
}

// silent drops what the library logs; errors reach the caller as values.
type silent struct{}

func (silent) Printf(string, ...any) {}

// reap forgets the connection once it has ended.
func (l *link) reap() {
	<-l.rpc.DisconnectNotify()
	l.cancel()
	p := l.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, l)
	if id := l.remote.Load(); id != nil && p.links[id.Name] == l {
		delete(p.links, id.Name)
	}
}

func (l *link) close() {
	l.cancel()
	_ = l.rpc.Close()
}

// link returns the connection to a daemon and makes one if there is none.
// Calls that come meanwhile wait for the same attempt.
func (p *Peers) link(ctx context.Context, daemon string) (*link, error) {
	for {
		p.mu.Lock()
		if l, ok := p.links[daemon]; ok && l.ctx.Err() == nil {
			p.mu.Unlock()
			return l, nil
		}
		wait, busy := p.dialing[daemon]
		if !busy {
			wait = make(chan struct{})
			p.dialing[daemon] = wait
			p.mu.Unlock()
			return p.connect(ctx, daemon, wait)
		}
		p.mu.Unlock()
		select {
		case <-wait:
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

// hello exchanges identities; the call that waits for it has not been sent.
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

// bind ties the connection to a peer. A newer connection replaces an older
// one, which ends by itself once it is unused.
func (l *link) bind(remote identity) {
	l.remote.Store(&remote)
	l.stream.meter(l.peers.o.Metrics, remote, remote.Region != l.peers.o.Self.Location.Region)
	if old := l.peers.register(remote.Name, l); old != nil && old.remote.Load().Incarnation != remote.Incarnation {
		old.close()
	}
}

// register makes l the link to a peer, unless it has ended, and returns the
// one that was.
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
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	default:
		return verdict.New(verdict.NotRun, ReasonBusy, "%d calls wait for %s", maxCalls, l.remote.Load().Name)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonMalformedMessage)
	}
	wait, err := l.rpc.DispatchCall(ctx, method, json.RawMessage(data))
	if err != nil {
		return notSent(err)
	}
	var answer json.RawMessage
	if err := wait.Wait(ctx, &answer); err != nil {
		l.giveUpIfSilent()
		return answerError(err)
	}
	if result == nil {
		return nil
	}
	return verdict.Wrap(json.Unmarshal(answer, result), verdict.MayHaveRun, ReasonMalformedMessage)
}

// giveUpIfSilent closes a connection on which a call failed and nothing came
// for long, so that the next call makes a new one.
func (l *link) giveUpIfSilent() {
	if time.Since(l.stream.lastRead()) > silenceLimit {
		l.close()
	}
}

// Handle takes one request off the connection. The library calls it in the
// reading goroutine, so it hands long work over.
func (l *link) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method == methodHello {
		l.answerHello(c, r)
		return
	}
	remote := l.remote.Load()
	if remote == nil {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonUnreachable, "no hello"))
		return
	}
	select {
	case l.handled <- struct{}{}:
	default:
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonBusy, "%d calls are being handled", maxHandled))
		return
	}
	if !l.peers.begin() {
		<-l.handled
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonUnreachable, "this daemon stops"))
		return
	}
	go func() {
		defer l.peers.wg.Done()
		defer func() { <-l.handled }()
		answer, err := l.peers.handle(l.ctx, remote.Name, r.Method, rawParams(r))
		l.reply(c, r, answer, err)
	}()
}

func rawParams(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return nil
	}
	return *r.Params
}

func (l *link) answerHello(c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var remote identity
	if err := json.Unmarshal(rawParams(r), &remote); err != nil || remote.Name == "" {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonMalformedMessage, "unreadable hello"))
		return
	}
	if err := l.verify(remote.Name); err != nil {
		l.peers.refusals.add(l.stream.conn, err)
		l.cancel()
		_ = c.Close()
		return
	}
	if !l.greeted.CompareAndSwap(false, true) {
		l.reply(c, r, nil, verdict.New(verdict.NotRun, ReasonMalformedMessage, "second hello"))
		return
	}
	l.bind(remote)
	l.reply(c, r, l.peers.identity(), nil)
}

func (l *link) reply(c *jsonrpc2.Conn, r *jsonrpc2.Request, answer any, err error) {
	if err != nil {
		_ = c.ReplyWithError(l.ctx, r.ID, wireError(err))
		return
	}
	if c.Reply(l.ctx, r.ID, answer) != nil {
		_ = c.ReplyWithError(l.ctx, r.ID, wireError(verdict.New(verdict.MayHaveRun, ReasonMalformedMessage, "answer could not be sent")))
	}
}

func (l *link) status() LinkStatus {
	s := LinkStatus{Calls: len(l.calls), Handled: len(l.handled), Queued: len(l.stream.queue)}
	s.SentBytes, s.ReadBytes = l.stream.sent.Load(), l.stream.read.Load()
	if id := l.remote.Load(); id != nil {
		s.Peer, s.Incarnation = id.Name, id.Incarnation
	}
	return s
}
