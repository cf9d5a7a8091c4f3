package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/record"
)

// rig is a cluster of gateways in one process, connected by function calls.
// Ownership, membership, state and the log are plain data that tests change.
type rig struct {
	t        *testing.T
	daemons  []*rigDaemon
	backends backendstandin.InProcess
	// bodies reads the bodies of all daemons' callers.
	bodies *intake.Bodies

	mu    sync.Mutex
	vms   []cluster.VM
	owner map[cluster.Share]int
	epoch map[cluster.Share]uint64
	// claimEpoch is the epoch in which the owner first claimed the share.
	claimEpoch map[cluster.Share]uint64
	// previousOwner and ownerChanged are a share's previous owner and when the
	// owner changed.
	previousOwner map[cluster.Share]int
	ownerChanged  map[cluster.Share]time.Time
	down          map[string]bool
	logged        map[string]record.Record
	logErr        error
	doc           *document.Document
	bytes         map[string]int
	// isolatedRegion is the region that cannot reach the others; empty for none.
	isolatedRegion string
	// loseResponses reports whether the response to a call between daemons is
	// lost; nil loses none.
	loseResponses func() bool
}

type rigDaemon struct {
	*gateway.Gateway
	rig      *rig
	index    int
	self     cluster.Daemon
	duties   *duty.Group
	handler  http.Handler
	handlers map[string]roles.PeerHandler
}

// rigOptions configures a rig.
type rigOptions struct {
	daemons, backends, slots int
	runTime                  func(gateway.Request) time.Duration
	fault                    func(server string, r gateway.Request) backendstandin.Fault
	change                   func(*document.Document)
	wrap                     func(gateway.Backends) gateway.Backends
	keys                     idempotency.Config
	// wrapFor wraps the Backends of one daemon.
	wrapFor func(cluster.Daemon, gateway.Backends) gateway.Backends
	// serve starts a server for a backend server's handler and returns its
	// address.
	serve    func(http.Handler) string
	maxBills int
	maxCalls int
}

func newRig(t *testing.T, o rigOptions) *rig {
	r := &rig{
		t: t, backends: backendstandin.InProcess{}, bodies: intake.NewBodies(rigLimits.BodyBytes, rigLimits, nil), owner: map[cluster.Share]int{}, epoch: map[cluster.Share]uint64{}, claimEpoch: map[cluster.Share]uint64{},
		previousOwner: map[cluster.Share]int{}, ownerChanged: map[cluster.Share]time.Time{},
		down: map[string]bool{}, logged: map[string]record.Record{}, bytes: map[string]int{},
		doc: &document.Document{Service: "desk", Team: "red", Requests: &document.Requests{
			Pool: "runners", MaxBodyBytes: 1 << 10, MaxResponseBytes: 1 << 10,
			Kinds: []document.RequestKind{
				{Name: "check", Billed: true, Deadline: document.Duration(2 * time.Second), DeclaredRunTime: document.Duration(10 * time.Millisecond)},
				{Name: "review", Repeatable: true, Deadline: document.Duration(20 * time.Second), DeclaredRunTime: document.Duration(time.Second)},
				{Name: "peek", Repeatable: true, Deadline: document.Duration(2 * time.Second), DeclaredRunTime: document.Duration(10 * time.Millisecond)},
			},
		}},
	}
	if o.change != nil {
		o.change(r.doc)
	}
	for i := range o.backends {
		r.addBackend(fmt.Sprintf("b%d", i), region(i%o.daemons), o)
	}
	for i := range o.daemons {
		r.addDaemon(i, o)
	}
	for i := range cluster.KeyShareCount {
		r.setOwner(cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(i)}, i%o.daemons)
	}
	for i, vm := range r.vms {
		if _, ok := r.epoch[cluster.BackendShare(vm)]; !ok {
			r.setOwner(cluster.BackendShare(vm), i%o.daemons)
		}
	}
	for _, d := range r.daemons {
		if err := d.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func region(i int) string { return []string{"north", "centre", "south"}[i%3] }

func (r *rig) addBackend(name, region string, o rigOptions) {
	options := backendstandin.Options{Name: name, Slots: o.slots, RunTime: o.runTime}
	if o.fault != nil {
		options.Fault = func(q gateway.Request) backendstandin.Fault { return o.fault(name, q) }
	}
	r.backends[name] = backendstandin.New(options)
	address := name + ":80"
	if o.serve != nil {
		address = o.serve(r.backends[name].Handler())
	}
	r.vms = append(r.vms, cluster.VM{
		Name: name, Role: cluster.RoleBackend, Location: cluster.Location{Region: region, FailureDomain: region + "-a"},
		Address: address, Pool: "runners", Slots: o.slots, Connections: 64,
	})
}

func (r *rig) addDaemon(i int, o rigOptions) {
	d := &rigDaemon{rig: r, index: i, duties: duty.New(time.Now), handlers: map[string]roles.PeerHandler{}}
	d.self = cluster.Daemon{Name: fmt.Sprintf("d%d", i), Incarnation: fmt.Sprintf("d%d-1", i), Location: cluster.Location{Region: region(i)}}
	r.daemons = append(r.daemons, d)
	var backends gateway.Backends = r.backends
	if o.wrap != nil {
		backends = o.wrap(backends)
	}
	if o.wrapFor != nil {
		backends = o.wrapFor(d.self, backends)
	}
	d.Gateway = gateway.New(gateway.Options{
		Base: roles.Base{
			Self: d.self, Now: time.Now, Seed: uint64(i), Duties: d.duties, Events: events.Discard(), Metrics: metrics.NewSet(),
		},
		State: rigState{r}, Owners: rigOwners{d}, Members: rigMembers{d}, Peers: rigPeers{d}, Appender: rigLog{r},
		Backends: backends, KeyConfig: o.keys, Limits: gateway.Limits{MaxBills: o.maxBills, MaxCalls: o.maxCalls},
		Bodies: r.bodies,
	})
	d.handler = d.Handler()
}

var rigLimits = intake.LimitsFor(intake.VM{}, intake.Profile{}, intake.Limits{})

// Server returns an HTTP server for the daemon's callers.
func (d *rigDaemon) Server() *http.Server { return intake.NewServer(d.Handler(), rigLimits) }

// setOwner makes a daemon the owner of a share, in a new epoch. For the present
// owner this is a renewal of its claim.
func (r *rig) setOwner(share cluster.Share, daemon int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch[share]++
	if owner, ok := r.owner[share]; ok && owner == daemon {
		return
	}
	r.previousOwner[share], r.ownerChanged[share] = r.owner[share], time.Now()
	r.owner[share], r.claimEpoch[share] = daemon, r.epoch[share]
}

// markLeaving marks a backend server as leaving in the platform's list.
func (r *rig) markLeaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.vms {
		if r.vms[i].Name == name {
			r.vms[i].Leaving = true
		}
	}
}

// kill makes a daemon unreachable for all others, and all others for it.
func (r *rig) kill(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[r.daemons[i].self.Name] = true
}

// setLog makes the log refuse appends with err, or accept them if err is nil.
func (r *rig) setLog(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logErr = err
}

// partitioned reports whether two regions cannot reach each other. The caller
// holds the lock.
func (r *rig) partitioned(a, b string) bool {
	return r.isolatedRegion != "" && a != b && (a == r.isolatedRegion || b == r.isolatedRegion)
}

// heal ends all faults of daemons, calls and the log.
func (r *rig) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.down)
	r.logErr = nil
	r.loseResponses = nil
}

// close stops every daemon.
func (r *rig) close() {
	for _, s := range r.backends {
		s.Close()
	}
	r.setLog(nil)
	for _, d := range r.daemons {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_ = d.Stop(ctx)
		cancel()
		_ = d.duties.Stop(context.Background())
	}
}

// runs returns all runs of all backend servers.
func (r *rig) runs() []backendstandin.Run {
	var all []backendstandin.Run
	for _, vm := range r.vms {
		all = append(all, r.backends[vm.Name].Runs()...)
	}
	return all
}

// bills returns the bills in the log by request key.
func (r *rig) bills() map[string]record.Bill {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]record.Bill{}
	for _, rec := range r.logged {
		all[rec.Bill.RequestKey] = *rec.Bill
	}
	return all
}

// checkSlots fails the test if a backend server got more requests at once than it
// has slots.
func (r *rig) checkSlots() {
	for _, run := range r.runs() {
		if run.ExceedsSlots {
			r.t.Errorf("backend server got more requests at once than it has slots: %+v", run)
		}
	}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

func (p callerResponse) verdict() string { return p.header.Get(gateway.HeaderVerdict) }
func (p callerResponse) reason() string  { return p.header.Get(gateway.HeaderReason) }

// send sends a caller's request to the daemon.
func (d *rigDaemon) send(ctx context.Context, kind, body string, header ...string) callerResponse {
	return d.post(ctx, "/v1/services/desk/requests/"+kind, body, append([]string{"Caller", "ann"}, header...)...)
}

func (d *rigDaemon) post(ctx context.Context, path, body string, header ...string) callerResponse {
	q := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewBufferString(body))
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, q)
	return callerResponse{w.Code, w.Header(), w.Body.String()}
}

// issueKey has the daemon issue one idempotency key.
func (d *rigDaemon) issueKey() string {
	p := d.post(context.Background(), "/v1/keys", "")
	if p.status != http.StatusOK {
		d.rig.t.Errorf("issue key: got status %d: %s", p.status, p.body)
	}
	return firstKey(p.body)
}

func firstKey(body string) string {
	var issued struct{ Keys []string }
	if err := json.Unmarshal([]byte(body), &issued); err != nil || len(issued.Keys) == 0 {
		return ""
	}
	return issued.Keys[0]
}
