// Package host assembles a daemon for the users' platform: the API for callers, the
// schedulers of the partitions that it holds, and the calls between daemons.
package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/configuration"
	"github.com/currantwinch/currantwinch/internal/entry"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/relay"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"
)

const (
	// group is the name of the daemons' membership group at the store.
	group = "currantwinch"
	// dumpTimeout limits the collection of a state dump.
	dumpTimeout = time.Second
)

// Options configures a Host.
type Options struct {
	Settings platform.Settings
	Events   *events.Logger
}

// Host is one daemon process.
type Host struct {
	o         Options
	base      roles.Base
	duties    *duty.Group
	app       *fx.App
	config    *configuration.Keeper
	store     *relay.Relay
	servers   *platform.ServerClient
	forwarder *entry.StartForwarder
	shards    *shard.Manager
	health    *storeHealth
	metrics   *scheduler.Metrics
	limits    intake.Limits
	reporter  *intake.Reporter

	capacities    *entry.Capacities
	member        *partition.Member
	tenures       *tenure.Manager
	peers         *peer.Peers
	entry         *entry.Router
	policyClients *entry.PolicyClients

	callers, ready *http.Server
	// connections are those of callers, and closeListener accepts no more of them.
	connections   connections
	closeListener func()
	// endCalls cancels the contexts of all callers' calls, and refuses those whose bodies have
	// not come whole.
	endCalls func()
	stopping atomic.Bool
	inFlight atomic.Int64
	// layoutsLoaded is set once the layouts of all configured services were known.
	layoutsLoaded atomic.Bool
}

// New returns a Host with its peer listener open. It serves nothing before Start.
func New(o Options) (*Host, error) {
	h := &Host{o: o, duties: duty.New(time.Now)}
	h.base = roles.Base{
		Self: cluster.Daemon{Name: peerAddress(o.Settings), Incarnation: uuid.NewString()},
		Now:  time.Now, Duties: h.duties, Events: o.Events, Metrics: metrics.NewSet(),
	}
	h.metrics = scheduler.NewMetrics(h.base.Metrics)
	h.limits = intake.LimitsFor(intake.VM{MemoryMB: o.Settings.MemoryMB, Descriptors: o.Settings.MaxFDs}, intake.Profile{}, o.Settings.Intake)
	h.reporter = intake.NewReporter(o.Events, h.base.Metrics)
	h.reporter.Limits(h.limits)
	h.checkRestartTime()
	h.app = fx.New(
		fx.NopLogger,
		fx.Supply(o.Settings),
		fx.Provide(platform.NewHTTPClient, h.newStore, h.newPeers, h.newConfiguration, h.newShards, h.newMember, h.newTenures, h.newEntry, h.newPolicyClients),
		fx.Invoke(h.assemble),
		fx.Invoke(h.lifecycle),
	)
	return h, errors.Wrap(h.app.Err(), "assemble daemon")
}

func peerAddress(s platform.Settings) string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.Ports[0]))
}

func (h *Host) newStore(client *http.Client, s platform.Settings, peers *peer.Peers) *relay.Relay {
	h.health = &storeHealth{now: time.Now, events: h.o.Events, set: h.base.Metrics}
	direct := platform.NewStore(client, s.StoreAddress, group, tenure.Topic)
	direct.LimitRecords(s.MaxRecordBytes)
	return relay.New(relay.Options{
		Direct: direct, Peers: peers, Now: time.Now,
		Metrics: h.base.Metrics, Events: h.o.Events,
	})
}

func (h *Host) newPeers() (*peer.Peers, error) {
	l := h.limits
	socket, err := intake.Listen(h.base.Self.Name, intake.SocketOptions{Connections: l.PeerConnections, Backlog: peer.Backlog, Bytes: peer.SocketBytes})
	if err != nil {
		return nil, errors.Wrap(err, "listen for peer connections")
	}
	listener, bounds := peer.Bound(socket, l, h.reporter)
	return peer.New(peer.Options{
		Base: h.base, Listener: listener, Dial: platform.Dial, Intake: bounds,
		VerifySource: func(daemon string, remote net.Addr) error { return peer.CheckSource(daemon, daemon, remote) },
		// The name of a daemon is its peer address.
		Resolve: func(daemon string) (string, bool) { return daemon, daemon != "" },
	}), nil
}

func (h *Host) newShards(store *relay.Relay, s platform.Settings) *shard.Manager {
	return shard.NewManager(shard.Options{
		Log: store, MaxShards: s.StorePartitions, Now: time.Now, Applied: h.applyLayout, OnResult: h.health.reporter("shards"),
		Rejected: func(service string, err error) {
			h.o.Events.Log(events.LayoutUnreadable, "service", service, "error", err.Error())
		},
	})
}

func (h *Host) applyLayout(service string, l shard.Layout) {
	h.o.Events.Log(events.LayoutApplied, "service", service, "shards", l.Shards, "racks", len(l.Racks))
	h.tenures.TriggerReconcile()
}

func (h *Host) newMember(store *relay.Relay, peers *peer.Peers, s platform.Settings) *partition.Member {
	h.capacities = entry.NewCapacities(h.base.Self.Name, s.CPU, s.MemoryMB, s.LinkMbps, peers, func(yields bool, larger, holders int) {
		h.o.Events.Log(events.MemberYieldChanged, "yields", yields, "larger", larger, "holders", holders, "cpu", s.CPU)
	})
	// A daemon that was killed and restarts within its member TTL has its partitions
	// immediately. Epochs distinguish the runs of the daemon.
	m := partition.NewMember(store, h.base.Self.Name, s.MinMemberTTL, time.Now, h.health.reporter("join"), func() { h.tenures.TriggerReconcile() }, h.capacities.ShouldYield)
	m.LearnFirst(h.capacities.Learn)
	return m
}

func (h *Host) newTenures(member *partition.Member, shards *shard.Manager, peers *peer.Peers, config *configuration.Keeper, s platform.Settings) *tenure.Manager {
	return tenure.New(tenure.Options{
		Member: member, Daemon: h.base.Self.Name, OtherDaemons: h.otherDaemons, Now: time.Now, PartitionCount: s.StorePartitions, Config: config.Newest, Layout: shards.Layout, Services: shards.Services, New: h.newEngine, Peers: peers, Events: h.o.Events,
	})
}

func (h *Host) newEntry(store *relay.Relay, member *partition.Member, tenures *tenure.Manager, peers *peer.Peers, shards *shard.Manager, config *configuration.Keeper, s platform.Settings) *entry.Router {
	return entry.New(entry.Options{Configuration: config, Member: member, Isolated: store.Isolated, Layout: shards.Layout, Homes: shards, CapHolders: shards, Tenures: tenures, Peers: peers, PartitionCount: s.StorePartitions, Now: time.Now, Daemons: h.otherDaemons})
}

func (h *Host) newPolicyClients(client *http.Client, member *partition.Member, peers *peer.Peers, s platform.Settings) *entry.PolicyClients {
	return entry.NewPolicyClients(h.base.Self.Name, platform.NewPolicyService(client, s.PolicyAddress), member, peers, time.Now)
}

func (h *Host) assemble(client *http.Client, store *relay.Relay, member *partition.Member, tenures *tenure.Manager, peers *peer.Peers, shards *shard.Manager, e *entry.Router, a *entry.PolicyClients) {
	h.shards = shards
	h.store, h.member, h.tenures, h.peers, h.entry, h.policyClients = store, member, tenures, peers, e, a
	h.servers = platform.NewServerClient(client)
	h.forwarder = entry.NewStartForwarder(h.base.Self.Name, h.servers, peers, time.Now)
	store.SetDaemons(a.OtherDaemons)
}

// lifecycle registers the start and stop hooks. They stop in reverse order.
func (h *Host) lifecycle(l fx.Lifecycle) {
	l.Append(fx.Hook{OnStart: h.peers.Start, OnStop: h.peers.Stop})
	l.Append(fx.Hook{OnStart: h.startDuties, OnStop: h.duties.Stop})
	l.Append(fx.Hook{OnStart: h.serve, OnStop: h.drain})
}

func (h *Host) startDuties(context.Context) error {
	h.duties.Go("configuration", 0, h.watchConfiguration)
	h.duties.Go("configuration exchange", 0, h.config.Run)
	h.duties.Go("membership", 0, func(ctx context.Context, _ duty.Heartbeat) error { return h.member.Run(ctx) })
	h.duties.Go("shards", 0, func(ctx context.Context, _ duty.Heartbeat) error { return h.shards.Run(ctx) })
	h.duties.Go("tenures", 0, h.tenures.Run)
	h.duties.Go("contact", 0, h.store.MonitorConnectivity)
	return nil
}

// newEngine returns the scheduler of a partition that this daemon holds.
func (h *Host) newEngine(id partition.ID) *scheduler.Engine {
	return scheduler.NewEngine(scheduler.EngineOptions{
		Log: h.store, Partition: id, Daemon: h.base.Self.Name,
		Bounds:  h.schedulerBounds(),
		Servers: h.servers, Forwarder: h.forwarder, Policy: h.policyClients.Subset(func() (int, int) { return h.tenures.Position(id) }), Config: h.config.Newest, LeaseValid: h.member.LeaseValid,
		MemoryBudget: h.memoryBudget,
		Shards:       h.entry.ShardsOf(id), Caps: h.entry.CapsOf(id), Witnesses: h.tenures.Witnesses(id),
		Watch: func(ctx context.Context, onChange func([]scheduler.ServerInfo)) error {
			return h.watchServers(ctx, id, onChange)
		},
		Events: h.o.Events, Metrics: h.metrics, Now: time.Now, Wall: wallClockMS,
	})
}

func (h *Host) schedulerBounds() scheduler.Bounds {
	b := h.o.Settings.Bounds
	return scheduler.Bounds{
		MaxLease: b.MaxLease, GangTimeout: b.GangTimeout, StatusRetention: b.StatusRetention, ReuseAfter: b.ReuseAfter, RestartTime: b.RestartTime,
		MaxRecordBytes: h.o.Settings.MaxRecordBytes, ShareWindow: b.ShareWindow, RemoteFactor: b.RemoteFactor,
	}
}

// checkRestartTime logs settings under which the tasks of a server that is lost together with
// its owner start elsewhere too late.
func (h *Host) checkRestartTime() {
	b := h.schedulerBounds()
	if _, fits := b.MajorityAttested(); !fits {
		h.o.Events.Log(events.RestartTimeMissed, "maxLease", b.MaxLease.Milliseconds(), "restartTime", b.RestartTime.Milliseconds())
	}
}

const (
	// submissionsFraction is the fraction of a VM's memory that may be taken by the
	// submissions of all partitions, since one daemon may come to own all.
	submissionsFraction = 0.25
	megabyte            = 1 << 20
)

// memoryBudget returns how many bytes the submissions of one partition may take: what the
// smallest VM can hold, which may own the partition next.
func (h *Host) memoryBudget() int64 {
	partitions := min(max(h.shards.Count(), 1), h.o.Settings.StorePartitions)
	return int64(submissionsFraction*float64(h.capacities.SmallestMemoryMB()*megabyte)) / int64(partitions)
}

// otherDaemons lists the other known daemons.
func (h *Host) otherDaemons() []string { return h.policyClients.OtherDaemons() }

func wallClockMS() int64 { return time.Now().UnixMilli() }

// serve opens the listeners for callers and for readiness probes, metrics and state
// dumps, and starts serving.
func (h *Host) serve(context.Context) error {
	callerAPI := &platform.CallerAPI{Service: h.entry, Config: h.config.View, Now: time.Now, Wall: wallClockMS, OnFailure: h.recordFailedCall, Bodies: intake.NewBodies(h.limits.BodyBytes, h.limits, h.reporter)}
	router := mux.NewRouter()
	router.HandleFunc("/ready", h.handleReady)
	router.HandleFunc("/metrics", h.handleMetrics)
	router.HandleFunc("/debug/state", h.handleState)
	l := h.limits
	h.reporter.Watch("bodies", callerAPI.Bodies.Budget)
	h.callers = intake.NewServer(callerAPI.Bodies.Protect(h.countInFlight(callerAPI)), l)
	h.ready = intake.NewServer(intake.WithoutBodies(router), l)
	calls, endCalls := context.WithCancel(context.Background())
	h.endCalls = func() {
		endCalls()
		callerAPI.Bodies.Budget.Stop(intake.ReasonStopping)
	}
	h.connections.follow(h.callers)
	h.callers.BaseContext = func(net.Listener) context.Context { return calls }
	callers, err := h.listen("callers", h.o.Settings.CallerAddress, l.Connections, l.AddressConnections)
	if err != nil {
		return err
	}
	operators, err := h.listen("operators", h.o.Settings.ReadinessAddress, l.OperatorConnections, l.OperatorConnections)
	if err != nil {
		_ = callers.Close()
		return err
	}
	h.closeListener = func() { _ = callers.Close() }
	h.serveOn(h.callers, callers)
	h.serveOn(h.ready, operators)
	return nil
}

// listen opens a listener with bounds on its connections, in all and from one address.
func (h *Host) listen(name, address string, connections, shared int) (net.Listener, error) {
	socket, err := intake.Listen(address, intake.SocketOptions{Connections: connections, Bytes: h.limits.SocketBytes})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return intake.NewListener(socket, intake.ListenerOptions{
		Name: name, Connections: connections, AddressConnections: shared, WriteTimeout: h.limits.StallTimeout, Report: h.reporter,
	}), nil
}

// serveOn serves until the server is closed.
func (h *Host) serveOn(server *http.Server, listener net.Listener) {
	h.duties.Go("serve "+listener.Addr().String(), 0, func(context.Context, duty.Heartbeat) error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || h.stopping.Load() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// countInFlight counts the calls that a handler is working on.
func (h *Host) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.Add(1)
		h.connections.handling(r)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of callers' calls that are not answered yet.
func (h *Host) InFlight() int { return int(h.inFlight.Load()) }

func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !h.layoutsKnown() || h.stopping.Load() || h.store.Isolated() || h.config.View().MayBeOutdated {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// layoutsKnown reports whether the configuration was read and the layouts of all its
// services were known at some time. A service added later does not make the daemon
// unready for the callers of the others.
func (h *Host) layoutsKnown() bool {
	config := h.config.Newest()
	if config == nil {
		return false
	}
	if h.layoutsLoaded.Load() {
		return true
	}
	for _, service := range config.ServiceNames() {
		if _, ok := h.shards.Layout(service); !ok {
			return false
		}
	}
	h.layoutsLoaded.Store(true)
	return true
}

func (h *Host) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	h.base.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// stateDump is the state dump of the daemon.
type stateDump struct {
	Daemon string `json:"daemon"`
	Config uint64 `json:"configurationVersion"`
	// UnconfirmedMS is the time in milliseconds since this daemon knew of no later version.
	UnconfirmedMS int64                  `json:"configurationUnconfirmedMS"`
	Isolated      bool                   `json:"cutOff"`
	LeaseValid    bool                   `json:"membershipSure"`
	Held          []partition.ID         `json:"held"`
	Members       []string               `json:"members"`
	Schedulers    map[int]scheduler.Dump `json:"schedulers"`
	Peers         any                    `json:"peers"`
	Intake        intake.Status          `json:"intake"`
}

func (h *Host) handleState(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	state := stateDump{
		Daemon: h.base.Self.Name, Isolated: h.store.Isolated(), LeaseValid: h.member.LeaseValid(), Held: h.member.Held(), Members: h.member.Holders(),
		Schedulers: h.tenures.Dump(ctx), Peers: h.peers.Dump(), Intake: h.reporter.Status(),
	}
	if config := h.config.View(); config.Configuration != nil {
		state.Config, state.UnconfirmedMS = config.Version, config.Unconfirmed.Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		h.o.Events.Log(events.LibraryMessage, "message", "state dump: "+err.Error())
	}
}

func (h *Host) recordFailedCall(f platform.Failure) {
	// Clients choose the method; each value would be a time series of its own.
	if !slices.Contains(knownMethods, f.Call) {
		f.Call = "other"
	}
	h.base.Metrics.GetOrCreateCounter(fmt.Sprintf(`currantwinch_calls_failed_total{call=%q,status="%d"}`, f.Call, f.Status)).Inc()
	h.o.Events.Log(events.CallFailed, "call", f.Call, "id", f.ID, "queue", f.Queue, "status", f.Status, "reason", f.Reason, "took", f.Took.Milliseconds(),
		"version", f.Decision.Version, "unconfirmed", f.Decision.Unconfirmed.Milliseconds(), "ownerVersion", f.Decision.OwnerVersion)
}

// knownMethods are the HTTP methods that have a metric of their own.
var knownMethods = []string{http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut, http.MethodHead, http.MethodPatch, http.MethodOptions}

// Start starts all parts of the daemon.
func (h *Host) Start(ctx context.Context) error { return h.app.Start(ctx) }

// Stop hands over the partitions, continues to serve until the load balancer routes
// callers to other daemons, and returns once every accepted request is answered or
// ctx ends.
func (h *Host) Stop(ctx context.Context) error { return h.app.Stop(ctx) }

// Failed returns a channel that is closed when a duty has failed and the process must
// exit.
func (h *Host) Failed() <-chan struct{} { return h.duties.Done() }

// Err returns the error of the duty that failed.
func (h *Host) Err() error { return h.duties.Err() }
