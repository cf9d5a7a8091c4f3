package entry

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// startServers answers starts by server ID.
type startServers struct {
	scheduler.ServerClient
	mu     sync.Mutex
	orders []scheduler.Order
}

func (s *startServers) Start(ctx context.Context, to scheduler.Instance, o scheduler.Order) (int64, error) {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	switch to.ID {
	case "full":
		return 7, verdict.New(verdict.NotRun, scheduler.ReasonNoCapacity, "no room")
	case "silent":
		<-ctx.Done()
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, scheduler.ReasonNoAnswer)
	}
	time.Sleep(20 * time.Millisecond)
	return 7, nil
}

// onePeer is a connection to one other daemon.
type onePeer struct {
	handlers map[string]roles.PeerHandler
	other    *onePeer
	fault    error
	bytes    int
}

func (p *onePeer) Connected() []string { return []string{"b"} }

func (p *onePeer) Handle(method string, h roles.PeerHandler) { p.handlers[method] = h }

func (p *onePeer) Call(ctx context.Context, _, method string, params, result any) error {
	if p.fault != nil {
		return p.fault
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	p.bytes += len(data)
	value, err := p.other.handlers[method](ctx, "a", data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(value); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// newForwarders returns the forwarder of a daemon, its connection to the other
// one, and the servers that the other one calls.
func newForwarders() (*StartForwarder, *onePeer, *startServers) {
	a, b := &onePeer{handlers: make(map[string]roles.PeerHandler)}, &onePeer{handlers: make(map[string]roles.PeerHandler)}
	a.other = b
	servers := &startServers{}
	NewStartForwarder("b", servers, b, time.Now)
	return NewStartForwarder("a", nil, a, time.Now), a, servers
}

func startsOn(servers ...string) []scheduler.StartTask {
	var out []scheduler.StartTask
	for i, id := range servers {
		out = append(out, scheduler.StartTask{
			To: scheduler.Instance{ID: id, Address: "10.0.0.1:80"},
			Order: scheduler.Order{
				Task: workload.TaskID{Submission: "00000000000000a1", Occurrence: 1, Step: 2, Index: i}, Run: 3, Epoch: 4,
				LeaseDeadlineMS: 5, Spec: "spec", Checkpoint: "c", Ticket: "t",
			},
		})
	}
	return out
}

func forward(t *testing.T, f *StartForwarder, starts []scheduler.StartTask) []scheduler.StartResult {
	t.Helper()
	daemon, ok := f.Choose(starts[0].Order.Task.Submission)
	if !ok {
		t.Fatal("no daemon to forward to")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer cancel()
	return f.Forward(ctx, daemon, starts)
}

func TestStartForwarder_PassesOrdersAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, servers := newForwarders()
		starts := startsOn("ok", "full")
		got := forward(t, f, starts)
		if got[0].Err != nil || got[0].ClockMS != 7 || got[0].Took < 20*time.Millisecond {
			t.Errorf("accepted start: %+v", got[0])
		}
		if verdict.Of(got[1].Err) != verdict.NotRun || verdict.ReasonOf(got[1].Err) != scheduler.ReasonNoCapacity {
			t.Errorf("refused start: %v, want the server's refusal", got[1].Err)
		}
		for _, o := range servers.orders {
			if o != starts[o.Task.Index].Order {
				t.Errorf("server got order %+v, want %+v", o, starts[o.Task.Index].Order)
			}
		}
	})
}

// One server that does not answer must not keep the answers of the others from
// the owner until its orders time out.
func TestStartForwarder_DoesNotWaitForOneSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := newForwarders()
		began := time.Now()
		got := forward(t, f, startsOn("ok", "silent"))
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("answered after %s, want at most 200ms", took)
		}
		if got[0].Err != nil {
			t.Errorf("accepted start: %v", got[0].Err)
		}
		if verdict.Of(got[1].Err) != verdict.MayHaveRun || verdict.ReasonOf(got[1].Err) != scheduler.ReasonNoAnswer {
			t.Errorf("start without an answer: %v, want that it may have run", got[1].Err)
		}
		time.Sleep(time.Second)
	})
}

// A daemon that cannot be reached has sent nothing, and gets no further starts
// for a while.
func TestStartForwarder_ReportsAnUnreachableDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, peer, _ := newForwarders()
		peer.fault = verdict.New(verdict.NotRun, "peer_unreachable", "refused")
		got := forward(t, f, startsOn("ok", "ok"))
		if verdict.Of(got[1].Err) != verdict.NotRun || verdict.ReasonOf(got[1].Err) != scheduler.ReasonNoAnswer {
			t.Errorf("got %v, want that the start was not sent", got[1].Err)
		}
		if _, ok := f.Choose("00000000000000a1"); ok {
			t.Error("the daemon was chosen again at once")
		}
	})
}

// A malformed call from another daemon is refused and sends nothing.
func TestStartForwarder_RefusesMalformedCalls(t *testing.T) {
	f, peer, servers := newForwarders()
	_ = f
	for _, text := range []string{`{}`, `{"starts":[]}`, `{"starts":3}`, `[]`, `nonsense`, ``} {
		if _, err := peer.other.handlers[methodStarts](t.Context(), "a", json.RawMessage(text)); verdict.Of(err) != verdict.NotRun {
			t.Errorf("%q: %v, want it refused as not run", text, err)
		}
	}
	if len(servers.orders) != 0 {
		t.Errorf("%d starts sent", len(servers.orders))
	}
}
