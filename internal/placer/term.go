package placer

// term is the fencing token of one uninterrupted period in which a daemon acts
// for a share. The ownership lease of a share may expire and be regained under
// the same epoch. What the daemon knew is then outdated, so each such period
// has its own activation number.
type term struct {
	Epoch uint64 `json:"epoch"`
	// Activation increases with every share that the daemon acquires.
	Activation uint64 `json:"sitting"`
}

// before reports whether t is an earlier term than o.
func (t term) before(o term) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Activation < o.Activation
}

// known reports whether t is set.
func (t term) known() bool { return t.Epoch > 0 }

// isFirst reports whether nobody owned the share before the term's epoch.
// Epochs are counted from 1 for each share.
func (t term) isFirst() bool { return t.Epoch == 1 }
