package scheduler

// drainingCores says how many cores of a service work off its queue.
type drainingCores struct {
	// usable are the cores on which tasks may be placed now or once their servers have
	// answered this owner, draining those that work off the queue, and free those on which
	// nothing is known to run.
	usable, draining, free float64
}

// drainingCores returns how many cores of a service work off its queue: those in
// use, since capacity that no task of the queue fits on does not help. A server that has not
// answered this owner yet counts in full: it either works already or is free.
func (c *Core) drainingCores(service string) drainingCores {
	var used, known, unanswered float64
	for _, s := range c.servers {
		if s.info.Service != service {
			continue
		}
		switch {
		case s.usable(c.now):
			known += cores(s.info.Capacity.CPU)
			used += cores(s.info.Capacity.CPU - s.free.CPU)
		case !s.synced && s.capable(c.now):
			unanswered += cores(s.info.Capacity.CPU)
		}
	}
	if known == 0 {
		// Nothing is known about the service that could refuse a submission.
		return drainingCores{}
	}
	draining := max(used, minDrainFraction*known)
	return drainingCores{usable: known + unanswered, draining: draining + unanswered, free: known - draining + unanswered}
}
