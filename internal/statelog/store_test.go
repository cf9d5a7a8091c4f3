package statelog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/statelog"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	systemCredential = logclient.Credential("system/daemon:secret")
	aliceCredential  = logclient.Credential("search/alice:secret")
)

// testNetwork connects stores by direct calls.
type testNetwork struct {
	mu       sync.Mutex
	handlers map[string]map[string]roles.PeerHandler
}

func newNetwork() *testNetwork {
	return &testNetwork{handlers: make(map[string]map[string]roles.PeerHandler)}
}

// remove removes a daemon, or only some of its methods.
func (n *testNetwork) remove(daemon string, methods ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(methods) == 0 {
		delete(n.handlers, daemon)
	}
	for _, method := range methods {
		delete(n.handlers[daemon], method)
	}
}

// detach removes a daemon and returns its handlers, with which attach restores
// it.
func (n *testNetwork) detach(daemon string) map[string]roles.PeerHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer delete(n.handlers, daemon)
	return n.handlers[daemon]
}

func (n *testNetwork) attach(daemon string, handlers map[string]roles.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[daemon] = handlers
}

func (n *testNetwork) names() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.handlers))
}

// testPeers is one daemon's access to the network.
type testPeers struct {
	name string
	net  *testNetwork
}

func (p testPeers) Handle(method string, h roles.PeerHandler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.handlers[p.name] == nil {
		p.net.handlers[p.name] = make(map[string]roles.PeerHandler)
	}
	p.net.handlers[p.name][method] = h
}

func (p testPeers) Call(ctx context.Context, daemon, method string, params, result any) error {
	p.net.mu.Lock()
	h := p.net.handlers[daemon][method]
	p.net.mu.Unlock()
	if h == nil {
		return verdict.New(verdict.NotRun, "unreachable", "%s is not up", daemon)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, p.name, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// testCell is a group of daemons that share one log.
type testCell struct {
	t       *testing.T
	log     *logstandin.Log
	net     *testNetwork
	started int
}

func newCell(t *testing.T) *testCell {
	return &testCell{t: t, log: logstandin.New(time.Now), net: newNetwork()}
}

// node is one daemon's store and its client of the log.
type node struct {
	*statelog.Store
	logClient *logstandin.Client
	duties    *duty.Group
	// logReads are the arguments of the calls of OnRead's function.
	mu       sync.Mutex
	logReads []logRead
}

type logRead struct {
	startedAt time.Time
	head      uint64
}

func (n *node) completedReads() []logRead {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.logReads)
}

func (c *testCell) start(name string, change func(*statelog.Options)) *node {
	c.t.Helper()
	n := &node{logClient: logstandin.NewClient(c.log), duties: duty.New(time.Now)}
	c.started++
	o := statelog.Options{
		Base: roles.Base{
			Self: cluster.Daemon{Name: name, Incarnation: fmt.Sprint(name, "-", c.started)},
			Now:  time.Now, Seed: uint64(c.started), Duties: n.duties,
		},
		Log: n.logClient, SystemCredential: systemCredential,
		Peers: testPeers{name, c.net}, PeerNames: c.net.names,
	}
	if change != nil {
		change(&o)
	}
	n.Store = statelog.New(o)
	n.OnRead(func(startedAt time.Time, head uint64) {
		if offset := n.View().Offset(); offset < head {
			c.t.Errorf("OnRead was called with head %d while the state was at %d", head, offset)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.logReads = append(n.logReads, logRead{startedAt, head})
	})
	if err := n.Start(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	return n
}

func (n *node) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := n.duties.Stop(ctx); err != nil {
		t.Error(err)
	}
}

func documentText(service string, count int) []byte {
	return fmt.Appendf(nil, `{"format": 1, "service": %q, "team": "search", "workloads": [
		{"name": "web", "class": "service", "count": %d, "resources": {"cpu": "500m", "memory": "1GiB"}},
		{"name": "review", "class": "batch", "count": 1, "resources": {"cpu": "1", "memory": "1GiB"}}]}`, service, count)
}

func publish(key, service string, base uint64, count int) record.Record {
	return record.Record{Key: key, Kind: record.KindDocument, Document: &record.Document{
		Service: service, Base: base, Text: documentText(service, count),
	}}
}

func job(id string) record.Record {
	return record.Record{Key: "job/" + id, Kind: record.KindJob, Job: &record.Job{ID: id, Service: "checks", Workload: "review"}}
}

func (n *node) append(t *testing.T, credential logclient.Credential, r record.Record) {
	t.Helper()
	offset, err := n.Append(t.Context(), credential, r)
	if err != nil {
		t.Fatalf("%s: %v", r.Key, err)
	}
	if err := n.WaitFor(t.Context(), offset); err != nil {
		t.Fatal(err)
	}
	if got, ok := n.View().Outcome(r.Key); !ok || got.RefusalReason != "" {
		t.Fatalf("%s: outcome %v %+v", r.Key, ok, got)
	}
}

func TestStore_RecordsReachEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, b := c.start("a", nil), c.start("b", nil)
		a.append(t, aliceCredential, publish("d1", "checks", 0, 3))
		a.append(t, aliceCredential, job("j1"))
		if err := b.WaitFor(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		if _, ok := b.View().Job("j1"); !ok {
			t.Error("the job did not reach the other daemon")
		}
		if d, ok := b.View().Document("checks"); !ok || d.Revision != 1 || d.Team != "search" {
			t.Errorf("document: %v %+v", ok, d)
		}
		a.stop(t)
		b.stop(t)
	})
}
