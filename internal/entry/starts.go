package entry

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const methodStarts = "order.starts"

const (
	// maxStragglerWait is how long a daemon waits, after the first answer to the
	// starts of a call, for the other answers before it replies.
	maxStragglerWait = 150 * time.Millisecond
	// maxForwardedStarts bounds the starts that a daemon sends for others at
	// once.
	maxForwardedStarts = 256
	// maxForwarders is the number of daemons that forward one daemon's starts.
	// Each keeps connections of its own to the servers, which accept a limited
	// number.
	maxForwarders = 4
	// startReplyMargin is left from the sender's time-out for the reply.
	startReplyMargin = 50 * time.Millisecond
)

// reasonForwarderBusy means that a daemon sends too many starts for others.
const reasonForwarderBusy verdict.Reason = "forwarder_busy"

// startsCall asks another daemon to send starts of one submission. The text that
// they share is sent once, which is most of what a start consists of.
type startsCall struct {
	Submission string         `json:"id"`
	Spec       string         `json:"spec"`
	Epoch      uint64         `json:"epoch"`
	TimeoutMS  int64          `json:"timeoutMS"`
	Starts     []startMessage `json:"starts"`
}

// startMessage is one start of a startsCall.
type startMessage struct {
	Server     string `json:"s"`
	Address    string `json:"a"`
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"p,omitempty"`
	Index      int    `json:"i,omitempty"`
	Run        int    `json:"r"`
	DeadlineMS int64  `json:"d"`
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"t,omitempty"`
}

// startsReply holds the outcomes of a startsCall in its order.
type startsReply struct {
	Outcomes []startOutcome `json:"outcomes"`
}

// startOutcome is the outcome of one start. Its zero value is a start without an
// answer.
type startOutcome struct {
	Answered bool            `json:"y,omitempty"`
	ClockMS  int64           `json:"c,omitempty"`
	TookMS   int64           `json:"t,omitempty"`
	Verdict  verdict.Verdict `json:"v,omitempty"`
	Reason   verdict.Reason  `json:"r,omitempty"`
	Error    string          `json:"e,omitempty"`
}

// StartForwarder sends starts through other daemons. It implements
// scheduler.StartForwarder.
type StartForwarder struct {
	self   string
	direct scheduler.ServerClient
	peers  Daemons
	now    func() time.Time

	mu       sync.Mutex
	backoffs backoffs
	// forwarding counts the starts that this daemon sends for others.
	forwarding int
}

// NewStartForwarder returns a StartForwarder and registers its method with the
// peers.
func NewStartForwarder(self string, direct scheduler.ServerClient, peers Daemons, now func() time.Time) *StartForwarder {
	f := &StartForwarder{self: self, direct: direct, peers: peers, now: now, backoffs: make(backoffs)}
	peers.Handle(methodStarts, roles.TypedHandler(reasonBadCall, f.handle))
	return f
}

// Choose returns the daemon that forwards a submission's starts. It returns false
// if there is no other daemon.
func (f *StartForwarder) Choose(submission string) (daemon string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	names := slices.DeleteFunc(f.peers.Connected(), func(name string) bool { return name == f.self || f.backoffs.active(name, now) })
	if len(names) == 0 {
		return "", false
	}
	// Each daemon ranks the others differently, so that several owners use
	// different ones.
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(hashOf(f.self+x), hashOf(f.self+y)), cmp.Compare(x, y))
	})
	names = names[:min(maxForwarders, len(names))]
	return names[hashOf(submission)%uint32(len(names))], true
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// Forward sends starts of one submission through another daemon. The context's
// deadline bounds the wait.
func (f *StartForwarder) Forward(ctx context.Context, daemon string, starts []scheduler.StartTask) []scheduler.StartResult {
	began := f.now()
	var reply startsReply
	err := f.peers.Call(ctx, daemon, methodStarts, f.callOf(ctx, starts), &reply)
	f.mu.Lock()
	f.backoffs.record(daemon, f.now(), err)
	f.mu.Unlock()
	if err == nil && len(reply.Outcomes) != len(starts) {
		err = verdict.New(verdict.MayHaveRun, scheduler.ReasonNoAnswer, "%d outcomes of %d starts", len(reply.Outcomes), len(starts))
	}
	if err != nil {
		return failedStarts(len(starts), err)
	}
	return startResults(reply.Outcomes, f.now().Sub(began))
}

func (f *StartForwarder) callOf(ctx context.Context, starts []scheduler.StartTask) startsCall {
	first := starts[0].Order
	c := startsCall{Submission: first.Task.Submission, Spec: first.Spec, Epoch: first.Epoch}
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMS = max(deadline.Sub(f.now())-startReplyMargin, startReplyMargin).Milliseconds()
	}
	for _, a := range starts {
		c.Starts = append(c.Starts, startMessage{
			Server: a.To.ID, Address: a.To.Address, Occurrence: a.Order.Task.Occurrence, Step: a.Order.Task.Step, Index: a.Order.Task.Index,
			Run: a.Order.Run, DeadlineMS: a.Order.LeaseDeadlineMS, Checkpoint: a.Order.Checkpoint, Ticket: a.Order.Ticket,
		})
	}
	return c
}

// failedStarts returns the results of starts whose call failed.
func failedStarts(n int, err error) []scheduler.StartResult {
	out := make([]scheduler.StartResult, n)
	for i := range out {
		out[i] = scheduler.StartResult{Err: verdict.Wrap(err, verdict.Of(err), scheduler.ReasonNoAnswer)}
	}
	return out
}

// startResults converts outcomes. The time of each start is its own plus what the
// call took beyond the slowest of them, since they share the call.
func startResults(outcomes []startOutcome, took time.Duration) []scheduler.StartResult {
	var slowest time.Duration
	for _, o := range outcomes {
		slowest = max(slowest, time.Duration(o.TookMS)*time.Millisecond)
	}
	hop := max(took-slowest, 0)
	out := make([]scheduler.StartResult, len(outcomes))
	for i, o := range outcomes {
		out[i] = scheduler.StartResult{ClockMS: o.ClockMS, Took: hop + time.Duration(o.TookMS)*time.Millisecond, Err: o.err()}
	}
	return out
}

func (o startOutcome) err() error {
	if !o.Answered {
		return verdict.New(verdict.MayHaveRun, scheduler.ReasonNoAnswer, "no answer to a forwarded start: %s", o.Error)
	}
	if o.Reason == "" {
		return nil
	}
	return verdict.New(o.Verdict, o.Reason, "%s", o.Error)
}

// handle sends starts for another daemon. It replies once all are answered, or
// maxStragglerWait after the first answer.
func (f *StartForwarder) handle(ctx context.Context, _ string, c startsCall) (any, error) {
	if !f.reserve(len(c.Starts)) {
		return nil, verdict.New(verdict.NotRun, reasonForwarderBusy, "sends %d starts for others already", maxForwardedStarts)
	}
	type numbered struct {
		index   int
		outcome startOutcome
	}
	outcomes := make(chan numbered, len(c.Starts))
	for i, m := range c.Starts {
		go func() {
			defer f.release()
			outcomes <- numbered{i, f.send(c, m)}
		}()
	}
	reply := startsReply{Outcomes: make([]startOutcome, len(c.Starts))}
	var straggled <-chan time.Time
	for range c.Starts {
		select {
		case n := <-outcomes:
			reply.Outcomes[n.index] = n.outcome
			if straggled == nil {
				straggled = time.After(maxStragglerWait)
			}
		case <-straggled:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
	return reply, nil
}

func (f *StartForwarder) reserve(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n == 0 || f.forwarding+n > maxForwardedStarts {
		return false
	}
	f.forwarding += n
	return true
}

func (f *StartForwarder) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwarding--
}

// send sends one start. It does not end with the call that asked for it: a start
// whose answer is awaited keeps its connection.
func (f *StartForwarder) send(c startsCall, m startMessage) startOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.TimeoutMS)*time.Millisecond)
	defer cancel()
	order := scheduler.Order{
		Task: workload.TaskID{Submission: c.Submission, Occurrence: m.Occurrence, Step: m.Step, Index: m.Index}, Run: m.Run,
		Epoch: c.Epoch, LeaseDeadlineMS: m.DeadlineMS, Spec: c.Spec, Checkpoint: m.Checkpoint, Ticket: m.Ticket,
	}
	began := f.now()
	clock, err := f.direct.Start(ctx, scheduler.Instance{ID: m.Server, Address: m.Address}, order)
	out := startOutcome{ClockMS: clock, TookMS: f.now().Sub(began).Milliseconds(), Answered: true}
	if err != nil {
		out.Verdict, out.Reason, out.Error = verdict.Of(err), verdict.ReasonOf(err), err.Error()
		out.Answered = out.Reason != scheduler.ReasonNoAnswer
	}
	return out
}
