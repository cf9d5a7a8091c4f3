package charts_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
)

// TestCharts_EveryStateIsWalked walks every move of every chart with the
// machine that the daemon runs, and from every state to a final one.
func TestCharts_EveryStateIsWalked(t *testing.T) {
	for _, c := range charts.All() {
		for _, s := range c.States() {
			for _, trigger := range c.Triggers(s) {
				m := c.NewMachineAt(s)
				want, err := c.Next(s, trigger)
				if err != nil {
					t.Fatal(err)
				}
				if err := m.Fire(trigger); err != nil || m.State() != want {
					t.Errorf("%s: %s on %s: %v, state %s, want %s", c.Name(), trigger, s, err, m.State(), want)
				}
			}
			if !endsFrom(c, s, map[chart.State]bool{}) {
				t.Errorf("%s: no final state can be reached from %s", c.Name(), s)
			}
		}
	}
}

func endsFrom(c *chart.Chart, s chart.State, seen map[chart.State]bool) bool {
	if c.IsFinal(s) {
		return true
	}
	seen[s] = true
	for _, trigger := range c.Triggers(s) {
		to, err := c.Next(s, trigger)
		if err == nil && !seen[to] && endsFrom(c, to, seen) {
			return true
		}
	}
	return false
}
