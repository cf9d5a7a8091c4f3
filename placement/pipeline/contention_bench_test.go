package pipeline_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// contentionLink is the one-way delay between daemons, contentionSync the
// interval of a home's synchronization with the owners, and contentionRun the
// simulated time.
const (
	contentionLink = 12 * time.Millisecond
	contentionSync = 250 * time.Millisecond
	contentionRun  = 20 * time.Second
)

// contentionSim simulates several homes that place tasks on one book. Each home
// decides on a view that is as old as its last synchronization and answers.
type contentionSim struct {
	strategy
	owner  map[string]*simHome
	rng    *rand.Rand
	book   *book.Book
	homes  []*simHome
	events eventHeap
	now    time.Duration
	next   int

	requested, refused, noRoom int
	staleness                  time.Duration
	wait                       time.Duration
	placed                     int
}

// strategy selects the measures against conflicts between homes.
type strategy struct {
	// trackInFlight subtracts a home's unanswered requests from its view.
	trackInFlight bool
	// localFirst tries the workers first that the home's own daemon owns,
	// directly on their book.
	localFirst bool
	// redirect lets an owner place a refused task on another of its workers.
	redirect bool
}

type simHome struct {
	n     int
	index *pipeline.Index
	pipe  *pipeline.Pipeline
	// owned holds the workers that the same daemon owns.
	owned     *pipeline.Index
	ownedPipe *pipeline.Pipeline
	inFlight  map[string]cluster.Resources
	// syncedVersion is the book's version at the last synchronization, which was
	// read at syncedAt.
	syncedVersion uint64
	syncedAt      time.Duration
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (c *contentionSim) after(d time.Duration, do func()) {
	c.next++
	heap.Push(&c.events, event{c.now + d, c.next, do})
}

// newContentionSim fills the design cell to full percent and synchronizes the
// homes.
func newContentionSim(seed uint64, homes, full int, w strategy) *contentionSim {
	c := &contentionSim{strategy: w, rng: rand.New(rand.NewPCG(seed, 8)), book: book.New(), owner: make(map[string]*simHome)}
	for i := range designWorkers {
		n := designNode(i)
		_ = c.book.PutWorker(n.Name, n.Location, n.Capacity, n.AcceleratorKind)
		used := cluster.Resources{CPU: n.Capacity.CPU * int64(full) / 100, Memory: n.Capacity.Memory * int64(full) / 100}
		_, _ = c.book.Reserve(book.Entry{ID: book.ID{Job: n.Name}, Worker: n.Name, Resources: used})
		_ = c.book.Commit(book.ID{Job: n.Name}, time.Time{})
	}
	for i := range homes {
		h := &simHome{n: i, index: pipeline.NewIndex(seed*100 + uint64(i)), owned: pipeline.NewIndex(seed*100 + uint64(i)), inFlight: make(map[string]cluster.Resources)}
		h.pipe, _ = pipeline.New(h.index, pipeline.DefaultPolicies(), seed*100+uint64(i))
		h.ownedPipe, _ = pipeline.New(h.owned, pipeline.DefaultPolicies(), seed*100+uint64(i))
		c.homes = append(c.homes, h)
	}
	for i := range designWorkers {
		name := designNode(i).Name
		c.owner[name] = c.homes[i/8%homes]
		c.refreshOwned(name)
	}
	for _, h := range c.homes {
		c.applySync(h, c.book.Workers(0), c.book.Version())
		c.after(time.Duration(c.rng.Int64N(int64(contentionSync))), func() { c.sync(h) })
	}
	return c
}

// sync reads the book now and applies the result one link delay later.
func (c *contentionSim) sync(h *simHome) {
	changed, version, at := c.book.Workers(h.syncedVersion), c.book.Version(), c.now
	c.after(contentionLink, func() {
		c.applySync(h, changed, version)
		h.syncedAt = at
	})
	c.after(contentionSync, func() { c.sync(h) })
}

func (c *contentionSim) applySync(h *simHome, workers []book.Worker, version uint64) {
	for _, w := range workers {
		free := w.Free()
		if c.trackInFlight {
			free = free.Sub(h.inFlight[w.Name])
		}
		h.index.Put(pipeline.Node{Name: w.Name, Location: w.Location, Capacity: w.Capacity, AcceleratorKind: w.AcceleratorKind, Free: free})
	}
	h.syncedVersion = version
}

// refreshOwned updates a worker in its owner's own index.
func (c *contentionSim) refreshOwned(name string) {
	w, _ := c.book.Worker(name)
	c.owner[name].owned.Put(pipeline.Node{Name: w.Name, Location: w.Location, Capacity: w.Capacity, AcceleratorKind: w.AcceleratorKind, Free: w.Free()})
}

// reserve is the owner's side of a reservation.
func (c *contentionSim) reserve(id int, worker string, r cluster.Resources) bool {
	e := book.Entry{ID: book.ID{Job: fmt.Sprint(id)}, Worker: worker, Resources: r}
	if _, err := c.book.Reserve(e); err != nil {
		return false
	}
	_ = c.book.Commit(e.ID, time.Time{})
	c.refreshOwned(worker)
	c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(6*time.Second))), func() {
		c.book.Release(e.ID)
		c.refreshOwned(worker)
	})
	return true
}

// place decides on the home's view, sends the request to the owner with one link
// delay, and retries after a refusal with the state that the answer reports.
func (c *contentionSim) place(h *simHome, id int, d *pipeline.Demand, since time.Duration) {
	if c.localFirst {
		if choice, ok := h.ownedPipe.Decide(d); ok && c.reserve(id, choice.Worker, d.Resources) {
			c.requested++
			c.placed++
			c.wait += c.now - since
			return
		}
	}
	choice, ok := h.pipe.Decide(d)
	if !ok {
		c.noRoom++
		return
	}
	h.index.Allocate(choice.Worker, d.Resources)
	h.inFlight[choice.Worker] = h.inFlight[choice.Worker].Add(d.Resources)
	c.requested++
	c.staleness += c.now - h.syncedAt
	c.after(contentionLink, func() {
		ok := c.reserve(id, choice.Worker, d.Resources)
		if o := c.owner[choice.Worker]; !ok && c.redirect {
			if instead, found := o.ownedPipe.Decide(d); found {
				ok = c.reserve(id, instead.Worker, d.Resources)
			}
		}
		w, _ := c.book.Worker(choice.Worker)
		c.after(contentionLink, func() {
			h.inFlight[choice.Worker] = h.inFlight[choice.Worker].Sub(d.Resources)
			c.applySync(h, []book.Worker{w}, h.syncedVersion)
			if !ok {
				c.refused++
				c.place(h, id, d, since)
				return
			}
			c.placed++
			c.wait += c.now - since
		})
	})
}

func (c *contentionSim) run(rate int, mix []pipeline.Demand) {
	id := 0
	var arrive func()
	arrive = func() {
		h := c.homes[c.rng.IntN(len(c.homes))]
		id++
		c.place(h, id, &mix[c.rng.IntN(len(mix))], c.now)
		c.after(time.Duration(c.rng.ExpFloat64()*float64(time.Second)/float64(rate)), arrive)
	}
	c.after(0, arrive)
	for c.now < contentionRun {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

// BenchmarkContention measures conflicts, which are refusals by the owner, as
// the number of homes and the arrival rate grow, on a cell that is 90% full.
func BenchmarkContention(b *testing.B) {
	all := []struct {
		name string
		ways strategy
	}{
		{"none", strategy{}}, {"flight", strategy{trackInFlight: true}}, {"other", strategy{trackInFlight: true, redirect: true}},
		{"local", strategy{trackInFlight: true, localFirst: true}}, {"local+other", strategy{trackInFlight: true, localFirst: true, redirect: true}},
	}
	for _, w := range all {
		for _, homes := range []int{1, 3, 9} {
			for _, rate := range []int{230, 2000} {
				b.Run(fmt.Sprintf("%s/homes=%d/rate=%d", w.name, homes, rate), func(b *testing.B) {
					benchmarkContention(b, homes, rate, w.ways)
				})
			}
		}
	}
}

func benchmarkContention(b *testing.B, homes, rate int, w strategy) {
	for range b.N {
		c := newContentionSim(1, homes, 90, w)
		mix := mixedDemands(c.rng, 200)
		for i := range mix {
			mix[i].Class, mix[i].Spread = document.ClassBatch, document.SpreadNone
			mix[i].Resources = amount(100+mix[i].Resources.CPU/8, 100<<20+mix[i].Resources.Memory/16, 0)
			mix[i].AcceleratorKind = ""
		}
		c.run(rate, mix)
		b.ReportMetric(100*float64(c.refused)/float64(c.requested), "conflicts-%")
		b.ReportMetric(float64(c.staleness.Microseconds())/1e3/float64(c.requested), "view-age-ms")
		b.ReportMetric(float64(c.wait.Microseconds())/1e3/float64(max(c.placed, 1)), "wait-ms")
		b.ReportMetric(float64(c.placed), "placed")
		b.ReportMetric(float64(c.noRoom), "no-room")
	}
}
