package scheduler

import (
	"sort"
	"time"
)

// backlog is the work that is placed before a new submission.
type backlog struct {
	// tasks counts the tasks without an attempt, and cpuTime is their expected
	// time on one core.
	tasks   int
	cpuTime time.Duration
}

func (b *backlog) add(o backlog) {
	b.tasks += o.tasks
	b.cpuTime += o.cpuTime
}

// workOf returns what n unplaced tasks of a step add to the backlog.
func workOf(st *step, n int) backlog {
	return backlog{tasks: n, cpuTime: time.Duration(float64(n) * cores(st.spec.Reserved().CPU) * float64(st.expectedRunTime()))}
}

// backlogIndex finds the work that is placed before a submission without a scan of the whole
// queue. It is rebuilt for the first submission after the queue was sorted, and also counts
// the steps that were queued since.
type backlogIndex struct {
	// stale is set if the queue was sorted since the index was renewed.
	stale    bool
	services map[backlogKey]*serviceBacklog
	// recent are the steps that were queued since the index was renewed.
	recent []*step
}

// backlogKey names a queue of steps: those of a service, or those in a service of a tenant
// whose cap holds back its starts.
type backlogKey struct{ service, tenant string }

// serviceBacklog holds the queued steps of a service in placement order.
type serviceBacklog struct {
	orders []placementOrder
	// sums holds, for each step, its work and that of all before it.
	sums []backlog
}

// maxRecentSteps is how many steps may be queued before the index is renewed without a
// placement pass, beyond as many as it holds.
const maxRecentSteps = 256

// append adds the next step in placement order.
func (s *serviceBacklog) append(order placementOrder, work backlog) {
	if n := len(s.sums); n > 0 {
		work.add(s.sums[n-1])
	}
	s.orders, s.sums = append(s.orders, order), append(s.sums, work)
}

// before returns the work of the steps that come no later than order.
func (s *serviceBacklog) before(order placementOrder) backlog {
	n := sort.Search(len(s.orders), func(i int) bool { return s.orders[i].compare(order) > 0 })
	if n == 0 {
		return backlog{}
	}
	return s.sums[n-1]
}

// queueSorted notes that the queue was sorted and holds no step without tasks to place.
func (x *backlogIndex) queueSorted() {
	x.stale = true
	clear(x.recent)
	x.recent = x.recent[:0]
}

// indexBacklog renews the index from the steps that were queued when the queue was sorted.
func (c *Core) indexBacklog() {
	x := &c.backlog
	x.stale = false
	if x.services == nil {
		x.services = make(map[backlogKey]*serviceBacklog)
	}
	for _, s := range x.services {
		s.orders, s.sums = s.orders[:0], s.sums[:0]
	}
	for _, st := range c.queued[:len(c.queued)-len(x.recent)] {
		key := c.tenants.backlogKey(st.job())
		if x.services[key] == nil {
			x.services[key] = &serviceBacklog{}
		}
		if st.job().ending == "" {
			x.services[key].append(c.placementOrderOf(st), workOf(st, st.unplacedTasks()))
		}
	}
}

// backlogBefore returns the work of the same service that is placed before a job, but for
// that of tenants whose caps hold it back.
func (c *Core) backlogBefore(j *job) backlog {
	return c.backlogIn(backlogKey{service: j.sub.Service}, j)
}

// backlogIn returns the work of a queue that is placed before a job.
func (c *Core) backlogIn(key backlogKey, j *job) backlog {
	x := &c.backlog
	if indexed := len(c.queued) - len(x.recent); len(x.recent) > maxRecentSteps+indexed {
		c.sortQueue()
	}
	if x.stale {
		c.indexBacklog()
	}
	order := c.orderOf(j)
	var b backlog
	if s := x.services[key]; s != nil {
		b = s.before(order)
	}
	for _, st := range x.recent {
		if st.job().ending == "" && c.tenants.backlogKey(st.job()) == key && c.placementOrderOf(st).compare(order) <= 0 {
			b.add(workOf(st, st.unplacedTasks()))
		}
	}
	return b
}
