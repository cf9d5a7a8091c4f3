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

// The links and the syncs between daemons.
const (
	contentionLink = 12 * time.Millisecond
	contentionSync = 250 * time.Millisecond
	contentionRun  = 20 * time.Second
)

// contention is several homes that place on one set of books, each on a view
// that is as old as its last sync and answers.
type contention struct {
	ways
	owner  map[string]*contender
	rng    *rand.Rand
	book   *book.Book
	homes  []*contender
	events eventHeap
	now    time.Duration
	next   int

	asked, refused, lost int
	staleness            time.Duration
	wait                 time.Duration
	placed               int
}

// ways are how homes keep out of each other's way.
type ways struct {
	// flight keeps a home's own asks out of its view until they are answered.
	flight bool
	// local tries first the workers whose owner is the home's own daemon, on
	// their book itself.
	local bool
	// other lets an owner put a task on another of its workers.
	other bool
}

type contender struct {
	n     int
	index *pipeline.Index
	pipe  *pipeline.Pipeline
	// mine are the workers that the same daemon owns.
	mine     *pipeline.Index
	minePipe *pipeline.Pipeline
	flight   map[string]cluster.Resources
	// seen is the book's version as last synced, at when.
	seen uint64
	at   time.Duration
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

func (c *contention) after(d time.Duration, do func()) {
	c.next++
	heap.Push(&c.events, event{c.now + d, c.next, do})
}

// newContention fills the design cell to part in percent and lets homes see
// it.
func newContention(seed uint64, homes, full int, w ways) *contention {
	c := &contention{ways: w, rng: rand.New(rand.NewPCG(seed, 8)), book: book.New(), owner: make(map[string]*contender)}
	for i := range designWorkers {
		n := designNode(i)
		_ = c.book.PutWorker(n.Name, n.Location, n.Capacity, n.AcceleratorKind)
		used := cluster.Resources{CPU: n.Capacity.CPU * int64(full) / 100, Memory: n.Capacity.Memory * int64(full) / 100}
		_, _ = c.book.Reserve(book.Entry{ID: book.ID{Job: n.Name}, Worker: n.Name, Resources: used})
		_ = c.book.Commit(book.ID{Job: n.Name}, time.Time{})
	}
	for i := range homes {
		h := &contender{n: i, index: pipeline.NewIndex(seed*100 + uint64(i)), mine: pipeline.NewIndex(seed*100 + uint64(i)), flight: make(map[string]cluster.Resources)}
		h.pipe, _ = pipeline.New(h.index, pipeline.DefaultPolicies(), seed*100+uint64(i))
		h.minePipe, _ = pipeline.New(h.mine, pipeline.DefaultPolicies(), seed*100+uint64(i))
		c.homes = append(c.homes, h)
	}
	for i := range designWorkers {
		name := designNode(i).Name
		c.owner[name] = c.homes[i/8%homes]
		c.touch(name)
	}
	for _, h := range c.homes {
		c.syncOnce(h, c.book.Workers(0), c.book.Version())
		c.after(time.Duration(c.rng.Int64N(int64(contentionSync))), func() { c.sync(h) })
	}
	return c
}

// sync reads the book now and takes it in a link later.
func (c *contention) sync(h *contender) {
	changed, version, at := c.book.Workers(h.seen), c.book.Version(), c.now
	c.after(contentionLink, func() {
		c.syncOnce(h, changed, version)
		h.at = at
	})
	c.after(contentionSync, func() { c.sync(h) })
}

func (c *contention) syncOnce(h *contender, workers []book.Worker, version uint64) {
	for _, w := range workers {
		free := w.Free()
		if c.flight {
			free = free.Sub(h.flight[w.Name])
		}
		h.index.Put(pipeline.Node{Name: w.Name, Location: w.Location, Capacity: w.Capacity, AcceleratorKind: w.AcceleratorKind, Free: free})
	}
	h.seen = version
}

// touch keeps the owner's own index of its workers.
func (c *contention) touch(name string) {
	w, _ := c.book.Worker(name)
	c.owner[name].mine.Put(pipeline.Node{Name: w.Name, Location: w.Location, Capacity: w.Capacity, AcceleratorKind: w.AcceleratorKind, Free: w.Free()})
}

// reserve is the owner's part.
func (c *contention) reserve(id int, worker string, r cluster.Resources) bool {
	e := book.Entry{ID: book.ID{Job: fmt.Sprint(id)}, Worker: worker, Resources: r}
	if _, err := c.book.Reserve(e); err != nil {
		return false
	}
	_ = c.book.Commit(e.ID, time.Time{})
	c.touch(worker)
	c.after(2*time.Second+time.Duration(c.rng.Int64N(int64(6*time.Second))), func() {
		c.book.Release(e.ID)
		c.touch(worker)
	})
	return true
}

// place decides on the home's view, asks the owner a link later, and tries
// again with what the refusal told.
func (c *contention) place(h *contender, id int, d *pipeline.Demand, since time.Duration) {
	if c.local {
		if choice, ok := h.minePipe.Decide(d); ok && c.reserve(id, choice.Worker, d.Resources) {
			c.asked++
			c.placed++
			c.wait += c.now - since
			return
		}
	}
	choice, ok := h.pipe.Decide(d)
	if !ok {
		c.lost++
		return
	}
	h.index.Allocate(choice.Worker, d.Resources)
	h.flight[choice.Worker] = h.flight[choice.Worker].Add(d.Resources)
	c.asked++
	c.staleness += c.now - h.at
	c.after(contentionLink, func() {
		ok := c.reserve(id, choice.Worker, d.Resources)
		if o := c.owner[choice.Worker]; !ok && c.other {
			if instead, found := o.minePipe.Decide(d); found {
				ok = c.reserve(id, instead.Worker, d.Resources)
			}
		}
		w, _ := c.book.Worker(choice.Worker)
		c.after(contentionLink, func() {
			h.flight[choice.Worker] = h.flight[choice.Worker].Sub(d.Resources)
			c.syncOnce(h, []book.Worker{w}, h.seen)
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

func (c *contention) run(rate int, mix []pipeline.Demand) {
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

// BenchmarkContention measures conflicts, that is, refusals by the owner, as
// the number of homes and the load grow on a cell that is nine tenths full.
func BenchmarkContention(b *testing.B) {
	all := []struct {
		name string
		ways ways
	}{
		{"none", ways{}}, {"flight", ways{flight: true}}, {"other", ways{flight: true, other: true}},
		{"local", ways{flight: true, local: true}}, {"local+other", ways{flight: true, local: true, other: true}},
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

func benchmarkContention(b *testing.B, homes, rate int, w ways) {
	for range b.N {
		c := newContention(1, homes, 90, w)
		mix := mixedDemands(c.rng, 200)
		for i := range mix {
			mix[i].Class, mix[i].Spread = document.ClassBatch, document.SpreadNone
			mix[i].Resources = amount(100+mix[i].Resources.CPU/8, 100<<20+mix[i].Resources.Memory/16, 0)
			mix[i].AcceleratorKind = ""
		}
		c.run(rate, mix)
		b.ReportMetric(100*float64(c.refused)/float64(c.asked), "conflicts-%")
		b.ReportMetric(float64(c.staleness.Microseconds())/1e3/float64(c.asked), "view-age-ms")
		b.ReportMetric(float64(c.wait.Microseconds())/1e3/float64(max(c.placed, 1)), "wait-ms")
		b.ReportMetric(float64(c.placed), "placed")
		b.ReportMetric(float64(c.lost), "no-room")
	}
}
