package scheduler

import "github.com/currantwinch/currantwinch/workload"

// Callers choose the IDs of submissions, and servers know tasks by the ID alone. A partition
// has one submission of an ID at a time. A call reaches it only through the queue, and for the
// tenant, that submitted it.

// identity is what a call must name to reach a submission, beside its ID.
type identity struct {
	// address is that of the queue, and tenant who submitted; empty if that is not known,
	// which any call may be for.
	address workload.QueueAddress
	tenant  string
}

func identityOf(sub *workload.Submission) identity { return identity{sub.Address, sub.Tenant} }

// matches reports whether a call that names another identity may be about the same submission.
func (i identity) matches(o identity) bool {
	return i.address.Is(o.address) && workload.VisibleTo(i.tenant, o.tenant)
}

// identityAt returns the identity of the submission of an ID that this partition holds, hands
// over, has completed or has passed on, or false if there is none.
func (c *Core) identityAt(id string) (identity, bool) {
	if f, ok := c.finalStates[id]; ok {
		return identity{f.Address, f.Tenant}, true
	}
	if j := c.jobs[id]; j != nil {
		return identityOf(j.sub), true
	}
	if d := c.departures[id]; d != nil {
		return identityOf(d.job.sub), true
	}
	if f, ok := c.forwards[id]; ok {
		return identity{address: f.Address}, true
	}
	return identity{}, false
}

// taken reports whether this partition has the ID for another submission than one of the given
// identity.
func (c *Core) taken(id string, by identity) bool {
	known, ok := c.identityAt(id)
	return ok && !known.matches(by)
}

// idTaken is the reply to a submission whose ID this partition has for another one.
func idTaken() Reply { return Reply{Outcome: OutcomeConflict, Reason: "id_taken"} }

// mayAccess reports whether a call may reach a submission. If not, it replies that there is
// none.
func (c *Core) mayAccess(ref workload.Reference, reply func(Reply)) bool {
	if !c.taken(ref.ID, identity{ref.Address, ref.Tenant}) {
		return true
	}
	c.reply(reply, Reply{Outcome: OutcomeNotFound})
	return false
}
