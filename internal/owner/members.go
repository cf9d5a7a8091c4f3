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

// maxBeating bounds the heartbeats to one daemon that wait for an answer.
const maxBeating = 8

func (w *Owner) listDuty(ctx context.Context, turn duty.Turn) error {
	for duty.Sleep(ctx, listInterval) {
		turn()
		listCtx, cancel := context.WithTimeout(ctx, listInterval)
		w.readList(listCtx)
		cancel()
	}
	return nil
}

// readList takes over the platform's list. An error keeps the last one.
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
	w.vms, w.listed = vms, listed
	w.table.RecordListed(names, now)
	w.table.Prune(now)
}

// Resolve returns the peer address of a daemon: that of its join, or else that
// of the platform's list.
func (w *Owner) Resolve(daemon string) (address string, ok bool) {
	for _, d := range w.o.State.View().Daemons() {
		if d.Name == daemon && d.PeerAddress != "" {
			return d.PeerAddress, true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.listed[daemon]
	return vm.Address, ok
}

// Self implements roles.Members.
func (w *Owner) Self() cluster.Daemon { return w.o.Self }

// VMs implements roles.Members. The list must not be changed.
func (w *Owner) VMs() []cluster.VM {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

// Live implements roles.Members.
func (w *Owner) Live() []roles.Member {
	view := w.o.State.View()
	joined := w.daemonsOf(view)
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	live := []roles.Member{{Daemon: w.o.Self, Offset: view.Offset(), Leaving: w.leaving}}
	for _, e := range w.table.Live(now) {
		live = append(live, roles.Member{
			Daemon: w.describeLocked(e, joined), Offset: e.Heartbeat.Offset,
			Leaving: e.Heartbeat.Leaving || w.listed[e.Name].Leaving, SinceHeard: now.Sub(e.LastHeard()),
		})
	}
	slices.SortFunc(live, func(a, b roles.Member) int { return strings.Compare(a.Daemon.Name, b.Daemon.Name) })
	return live
}

func (w *Owner) describeLocked(e membership.DaemonStatus, joined daemons) cluster.Daemon {
	if d, ok := joined.byName[e.Name]; ok && d.Incarnation == e.Heartbeat.Incarnation {
		return d
	}
	vm := w.listed[e.Name]
	return cluster.Daemon{Name: e.Name, Incarnation: e.Heartbeat.Incarnation, Location: vm.Location, PeerAddress: vm.Address}
}

// heartbeatDuty keeps one exchange an interval going with every other daemon.
// The one with the lower name begins; the other only does if that stays away.
func (w *Owner) heartbeatDuty(ctx context.Context, turn duty.Turn) error {
	alive := make(map[string]bool)
	for duty.Sleep(ctx, w.timing.HeartbeatInterval) {
		turn()
		targets := w.heartbeatTargets()
		for _, name := range targets {
			w.spawn(func(ctx context.Context) { w.beat(ctx, name) })
		}
		w.reportAlive(alive)
	}
	return nil
}

func (w *Owner) heartbeatTargets() []string {
	joined := w.o.State.View().Daemons()
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table.Tick(now) {
		w.o.Events.Log(events.DaemonWasPaused)
	}
	known := make(map[string]bool)
	for name := range w.listed {
		known[name] = true
	}
	for _, d := range joined {
		known[d.Name] = true
	}
	delete(known, w.o.Self.Name)
	var targets []string
	for name := range known {
		e, _ := w.table.Get(name)
		begins := w.o.Self.Name < name || now.Sub(e.LastDirect) > w.timing.HeartbeatInterval+w.timing.HeartbeatInterval/2
		if begins && w.beating[name] < maxBeating {
			w.beating[name]++
			targets = append(targets, name)
		}
	}
	slices.Sort(targets)
	return targets
}

func (w *Owner) beat(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer heartbeat
	err := w.o.Peers.Call(ctx, name, methodHeartbeat, w.ownHeartbeat(nil), &answer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beating[name]--
	if err == nil {
		w.hearLocked(name, answer)
	}
}

// ownHeartbeat describes this daemon, and what it heard of those that the
// other side misses.
func (w *Owner) ownHeartbeat(asked []string) heartbeat {
	now := w.o.Now()
	h := heartbeat{Incarnation: w.o.Self.Incarnation, Offset: w.o.State.View().Offset()}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Leaving = w.leaving
	h.Missing = w.table.IndirectProbeTargets(now)
	for _, name := range asked {
		e, ok := w.table.Get(name)
		if ago := now.Sub(e.LastDirect); ok && ago < w.timing.FailureTimeout {
			h.Heard = append(h.Heard, heardOf{Name: name, Incarnation: e.Heartbeat.Incarnation, AgoMillis: ago.Milliseconds()})
		}
	}
	return h
}

// hearLocked takes a heartbeat. What is said of this daemon's own name counts
// for nothing, since it knows best, and nobody is heard of from the future.
func (w *Owner) hearLocked(name string, h heartbeat) {
	now := w.o.Now()
	if name == w.o.Self.Name {
		return
	}
	w.table.RecordHeartbeat(name, membership.Heartbeat{Incarnation: h.Incarnation, Offset: h.Offset, Leaving: h.Leaving}, now)
	for _, o := range h.Heard {
		if o.Name == w.o.Self.Name || o.AgoMillis < 0 || o.AgoMillis > w.timing.FailureTimeout.Milliseconds() {
			continue
		}
		w.table.RecordIndirect(o.Name, o.Incarnation, time.Duration(o.AgoMillis)*time.Millisecond, now)
	}
}

// reportAlive logs the changes since it was last called.
func (w *Owner) reportAlive(before map[string]bool) {
	now := w.o.Now()
	w.mu.Lock()
	live := w.table.Live(now)
	w.mu.Unlock()
	is := make(map[string]bool, len(live))
	for _, e := range live {
		is[e.Name] = true
		if !before[e.Name] {
			w.o.Events.Log(events.DaemonAlive, "daemon", e.Name, "incarnation", e.Heartbeat.Incarnation)
			before[e.Name] = true
			w.poke()
		}
	}
	for name := range before {
		if !is[name] {
			w.o.Events.Log(events.DaemonSuspected, "daemon", name)
			delete(before, name)
			w.poke()
		}
	}
}
