package estimate

const (
	// minOtherCallers is how many other callers must contribute to a kind
	// between two measurements of one caller. It limits each caller to a fifth
	// of the measurements.
	minOtherCallers = 4
	// maxSkipped is the number of skipped measurements after which one is
	// accepted anyway, for kinds with fewer callers.
	maxSkipped = 64
)

// contributors prevents a single caller from dominating the measurements of a
// kind.
type contributors struct {
	last    [minOtherCallers]string
	next    int
	skipped int
}

// admit reports whether the caller's measurement counts for the kind.
func (c *contributors) admit(caller string) bool {
	for _, name := range c.last {
		if name == caller && c.skipped < maxSkipped {
			c.skipped++
			return false
		}
	}
	c.last[c.next] = caller
	c.next = (c.next + 1) % minOtherCallers
	c.skipped = 0
	return true
}
