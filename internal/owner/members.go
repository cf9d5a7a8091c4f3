package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/membership"
)

// maxHeartbeatsInFlight bounds the unanswered heartbeats to one daemon.
const maxHeartbeatsInFlight = 8

func (w *Owner) listDuty(ctx context.Context, turn duty.Heartbeat) error {
	for duty.Sleep(ctx, listInterval) {
		turn()
		listCtx, cancel := context.WithTimeout(ctx, listInterval)
		w.readList(listCtx)
		cancel()
	}
	return nil
}

// readList reads the platform's list of VMs. On an error the previous list
// stays in use.
func (w *Owner) readList(ctx context.Context) {
	vms, err := w.o.VMList.List(ctx)
	if err != nil {
		w.metrics.listErrors.Inc()
		return
	}
	byName := func(a, b cluster.VM) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(vms, byName) {
		vms = slices.SortedFunc(slices.Values(vms), byName)
	}
	listed := make(map[string]cluster.VM)
	var names []string
	for _, vm := range vms {
		if vm.Role == cluster.RoleEntry && vm.Name != w.o.Self.Name {
			listed[vm.Name] = vm
			names = append(names, vm.Name)
		}
	}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms, w.listedDaemons = vms, listed
	w.detector.RecordListed(names, now)
	w.detector.Prune(now)
}

// Resolve returns the peer address of a daemon: the one in its join record, or
// else the one on the platform's list.
func (w *Owner) Resolve(daemon string) (address string, ok bool) {
	for _, d := range w.o.State.View().Daemons() {
		if d.Name == daemon && d.PeerAddress != "" {
			return d.PeerAddress, true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.listedDaemons[daemon]
	return vm.Address, ok
}

// Self implements roles.Members.
func (w *Owner) Self() cluster.Daemon { return w.o.Self }

// VMs implements roles.Members. The caller must not change the returned list.
func (w *Owner) VMs() []cluster.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// Live implements roles.Members.
func (w *Owner) Live() []roles.Member {
	view := w.o.State.View()
	joined := w.joinedDaemons(view)
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	live := []roles.Member{{Daemon: w.o.Self, Offset: view.Offset(), Leaving: w.leaving}}
	for _, e := range w.detector.Live(now) {
		live = append(live, roles.Member{
			Daemon: w.describeLocked(e, joined), Offset: e.Heartbeat.Offset,
			Leaving: e.Heartbeat.Leaving || w.listedDaemons[e.Name].Leaving, SinceHeard: now.Sub(e.LastHeard()),
		})
	}
	slices.SortFunc(live, func(a, b roles.Member) int { return strings.Compare(a.Daemon.Name, b.Daemon.Name) })
	return live
}

func (w *Owner) describeLocked(e membership.DaemonStatus, joined daemonIndex) cluster.Daemon {
	if d, ok := joined.byName[e.Name]; ok && d.Incarnation == e.Heartbeat.Incarnation {
		return d
	}
	vm := w.listedDaemons[e.Name]
	return cluster.Daemon{Name: e.Name, Incarnation: e.Heartbeat.Incarnation, Location: vm.Location, PeerAddress: vm.Address}
}

// heartbeatDuty exchanges one heartbeat per interval with every other daemon.
// The daemon with the lower name initiates; the other one does so only if it
// has heard nothing for one and a half intervals.
func (w *Owner) heartbeatDuty(ctx context.Context, turn duty.Heartbeat) error {
	alive := make(map[string]bool)
	for duty.Sleep(ctx, w.timing.HeartbeatInterval) {
		turn()
		targets := w.heartbeatTargets()
		for _, name := range targets {
			w.spawn(func(ctx context.Context) { w.sendHeartbeat(ctx, name) })
		}
		w.logLivenessChanges(alive)
	}
	return nil
}

func (w *Owner) heartbeatTargets() []string {
	joined := w.o.State.View().Daemons()
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.detector.Tick(now) {
		w.o.Events.Log(events.DaemonWasPaused)
	}
	known := make(map[string]bool)
	for name := range w.listedDaemons {
		known[name] = true
	}
	for _, d := range joined {
		known[d.Name] = true
	}
	delete(known, w.o.Self.Name)
	var targets []string
	for name := range known {
		e, _ := w.detector.Get(name)
		initiates := w.o.Self.Name < name || now.Sub(e.LastDirect) > w.timing.HeartbeatInterval+w.timing.HeartbeatInterval/2
		if initiates && w.heartbeatsInFlight[name] < maxHeartbeatsInFlight {
			w.heartbeatsInFlight[name]++
			targets = append(targets, name)
		}
	}
	slices.Sort(targets)
	return targets
}

func (w *Owner) sendHeartbeat(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer heartbeat
	err := w.o.Peers.Call(ctx, name, methodHeartbeat, w.ownHeartbeat(nil), &answer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartbeatsInFlight[name]--
	if err == nil {
		w.applyHeartbeatLocked(name, answer)
	}
}

// ownHeartbeat returns this daemon's heartbeat, with indirect reports on the
// daemons that the other side asked about.
func (w *Owner) ownHeartbeat(asked []string) heartbeat {
	now := w.o.Now()
	h := heartbeat{Incarnation: w.o.Self.Incarnation, Offset: w.o.State.View().Offset()}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Leaving = w.leaving
	h.Missing = w.detector.IndirectProbeTargets(now)
	for _, name := range asked {
		e, ok := w.detector.Get(name)
		if ago := now.Sub(e.LastDirect); ok && ago < w.timing.FailureTimeout {
			h.Heard = append(h.Heard, indirectReport{Name: name, Incarnation: e.Heartbeat.Incarnation, AgoMillis: ago.Milliseconds()})
		}
	}
	return h
}

// applyHeartbeatLocked applies a heartbeat. It ignores indirect reports on
// this daemon, and those with a negative age or one above the failure timeout.
// The caller holds w.mu.
func (w *Owner) applyHeartbeatLocked(name string, h heartbeat) {
	now := w.o.Now()
	if name == w.o.Self.Name {
		return
	}
	w.detector.RecordHeartbeat(name, membership.Heartbeat{Incarnation: h.Incarnation, Offset: h.Offset, Leaving: h.Leaving}, now)
	for _, o := range h.Heard {
		if o.Name == w.o.Self.Name || o.AgoMillis < 0 || o.AgoMillis > w.timing.FailureTimeout.Milliseconds() {
			continue
		}
		w.detector.RecordIndirect(o.Name, o.Incarnation, time.Duration(o.AgoMillis)*time.Millisecond, now)
	}
}

// logLivenessChanges logs which daemons became live or were suspected since
// the last call, and updates logged, the set of daemons logged as live.
func (w *Owner) logLivenessChanges(logged map[string]bool) {
	now := w.o.Now()
	w.mu.Lock()
	live := w.detector.Live(now)
	w.mu.Unlock()
	alive := make(map[string]bool, len(live))
	for _, e := range live {
		alive[e.Name] = true
		if !logged[e.Name] {
			w.o.Events.Log(events.DaemonAlive, "daemon", e.Name, "incarnation", e.Heartbeat.Incarnation)
			logged[e.Name] = true
			w.wakeShares()
		}
	}
	for name := range logged {
		if !alive[name] {
			w.o.Events.Log(events.DaemonSuspected, "daemon", name)
			delete(logged, name)
			w.wakeShares()
		}
	}
}
