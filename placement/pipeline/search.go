package pipeline

import "math/bits"

// Order is the order in which a search visits workers.
type Order string

// Orders of a search.
const (
	// BestFit visits the workers with the least sufficient free resources first.
	BestFit Order = "tightest"
	// WorstFit visits the workers with the most free resources first.
	WorstFit Order = "roomiest"
)

const (
	// maxCellsPerRow bounds the cells that a search visits in one row, so that
	// it sees workers with several ratios of free CPU to memory.
	maxCellsPerRow = 4
	// maxNodesPerCell bounds the workers that a search checks in one cell.
	maxNodesPerCell = 24
)

// search collects candidates from pools until limit are found.
type search struct {
	x     *Index
	p     *Pipeline
	d     *Demand
	limit int
	cpu   int
	mem   int
}

// searchPool visits the grids of one pool. It starts with the fewest sufficient
// free accelerators, so that large sets of accelerators stay free.
func (s *search) searchPool(p *pool, order Order) {
	first := int(min(s.d.Resources.Accelerators, maxAccelerators))
	occupied := p.gridMask >> first << first
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
	rows := g.rowMask >> s.cpu << s.cpu
	for rows != 0 && len(s.p.found) < s.limit {
		row := bits.TrailingZeros64(rows)
		rows &= rows - 1
		cells := g.cellMasks[row] >> s.mem << s.mem
		for n := 0; cells != 0 && n < maxCellsPerRow && len(s.p.found) < s.limit; n++ {
			cell := bits.TrailingZeros64(cells)
			cells &= cells - 1
			s.searchCell(g.heads[row][cell])
		}
	}
}

func (s *search) descend(g *grid) {
	rows := g.rowMask >> s.cpu << s.cpu
	for rows != 0 && len(s.p.found) < s.limit {
		row := levels - 1 - bits.LeadingZeros64(rows)
		rows &^= 1 << row
		cells := g.cellMasks[row] >> s.mem << s.mem
		for n := 0; cells != 0 && n < maxCellsPerRow && len(s.p.found) < s.limit; n++ {
			cell := levels - 1 - bits.LeadingZeros64(cells)
			cells &^= 1 << cell
			s.searchCell(g.heads[row][cell])
		}
	}
}

func (s *search) searchCell(head int32) {
	probes := 0
	for i := head; i != noSlot && probes < maxNodesPerCell && len(s.p.found) < s.limit; i = s.x.slots[i].next {
		probes++
		if s.p.passes(s.d, &s.x.slots[i].Node) {
			s.p.found = append(s.p.found, i)
		}
	}
}
