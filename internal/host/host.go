// Package host wires a daemon for the users' platform: the callers' interface,
// the schedulers of the partitions that it holds, and the calls between
// daemons.
package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/entry"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/relay"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"
)

const (
	// group is the name of the daemons' group at the store.
	group = "currantwinch"
	// balancerLag is how long callers may still be sent here after the daemon
	// says that it is not ready: two looks of the balancer, a second apart.
	balancerLag = 2500 * time.Millisecond
	// awayPause is the time between two looks whether the store is back.
	awayPause = 50 * time.Millisecond
	// leaveTimeout bounds the giving up of partitions at a planned stop.
	leaveTimeout = time.Second
	// dumpTimeout bounds the answer of a state dump.
	dumpTimeout = time.Second
	// headerTimeout bounds the headers of a request, and idleTimeout the time
	// between two on one connection, above that of the platform's balancer.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds the headers of one request.
	maxHeaderBytes = 64 << 10
)

// Options is what a Host is built from.
type Options struct {
	Settings platform.Settings
	Events   *events.Logger
}

// Host is one daemon.
type Host struct {
	o       Options
	base    roles.Base
	duties  *duty.Group
	app     *fx.App
	config  atomic.Pointer[routing.Configuration]
	store   *relay.Relay
	servers *platform.ServerClient
	shards  *shard.Manager
	health  *storeHealth
	metrics *scheduler.Metrics

	member   *partition.Member
	tenures  *tenure.Manager
	peers    *peer.Peers
	entry    *entry.Router
	advisors *entry.PolicyClients

	callers, ready *http.Server
	stopping       atomic.Bool
	// started says that the daemon knew all that it needs to serve.
	started atomic.Bool
}

// New returns a Host that serves nothing before Start.
func New(o Options) (*Host, error) {
	h := &Host{o: o, duties: duty.New(time.Now)}
	h.base = roles.Base{
		Self: cluster.Daemon{Name: peerAddress(o.Settings), Incarnation: uuid.NewString()},
		Now:  time.Now, Duties: h.duties, Events: o.Events, Metrics: metrics.NewSet(),
	}
	h.metrics = scheduler.NewMetrics(h.base.Metrics)
	h.app = fx.New(
		fx.NopLogger,
		fx.Supply(o.Settings),
		fx.Provide(platform.NewHTTPClient, h.newStore, h.newPeers, h.newShards, h.newMember, h.newTenures, h.newEntry, h.newAdvisors),
		fx.Invoke(h.assemble),
		fx.Invoke(h.lifecycle),
	)
	return h, errors.Wrap(h.app.Err(), "wire daemon")
}

func peerAddress(s platform.Settings) string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.Ports[0]))
}

func (h *Host) newStore(client *http.Client, s platform.Settings, peers *peer.Peers) *relay.Relay {
	h.health = &storeHealth{now: time.Now, events: h.o.Events, set: h.base.Metrics}
	return relay.New(relay.Options{
		Direct: platform.NewStore(client, s.StoreAddress, group, tenure.Topic), Peers: peers, Now: time.Now,
		Metrics: h.base.Metrics, Events: h.o.Events,
	})
}

func (h *Host) newPeers() (*peer.Peers, error) {
	listener, err := net.Listen("tcp", h.base.Self.Name)
	if err != nil {
		return nil, errors.Wrap(err, "listen for daemons")
	}
	return peer.New(peer.Options{
		Base: h.base, Listener: listener, Dial: platform.Dial,
		// Daemons are named by their addresses.
		Resolve: func(daemon string) (string, bool) { return daemon, daemon != "" },
	}), nil
}

func (h *Host) newShards(store *relay.Relay, s platform.Settings) *shard.Manager {
	return shard.NewManager(shard.Options{
		Log: store, MaxShards: s.StorePartitions, Now: time.Now, Applied: h.layoutTaken, OnResult: h.health.report("shards"),
		Rejected: func(service string, err error) {
			h.o.Events.Log(events.LayoutUnreadable, "service", service, "error", err.Error())
		},
	})
}

func (h *Host) layoutTaken(service string, l shard.Layout) {
	h.o.Events.Log(events.LayoutApplied, "service", service, "shards", l.Shards, "racks", len(l.Racks))
	h.tenures.TriggerReconcile()
}

func (h *Host) newMember(store *relay.Relay, peers *peer.Peers, s platform.Settings) *partition.Member {
	capacities := entry.NewCapacities(h.base.Self.Name, s.CPU, peers, func(yields bool, larger, holders int) {
		h.o.Events.Log(events.MemberYieldChanged, "yields", yields, "larger", larger, "holders", holders, "cpu", s.CPU)
	})
	// A daemon that was killed and is back within its time in the group has its
	// partitions at once; epochs tell its lives apart.
	return partition.NewMember(store, h.base.Self.Name, s.MinMemberTTL, time.Now, h.health.report("join"), func() { h.tenures.TriggerReconcile() }, capacities.ShouldYield)
}

func (h *Host) newTenures(member *partition.Member, shards *shard.Manager, s platform.Settings) *tenure.Manager {
	return tenure.New(tenure.Options{
		Member: member, PartitionCount: s.StorePartitions, Config: h.config.Load, Layout: shards.Layout, New: h.newEngine, Events: h.o.Events,
	})
}

func (h *Host) newEntry(store *relay.Relay, member *partition.Member, tenures *tenure.Manager, peers *peer.Peers, shards *shard.Manager, s platform.Settings) *entry.Router {
	return entry.New(entry.Options{Member: member, Isolated: store.Isolated, Layout: shards.Layout, Tenures: tenures, Peers: peers, PartitionCount: s.StorePartitions, Now: time.Now})
}

func (h *Host) newAdvisors(client *http.Client, member *partition.Member, peers *peer.Peers, s platform.Settings) *entry.PolicyClients {
	return entry.NewPolicyClients(h.base.Self.Name, platform.NewPolicyService(client, s.PolicyAddress), member, peers, time.Now)
}

func (h *Host) assemble(client *http.Client, store *relay.Relay, member *partition.Member, tenures *tenure.Manager, peers *peer.Peers, shards *shard.Manager, e *entry.Router, a *entry.PolicyClients) {
	h.shards = shards
	h.store, h.member, h.tenures, h.peers, h.entry, h.advisors = store, member, tenures, peers, e, a
	h.servers = platform.NewServerClient(client)
	store.SetDaemons(a.OtherDaemons)
}

// lifecycle orders start and stop.
func (h *Host) lifecycle(l fx.Lifecycle) {
	l.Append(fx.Hook{OnStart: h.peers.Start, OnStop: h.peers.Stop})
	l.Append(fx.Hook{OnStart: h.startDuties, OnStop: h.duties.Stop})
	l.Append(fx.Hook{OnStart: h.serve, OnStop: h.drain})
}

func (h *Host) startDuties(context.Context) error {
	h.duties.Go("configuration", 0, h.watchConfiguration)
	h.duties.Go("membership", 0, func(ctx context.Context, _ duty.Turn) error { return h.member.Run(ctx) })
	h.duties.Go("shards", 0, func(ctx context.Context, _ duty.Turn) error { return h.shards.Run(ctx) })
	h.duties.Go("tenures", 0, h.tenures.Run)
	h.duties.Go("contact", 0, h.store.MonitorConnectivity)
	return nil
}

// newEngine returns a scheduler for a partition that this daemon holds.
func (h *Host) newEngine(id partition.ID) *scheduler.Engine {
	b := h.o.Settings.Bounds
	return scheduler.NewEngine(scheduler.EngineOptions{
		Log: h.store, Partition: id, Daemon: h.base.Self.Name,
		Bounds: scheduler.Bounds{
			MaxLease: b.MaxLease, GangTimeout: b.GangTimeout, StatusRetention: b.StatusRetention, ReuseAfter: b.ReuseAfter,
		},
		Servers: h.servers, Policy: h.advisors.Subset(func() (int, int) { return h.tenures.Position(id) }), Config: h.config.Load, LeaseValid: h.member.LeaseValid,
		Watch: func(ctx context.Context, whole func([]scheduler.ServerInfo)) error {
			return h.watchServers(ctx, id, whole)
		},
		Events: h.o.Events, Metrics: h.metrics, Now: time.Now, Wall: wall,
	})
}

func wall() int64 { return time.Now().UnixMilli() }

// serve opens the callers' door and the readiness answer.
func (h *Host) serve(context.Context) error {
	door := &platform.CallerAPI{Service: h.entry, Config: h.config.Load, Now: time.Now, Wall: wall, OnFailure: h.callFailed}
	router := mux.NewRouter()
	router.HandleFunc("/ready", h.answerReady)
	router.HandleFunc("/metrics", h.answerMetrics)
	router.HandleFunc("/debug/state", h.answerState)
	h.callers = &http.Server{Handler: door, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	h.ready = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	for _, s := range []struct {
		server  *http.Server
		address string
	}{{h.callers, h.o.Settings.CallerAddress}, {h.ready, h.o.Settings.ReadinessAddress}} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		server := s.server
		h.duties.Go("serve "+s.address, 0, func(context.Context, duty.Turn) error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !h.layoutsKnown() || h.stopping.Load() || h.store.Isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// layoutsKnown reports whether the configuration was read, and the layouts of all
// its services were known once. A service that is added later does not turn
// callers of the others away.
func (h *Host) layoutsKnown() bool {
	config := h.config.Load()
	if config == nil {
		return false
	}
	if h.started.Load() {
		return true
	}
	for _, service := range config.ServiceNames() {
		if _, ok := h.shards.Layout(service); !ok {
			return false
		}
	}
	h.started.Store(true)
	return true
}

func (h *Host) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	h.base.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// hostState is the daemon's state dump.
type hostState struct {
	Daemon     string                 `json:"daemon"`
	Config     uint64                 `json:"configurationVersion"`
	Cut        bool                   `json:"cutOff"`
	Sure       bool                   `json:"membershipSure"`
	Held       []partition.ID         `json:"held"`
	Members    []string               `json:"members"`
	Schedulers map[int]scheduler.Dump `json:"schedulers"`
	Peers      any                    `json:"peers"`
}

func (h *Host) answerState(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	state := hostState{
		Daemon: h.base.Self.Name, Cut: h.store.Isolated(), Sure: h.member.LeaseValid(), Held: h.member.Held(), Members: h.member.Holders(),
		Schedulers: h.tenures.Dump(ctx), Peers: h.peers.Dump(),
	}
	if config := h.config.Load(); config != nil {
		state.Config = config.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		h.o.Events.Log(events.LibraryMessage, "message", "state dump: "+err.Error())
	}
}

func (h *Host) callFailed(f platform.Failure) {
	h.base.Metrics.GetOrCreateCounter(fmt.Sprintf(`currantwinch_calls_failed_total{call=%q,status="%d"}`, f.Call, f.Status)).Inc()
	h.o.Events.Log(events.CallFailed, "call", f.Call, "id", f.ID, "queue", f.Queue, "status", f.Status, "reason", f.Reason, "took", f.Took.Milliseconds())
}

// Start starts everything.
func (h *Host) Start(ctx context.Context) error { return h.app.Start(ctx) }

// Stop hands partitions over, serves on until callers are sent elsewhere, and
// ends once everything taken is answered or ctx ends.
func (h *Host) Stop(ctx context.Context) error { return h.app.Stop(ctx) }

// Failed is closed when a duty failed.
func (h *Host) Failed() <-chan struct{} { return h.duties.Done() }

// Err returns why a duty failed.
func (h *Host) Err() error { return h.duties.Err() }

// awaitStore waits while the store answers nobody: no other daemon can take the
// partitions over, which go on being served here for as long as the stop allows.
func (h *Host) awaitStore(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	last := deadline.Add(-balancerLag - leaveTimeout)
	for h.store.StoreUnreachable() && h.base.Now().Before(last) {
		if !duty.Sleep(ctx, awayPause) {
			return
		}
	}
}

// drain is the graceful part of a stop.
func (h *Host) drain(ctx context.Context) error {
	h.stopping.Store(true)
	h.awaitStore(ctx)
	h.tenures.StopAll()
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	err := h.member.Leave(leave)
	cancel()
	if err != nil {
		h.o.Events.Log(events.StoreLost, "call", "leave", "error", err.Error())
	}
	select {
	case <-ctx.Done():
	case <-time.After(balancerLag):
	}
	err = h.callers.Shutdown(ctx)
	_ = h.ready.Close()
	return errors.Wrap(err, "finish calls")
}
