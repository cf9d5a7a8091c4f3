package intake

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
)

// reportInterval is the least time between two events of one kind, so that untrusted
// clients cannot flood the log.
const reportInterval = time.Second

// Reporter counts what was refused, and logs it at a limited rate. A nil *Reporter does
// nothing.
type Reporter struct {
	events *events.Logger
	set    *metrics.Set

	mu         sync.Mutex
	lastLogged map[int]time.Time
	unreported map[int]int
	budgets    map[string]*Budget
	listeners  map[string]*Listener
	refused    *frequentClients
}

// NewReporter returns a Reporter that writes to log and set.
func NewReporter(log *events.Logger, set *metrics.Set) *Reporter {
	return &Reporter{
		events: log, set: set, lastLogged: make(map[int]time.Time), unreported: make(map[int]int),
		budgets: make(map[string]*Budget), listeners: make(map[string]*Listener), refused: newFrequentClients(countedRefused),
	}
}

// Watch exports what a budget holds, under the name of what it bounds.
func (r *Reporter) Watch(name string, b *Budget) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.budgets[name] = b
	r.mu.Unlock()
	r.set.GetOrCreateGauge(fmt.Sprintf("currantwinch_intake_bytes{budget=%q}", name), func() float64 { return float64(b.Usage().Held) })
	r.set.GetOrCreateGauge(fmt.Sprintf("currantwinch_intake_limit_bytes{budget=%q}", name), func() float64 { return float64(b.Usage().Limit) })
}

// watchConnections exports the number of a listener's connections.
func (r *Reporter) watchConnections(l *Listener) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.listeners[l.o.Name] = l
	r.mu.Unlock()
	r.set.GetOrCreateGauge(fmt.Sprintf("currantwinch_intake_connections{listener=%q}", l.o.Name), func() float64 { return float64(l.Open()) })
	r.set.GetOrCreateGauge(fmt.Sprintf("currantwinch_intake_limit_connections{listener=%q}", l.o.Name), func() float64 { return float64(l.o.Connections) })
}

// Limits logs the limits in force.
func (r *Reporter) Limits(l Limits) {
	r.events.Log(events.IntakeLimits, "bodyBytes", l.BodyBytes, "answerBytes", l.AnswerBytes, "operatorBytes", l.OperatorBytes, "messageBytes", l.MessageBytes, "connections", l.Connections, "addressConnections", l.AddressConnections,
		"peerConnections", l.PeerConnections, "operatorConnections", l.OperatorConnections, "headerBytes", l.HeaderBytes, "stallMS", l.StallTimeout.Milliseconds(),
		"bodyMS", l.BodyTimeout.Milliseconds(), "headerMS", l.HeaderTimeout.Milliseconds(), "idleMS", l.IdleTimeout.Milliseconds(), "socketBytes", l.SocketBytes)
}

// requestRefused reports a call that was refused while its body was read.
func (r *Reporter) requestRefused(call *http.Request, client Client, err error, received int, age time.Duration) {
	var refusal *Refusal
	if r == nil || !errors.As(err, &refusal) {
		return
	}
	r.mu.Lock()
	r.refused.add(refusedClient{refusal.Reason, client})
	r.mu.Unlock()
	r.set.GetOrCreateCounter(fmt.Sprintf("currantwinch_intake_refused_total{reason=%q}", string(refusal.Reason))).Inc()
	r.log(events.RequestGaveWay, "remote", call.RemoteAddr, "group", client.Group, "reason", string(refusal.Reason), "received", received, "declared", call.ContentLength, "age", age.Milliseconds())
}

// MessageRefused reports a connection between daemons that was closed because of the
// message that it carried.
func (r *Reporter) MessageRefused(remote string, err error) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter("currantwinch_intake_messages_refused_total").Inc()
	r.log(events.MessageGaveWay, "remote", remote, "error", err.Error())
}

func (r *Reporter) connectionGaveWay(listener string, c *Conn, open int) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(fmt.Sprintf("currantwinch_intake_connections_closed_total{listener=%q}", listener)).Inc()
	idle := c.state(time.Since(c.listener.began)).Idle
	r.log(events.ConnectionGaveWay, "listener", listener, "remote", c.RemoteAddr().String(), "idle", idle.Milliseconds(), "open", open)
}

func (r *Reporter) acceptFailed(listener string, err error) {
	if r == nil {
		return
	}
	r.set.GetOrCreateCounter(fmt.Sprintf("currantwinch_intake_accept_errors_total{listener=%q}", listener)).Inc()
	r.log(events.AcceptFailed, "listener", listener, "error", err.Error())
}

// log logs an event unless one of the same kind was logged within reportInterval. The
// next line has the number of those that were left out.
func (r *Reporter) log(e events.Event, attributes ...any) {
	r.mu.Lock()
	now := time.Now()
	if last, ok := r.lastLogged[e.Number]; ok && now.Sub(last) < reportInterval {
		r.unreported[e.Number]++
		r.mu.Unlock()
		return
	}
	left := r.unreported[e.Number]
	r.lastLogged[e.Number], r.unreported[e.Number] = now, 0
	r.mu.Unlock()
	r.events.Log(e, append(attributes, "unreported", left)...)
}
