package pipeline

import "math/bits"

// Order says from which end candidates are looked for.
type Order string

// The orders.
const (
	// BestFit looks first at workers with the least room that suffices.
	BestFit Order = "tightest"
	// WorstFit looks first at workers with the most room.
	WorstFit Order = "roomiest"
)

const (
	// cellsARow bounds the cells of one row that a search looks into, so that
	// it sees workers of several shapes of free room.
	cellsARow = 4
	// probesACell bounds the workers of one cell that a search looks at.
	probesACell = 24
)

// search collects candidates from one pool until limit are found.
type search struct {
	x     *Index
	p     *Pipeline
	d     *Demand
	limit int
	cpu   int
	mem   int
}

// pool looks through one pool's grids: those with just enough accelerators
// first, so that whole sets of accelerators stay whole.
func (s *search) pool(p *pool, order Order) {
	first := int(min(s.d.Resources.Accelerators, maxAccelerators))
	occupied := p.occupied >> first << first
	for occupied != 0 && len(s.p.found) < s.limit {
		i := bits.TrailingZeros32(occupied)
		occupied &= occupied - 1
		if order == WorstFit {
			s.descend(p.grids[i])
		} else {
			s.ascend(p.grids[i])
		}
	}
}

func (s *search) ascend(g *grid) {
	rows := g.rows >> s.cpu << s.cpu
	for rows != 0 && len(s.p.found) < s.limit {
		row := bits.TrailingZeros64(rows)
		rows &= rows - 1
		cells := g.cells[row] >> s.mem << s.mem
		for n := 0; cells != 0 && n < cellsARow && len(s.p.found) < s.limit; n++ {
			cell := bits.TrailingZeros64(cells)
			cells &= cells - 1
			s.cell(g.heads[row][cell])
		}
	}
}

func (s *search) descend(g *grid) {
	rows := g.rows >> s.cpu << s.cpu
	for rows != 0 && len(s.p.found) < s.limit {
		row := levels - 1 - bits.LeadingZeros64(rows)
		rows &^= 1 << row
		cells := g.cells[row] >> s.mem << s.mem
		for n := 0; cells != 0 && n < cellsARow && len(s.p.found) < s.limit; n++ {
			cell := levels - 1 - bits.LeadingZeros64(cells)
			cells &^= 1 << cell
			s.cell(g.heads[row][cell])
		}
	}
}

func (s *search) cell(head int32) {
	probes := 0
	for i := head; i != none && probes < probesACell && len(s.p.found) < s.limit; i = s.x.slots[i].next {
		probes++
		if s.p.passes(s.d, &s.x.slots[i].Node) {
			s.p.found = append(s.p.found, i)
		}
	}
}
