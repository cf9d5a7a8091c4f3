package pipeline

import (
	"math/rand/v2"

	"github.com/currantwinch/currantwinch/document"
)

// Pipeline places tasks by the policy of their class.
type Pipeline struct {
	index    *Index
	policies map[document.Class]*compiled
	random   *rand.Rand

	// current and found are kept between decisions to avoid allocations.
	current *compiled
	found   []int32
}

// New returns a pipeline over an index. It fails with the same errors as
// ParsePolicies.
func New(index *Index, policies Policies, seed uint64) (*Pipeline, error) {
	p := &Pipeline{
		index:    index,
		policies: make(map[document.Class]*compiled, len(policies)),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	for class, policy := range policies {
		c, err := compile(policy)
		if err != nil {
			return nil, err
		}
		p.policies[class] = c
	}
	return p, nil
}

// Choice is the result of one decision.
type Choice struct {
	Worker string
	Score  int64
	// Scored is the number of candidates that were scored.
	Scored int
}

// Decide runs the filter and score phases and returns the worker to reserve, or
// false if the search finds no worker that passes the filters.
func (p *Pipeline) Decide(d *Demand) (Choice, bool) {
	c, ok := p.policies[d.Class]
	if !ok {
		c = p.policies[document.ClassBatch]
	}
	p.current = c
	p.collect(d, c)
	return p.selectBest(d)
}

// collect fills found with candidates for d.
func (p *Pipeline) collect(d *Demand, c *compiled) {
	p.found = p.found[:0]
	s := search{
		x: p.index, p: p, d: d, limit: c.Candidates,
		cpu: level(d.Resources.CPU, cpuUnit), mem: level(d.Resources.Memory, memoryUnit),
	}
	n := len(p.index.pools)
	if n == 0 {
		return
	}
	start := p.random.IntN(n)
	// Tasks that need no accelerators go to workers without any first.
	for _, withoutAccelerators := range []bool{true, false} {
		for i := range n {
			pool := p.index.pools[(start+i)%n]
			if (pool.kind == "") != withoutAccelerators || !d.allowsRegion(pool.region) || !d.allowsKind(pool.kind) {
				continue
			}
			s.searchPool(pool, c.Order)
			if c.PerDomain {
				s.limit = len(p.found) + c.Candidates
			}
		}
		if len(p.found) > 0 {
			return
		}
	}
}

func (p *Pipeline) passes(d *Demand, n *Node) bool {
	for _, f := range p.current.filters {
		if !f.Passes(d, n) {
			return false
		}
	}
	return true
}

func (p *Pipeline) selectBest(d *Demand) (Choice, bool) {
	best := Choice{Score: -1}
	ties := 0
	for _, i := range p.found {
		n := &p.index.slots[i].Node
		score := p.score(d, n)
		switch {
		case score > best.Score:
			best.Score, best.Worker = score, n.Name
			ties = 1
		case score == best.Score:
			ties++
			if p.random.IntN(ties) == 0 {
				best.Worker = n.Name
			}
		}
	}
	best.Scored = len(p.found)
	return best, best.Worker != ""
}

func (p *Pipeline) score(d *Demand, n *Node) int64 {
	var sum int64
	for _, s := range p.current.scorers {
		sum += s.weight * s.Score(d, n)
	}
	return sum
}

// DecideByScan decides like Decide, but checks every worker. Callers use it
// before they report that no worker has the capacity, and benchmarks use it as
// the baseline.
func (p *Pipeline) DecideByScan(d *Demand) (Choice, bool) {
	c, ok := p.policies[d.Class]
	if !ok {
		c = p.policies[document.ClassBatch]
	}
	p.current = c
	p.found = p.found[:0]
	for i := range p.index.slots {
		s := &p.index.slots[i]
		if s.pool != nil && p.passes(d, &s.Node) {
			p.found = append(p.found, int32(i))
		}
	}
	return p.selectBest(d)
}
