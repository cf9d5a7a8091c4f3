package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// Syncs with an owner are this far apart while work waits or moves, and
	// at rest.
	syncBusy = 250 * time.Millisecond
	syncIdle = 2 * time.Second
	// syncHurried is between syncs while a team waits for a round of them.
	syncHurried = 20 * time.Millisecond
	// syncLocal is between syncs with this daemon's own racks.
	syncLocal = 50 * time.Millisecond
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 2 * time.Second
	// askAgain is how long after an unclear answer an ask is repeated.
	askAgain = 250 * time.Millisecond
	// maxItems bounds the items of one call.
	maxItems = 256
)

// link is this daemon's traffic with one owner of racks. It has at most one
// call of each kind under way.
type link struct {
	daemon  string
	syncing bool
	next    time.Time
	// answered is the newest sync that was answered.
	answered uint64
	placing  bool
	placeAt  time.Time
	sequence uint64
	settling bool
	settleAt time.Time
	settles  map[settleKey]settleItem
}

type settleKey struct {
	rack   cluster.Share
	ref    TaskRef
	forget bool
}

func (h *homes) link(daemon string) *link {
	l, ok := h.links[daemon]
	if !ok {
		l = &link{daemon: daemon, settles: make(map[settleKey]settleItem)}
		h.links[daemon] = l
	}
	return l
}

// ownedRacks groups the racks by the daemon that owns them, by name. The
// groups are kept until the view or the list of workers is another.
func (h *homes) ownedRacks() map[string][]*rackInfo {
	view := h.p.o.State.View()
	if h.owned.view == view && h.owned.listed.Equal(h.listed) {
		return h.owned.racks
	}
	h.owned = ownedRacks{view: view, listed: h.listed, racks: h.groupRacks()}
	return h.owned.racks
}

// ownedRacks are the racks by owner, and what they were grouped from.
type ownedRacks struct {
	view   roles.View
	listed time.Time
	racks  map[string][]*rackInfo
}

func (h *homes) groupRacks() map[string][]*rackInfo {
	out := make(map[string][]*rackInfo)
	for share, r := range h.racks {
		if d, ok := h.p.o.Owners.Owner(share); ok {
			out[d.Name] = append(out[d.Name], r)
		}
	}
	return out
}

func (h *homes) busy() bool {
	if h.queue.Len() > 0 || len(h.asks) > 0 || len(h.strangers) > 0 {
		return true
	}
	for _, hm := range h.homes {
		if !hm.collected {
			return true
		}
	}
	return h.moving > 0
}

// syncAll asks every owner of racks for what has changed, when it is due.
func (h *homes) syncAll(now time.Time) {
	if len(h.homes) == 0 {
		return
	}
	busy := h.busy()
	for daemon, racks := range h.ownedRacks() {
		l := h.link(daemon)
		if l.syncing || now.Before(l.next) {
			continue
		}
		l.next = now.Add(syncIdle)
		if busy {
			l.next = now.Add(syncBusy)
		}
		if busy && daemon == h.p.o.Self.Name {
			l.next = now.Add(syncLocal)
		}
		h.sync(l, racks)
	}
}

func (h *homes) sync(l *link, racks []*rackInfo) {
	q := syncRequest{Hungry: h.queue.Counts().InsufficientCapacity > 0, Poison: h.poison()}
	for _, hm := range h.homes {
		q.Homes = append(q.Homes, homeTerm{hm.share, hm.term})
	}
	sort.Slice(q.Homes, func(i, j int) bool { return q.Homes[i].Share.Name < q.Homes[j].Share.Name })
	for _, r := range racks {
		v := rackVersion{Share: r.share, Term: r.term, Book: r.book, Tasks: r.tasks, Doubts: r.doubts}
		r.doubts = nil
		for share := range h.homes {
			if !r.listedFor[share] {
				v.Fresh = append(v.Fresh, share)
			}
		}
		q.Racks = append(q.Racks, v)
	}
	digest := h.digest(racks, q.Racks)
	l.syncing = true
	h.tick++
	sent := h.tick
	h.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := h.p.callSync(ctx, l.daemon, q, digest)
		h.loop.post(func() { h.endSync(l, sent, q, reply, err) })
	})
}

// callSync asks whether anything has changed at all, and only then what. A
// digest of zero asks what at once.
func (p *Placer) callSync(ctx context.Context, daemon string, q syncRequest, digest uint64) (syncReply, error) {
	if digest != 0 {
		short := q
		short.Racks, short.Digest = nil, digest
		reply, err := call(ctx, p, daemon, methodSync, p.racks.serveSync, short)
		if err != nil || reply.Same {
			return reply, err
		}
	}
	return call(ctx, p, daemon, methodSync, p.racks.serveSync, q)
}

func (h *homes) endSync(l *link, sent uint64, q syncRequest, reply syncReply, err error) {
	now := h.p.o.Now()
	l.syncing = false
	if err != nil {
		return
	}
	l.answered = sent
	asked := make(map[cluster.Share]term, len(q.Homes))
	for _, hm := range q.Homes {
		asked[hm.Share] = hm.Term
	}
	if reply.Same {
		h.confirm(q.Racks, sent, now)
	}
	for _, v := range reply.Racks {
		if r, ok := h.racks[v.Share]; ok && !v.Term.before(r.term) {
			h.takeView(r, v, sent, asked, now)
		}
	}
	for _, hm := range h.homes {
		h.collect(hm, now)
	}
	h.noteRound(now)
}

// takeView takes in what one rack's owner reported to the homes asked for.
func (h *homes) takeView(r *rackInfo, v rackView, sent uint64, asked map[cluster.Share]term, now time.Time) {
	if v.Term != r.term {
		r.term = v.Term
		r.listedFor = make(map[cluster.Share]bool)
		r.forgetVersions()
	}
	r.book, r.tasks, r.complete = v.Book, v.Tasks, v.Complete
	for _, w := range v.Workers {
		h.takeWorker(r, w)
	}
	for _, t := range v.Teams {
		h.takeTeam(r, t)
	}
	reported := make(map[TaskRef]bool, len(v.Statuses))
	for _, s := range v.Statuses {
		reported[s.Task] = true
		if hm, ok := h.homes[keyShare(s.Task)]; ok && asked[hm.share] == hm.term {
			h.takeStatus(r, s, now)
		}
	}
	if v.Complete {
		h.takeComplete(r, reported, sent, asked, now)
	}
	for _, ref := range v.Missing {
		if hm, ok := h.homes[keyShare(ref)]; ok && asked[hm.share] == hm.term {
			h.takeMissing(r, ref, sent, now)
		}
	}
}

// takeComplete notes that homes have all of a rack's attempts of theirs, and
// ends the attempts that the rack's new owner does not know. An attempt that
// was accepted after the sync was sent may be missing from it.
func (h *homes) takeComplete(r *rackInfo, reported map[TaskRef]bool, sent uint64, asked map[cluster.Share]term, now time.Time) {
	listed := make(map[*home]bool)
	for share, since := range asked {
		hm, ok := h.homes[share]
		if !ok || hm.term != since || r.listedFor[share] {
			continue
		}
		r.listedFor[share], hm.seen[r.share] = true, true
		listed[hm] = true
	}
	if len(listed) == 0 {
		return
	}
	for _, j := range h.jobs {
		if !listed[j.home] {
			continue
		}
		for _, t := range j.tasks {
			if t.rack == r.share && t.missedBy(sent) && !reported[t.ref()] {
				h.lost(t, taskStatus{Reason: "not_in_inventory"}, now)
			}
		}
	}
}

// forgetVersions lets every view of a new term count.
func (r *rackInfo) forgetVersions() {
	for _, w := range r.workers {
		w.view.Version = 0
	}
	for team, u := range r.teams {
		u.Version = 0
		r.teams[team] = u
	}
}

// orphan has a rack's owner told to stop or forget an attempt.
func (h *homes) orphan(rack cluster.Share, hm *home, ref TaskRef, forget bool) {
	d, ok := h.p.o.Owners.Owner(rack)
	if !ok {
		// The next owner lists the attempt again.
		return
	}
	h.settle(d.Name, settleItem{Rack: rack, Home: hm.share, HomeTerm: hm.term, Task: ref, Forget: forget})
}

func (h *homes) settle(daemon string, item settleItem) {
	h.link(daemon).settles[settleKey{item.Rack, item.Task, item.Forget}] = item
}

func (h *homes) settleAll(now time.Time) {
	for _, l := range h.links {
		if l.settling || len(l.settles) == 0 || now.Before(l.settleAt) {
			continue
		}
		var q settleRequest
		for _, item := range l.settles {
			hm, ok := h.homes[item.Home]
			if !ok || hm.term != item.HomeTerm {
				delete(l.settles, settleKey{item.Rack, item.Task, item.Forget})
				continue
			}
			if len(q.Items) < maxItems && h.may(hm) {
				q.Items = append(q.Items, item)
			}
		}
		if len(q.Items) > 0 {
			h.sendSettles(l, q)
		}
	}
}

func (h *homes) sendSettles(l *link, q settleRequest) {
	l.settling = true
	h.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, h.p, l.daemon, methodSettle, h.p.racks.serveSettle, q)
		h.loop.post(func() { h.endSettles(l, q, reply, err) })
	})
}

func (h *homes) endSettles(l *link, q settleRequest, reply settleReply, err error) {
	l.settling = false
	l.settleAt = h.p.o.Now().Add(askAgain)
	if err != nil {
		return
	}
	again := make(map[int]bool, len(reply.Again))
	for _, i := range reply.Again {
		again[i] = true
	}
	for i, item := range q.Items {
		key := settleKey{item.Rack, item.Task, item.Forget}
		if !again[i] {
			delete(l.settles, key)
			continue
		}
		// The rack may have moved on: send the rest where it is now.
		if d, ok := h.p.o.Owners.Owner(item.Rack); !ok || d.Name != l.daemon {
			delete(l.settles, key)
			if ok {
				h.settle(d.Name, item)
			}
		}
	}
	if len(reply.Again) == 0 {
		l.settleAt = time.Time{}
	}
}

// takeWorker takes in a worker's account unless a newer one is known, and
// wakes jobs that it has room for.
func (h *homes) takeWorker(r *rackInfo, v workerView) {
	w, ok := r.workers[v.Name]
	if !ok {
		w = &workerInfo{}
		r.workers[v.Name] = w
	}
	if v.Version < w.view.Version {
		return
	}
	aside := v.Closed == closedAside && w.view.Closed != closedAside
	w.view = v
	h.putNode(w)
	h.noteSpare(w, h.p.o.Now())
	h.wakeAhead(w)
	if aside {
		h.pardonWorker(v.Name, h.p.o.Now())
	}
	if v.Closed == "" {
		h.queue.WakeForCapacity(v.Free.Sub(w.flight), v.AcceleratorKind, v.Location.Region)
	}
}

// takeTeam takes in what a team uses in one rack.
func (h *homes) takeTeam(r *rackInfo, u teamUse) {
	old := r.teams[u.Team]
	if u.Version < old.Version {
		return
	}
	r.teams[u.Team] = u
	h.charge(u.Team, u.Used.Sub(old.Used))
}

// charge changes what a team uses and lets its jobs take their new place.
func (h *homes) charge(team string, by cluster.Resources) {
	if by.IsZero() {
		return
	}
	h.ledger.Charge(team, by)
	h.queue.UpdateRank(team)
	if by.CPU < 0 || by.Memory < 0 || by.Accelerators < 0 {
		h.queue.WakeTeam(team)
	}
}

func isUnclear(err error) bool { return verdict.Of(err) != verdict.NotRun }
