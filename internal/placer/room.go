package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/preempt"
)

const (
	// urgentGrace is how long a victim may take over its checkpoint.
	urgentGrace = 600 * time.Millisecond
	// urgentEvery is how often a worker is read while it makes room.
	urgentEvery = 50 * time.Millisecond
	// roomTimeout bounds how long an attempt waits for its victims to end.
	roomTimeout = 10 * time.Second
	// protectedFor is how long a service whose home refused is left alone.
	protectedFor = 5 * time.Second
	// offersARack bounds the workers that one rack offers.
	offersARack = 4
)

// reasonVictimProtected ends an attempt whose victim's home refused.
const reasonVictimProtected = "victim_protected"

// serveQuote answers what it would cost to make room in this daemon's racks.
func (rs *racks) serveQuote(ctx context.Context, q quoteRequest) (quoteReply, error) {
	return query(ctx, rs.loop, func() quoteReply { return rs.quote(q, rs.p.o.Now()) })
}

func (rs *racks) quote(q quoteRequest, now time.Time) quoteReply {
	var reply quoteReply
	for share, r := range rs.shares {
		if _, _, ok := rs.owned(share); !ok {
			continue
		}
		var offers []offer
		for name, w := range r.workers {
			if v, ok := r.victims(w, q.Need, q.Kind, q.Regions, q.Terms, now); ok {
				offers = append(offers, offer{Rack: share, Worker: name, Cost: v.Cost})
			}
		}
		sortOffers(offers)
		reply.Offers = append(reply.Offers, offers[:min(len(offers), offersARack)]...)
	}
	sortOffers(reply.Offers)
	return reply
}

func sortOffers(offers []offer) {
	sort.Slice(offers, func(i, j int) bool {
		if offers[i].Cost != offers[j].Cost {
			return offers[i].Cost < offers[j].Cost
		}
		return offers[i].Worker < offers[j].Worker
	})
}

// victims chooses what would have to stop on one worker.
func (r *rack) victims(w *worker, need cluster.Resources, kind string, regions []string, t preemptTerms, now time.Time) (preempt.Victims, bool) {
	account, ok := r.book.Worker(w.vm.Name)
	if !ok || account.Closed != "" {
		return preempt.Victims{}, false
	}
	d := pipeline.Demand{Resources: need, AcceleratorKind: kind, Regions: regions}
	if !d.Matches(account.Location.Region, account.AcceleratorKind) || !need.Fits(account.Capacity) {
		return preempt.Victims{}, false
	}
	borrows := make(map[string]bool, len(t.Borrowers))
	for _, team := range t.Borrowers {
		borrows[team] = true
	}
	soon := account.Capacity.Sub(account.Used).Sub(account.Nominated)
	var candidates []preempt.Candidate
	for _, a := range sortedAttempts(w.attempts) {
		switch {
		case a.held || a.state.dead():
		case a.stopAsked || !a.stopAt.IsZero():
			soon = soon.Add(a.request.Resources)
		case now.Before(a.protectedTill) || a.state == attemptUnknown:
		default:
			candidates = append(candidates, a.candidate(borrows, now))
		}
	}
	return preempt.Choose(need, soon, candidates, preempt.Preemptor{Priority: t.Priority, Reclaims: t.Reclaims})
}

func (a *attempt) candidate(borrows map[string]bool, now time.Time) preempt.Candidate {
	l := a.request.Labels
	unsaved := a.report.RunTime
	if !a.savedAt.IsZero() {
		unsaved = now.Sub(a.savedAt)
	}
	return preempt.Candidate{
		ID: a.id, Resources: a.request.Resources, Class: classOf(l), Priority: priorityOf(l),
		Checkpointable: l.Checkpoints, SinceCheckpoint: unsaved, Borrows: borrows[l.Team],
	}
}

// makeRoom accepts an attempt that has no room yet: its victims are stopped,
// and what they leave is promised to it.
func (r *rack) makeRoom(item placeItem, now time.Time) placeResult {
	w := r.workers[item.Worker]
	v, ok := r.victims(w, item.Resources, item.AcceleratorKind, nil, *item.Preempt, now)
	if !ok {
		return r.answer(item, &book.RefusedError{Reason: book.InsufficientCapacity})
	}
	id := idOf(item.Task)
	promise := book.Nomination{Worker: item.Worker, Job: id.Job, Index: id.Index, Team: item.Labels.Team, Resources: item.Resources}
	if err := r.book.Nominate(promise); err != nil {
		return r.answer(item, err)
	}
	a := r.newAttempt(item)
	a.waitsRoom, a.roomTill = true, now.Add(roomTimeout)
	r.add(a)
	r.waiting[id] = a
	if len(v.Services) == 0 {
		r.stopVictims(v.IDs, now)
		return r.answer(item, nil)
	}
	a.grants = len(v.Services)
	for _, victim := range v.Services {
		r.askLeave(a, r.attempts[victim], v.IDs)
	}
	return r.answer(item, nil)
}

func (r *rack) stopVictims(ids []book.ID, now time.Time) {
	for _, id := range ids {
		v, ok := r.attempts[id]
		if !ok || v.state.dead() || v.stopAsked {
			continue
		}
		v.preempted = true
		r.rs.p.metrics.preempted.Inc()
		r.rs.p.o.Events.Log(events.TaskPreempted, "job", v.ref.JobID, "index", v.ref.Index, "attempt", v.ref.Attempt, "worker", v.worker)
		r.stop(v, true, now)
		if !v.stopAsked && !v.stopAt.IsZero() {
			v.stopAt = now.Add(urgentGrace)
		}
	}
}

// askLeave asks a service's home whether its budget allows one task less.
func (r *rack) askLeave(a, victim *attempt, victims []book.ID) {
	d, ok := r.rs.p.o.Owners.Owner(victim.home)
	if !ok {
		r.refuseRoom(a, reasonVictimProtected)
		return
	}
	q := leaveRequest{Task: victim.ref}
	r.rs.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, r.rs.p, d.Name, methodLeave, r.rs.p.homes.serveLeave, q)
		granted := err == nil && reply.Granted
		r.rs.loop.post(func() { r.endLeave(a, victim, victims, granted) })
	})
}

func (r *rack) endLeave(a, victim *attempt, victims []book.ID, granted bool) {
	now := r.rs.p.o.Now()
	if r.rs.shares[r.share] != r || r.waiting[a.id] != a {
		return
	}
	if !granted {
		victim.protectedTill = now.Add(protectedFor)
		r.refuseRoom(a, reasonVictimProtected)
		return
	}
	if a.grants--; a.grants == 0 {
		r.stopVictims(victims, now)
	}
}

// refuseRoom ends an attempt that still waits for room; it never ran.
func (r *rack) refuseRoom(a *attempt, reason string) {
	delete(r.waiting, a.id)
	r.book.RemoveNomination(a.worker, a.id.Job, a.id.Index)
	a.waitsRoom, a.held = false, false
	a.reason = reason
	r.setState(a, attemptNotStarted)
}

// takeRoom starts the attempts whose victims have ended.
func (r *rack) takeRoom(now time.Time) {
	for _, a := range r.waiting {
		if _, err := r.book.Reserve(r.entry(a.item, now)); err != nil {
			if now.After(a.roomTill) {
				r.refuseRoom(a, "no_room_in_time")
			}
			continue
		}
		delete(r.waiting, a.id)
		a.waitsRoom = false
		r.commit(a.item, now)
	}
}

// serveLeave decides whether a service's task may be stopped for others.
func (h *homes) serveLeave(ctx context.Context, q leaveRequest) (leaveReply, error) {
	return query(ctx, h.loop, func() leaveReply { return leaveReply{Granted: h.grantLeave(q, h.p.o.Now())} })
}

func (h *homes) grantLeave(q leaveRequest, now time.Time) bool {
	j, ok := h.jobs[q.Task.JobID]
	if !ok || q.Task.Index >= len(j.tasks) || !h.may(j.home) || !j.mayDisturb(now) {
		return false
	}
	t := j.tasks[q.Task.Index]
	if t.ref() != q.Task || t.state != taskRunning {
		return false
	}
	t.leaveTill = now.Add(roomTimeout)
	return true
}
