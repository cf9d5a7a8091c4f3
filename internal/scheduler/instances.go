package scheduler

// serverInstance identifies one instance of a server.
type serverInstance struct {
	id          string
	startedAtMS int64
}

// instanceNumbers numbers the instances of the servers, from 0 on without gaps, so that
// steps can keep the policy service's decisions in lists. A number whose instance is gone is
// assigned again; the numbers stay below the largest number of servers at one time.
type instanceNumbers struct {
	next int
	free []int
}

// take returns a number that no instance has.
func (n *instanceNumbers) take() int {
	if last := len(n.free) - 1; last >= 0 {
		number := n.free[last]
		n.free = n.free[:last]
		return number
	}
	n.next++
	return n.next - 1
}

// numberInstance assigns a number to the instance that the server's entry describes, in
// place of the one before.
func (c *Core) numberInstance(s *server) {
	instance := serverInstance{s.info.ID, s.info.StartedAtMS}
	if s.numbered == instance {
		return
	}
	c.releaseNumber(s)
	s.numbered, s.instanceNumber = instance, c.numbers.take()
}

// releaseNumber makes the number of a server's instance available to others. All steps forget
// the decision under it, which would otherwise count for the next instance with that number.
func (c *Core) releaseNumber(s *server) {
	if s.numbered == (serverInstance{}) {
		return
	}
	for _, j := range c.jobs {
		j.forgetDecisions(s.instanceNumber)
	}
	for _, d := range c.departures {
		// The log may reject the handover, and the job stay.
		d.job.forgetDecisions(s.instanceNumber)
	}
	c.numbers.free = append(c.numbers.free, s.instanceNumber)
	s.numbered = serverInstance{}
}

// forgetDecisions drops the decisions of all steps about the instance with a number.
func (j *job) forgetDecisions(number int) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			st.authorization.forget(number)
		}
	}
}

// forget drops the decision about the instance with a number.
func (a *authorization) forget(number int) {
	if number < len(a.decisions) {
		a.decisions[number] = undecided
	}
}
