package charts_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
)

// TestCharts_AllTransitions fires every trigger in every state of every chart,
// and checks that Machine and Chart.Next agree and that a final state can be
// reached from each state.
func TestCharts_AllTransitions(t *testing.T) {
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
			if !reachesFinal(c, s, map[chart.State]bool{}) {
				t.Errorf("%s: no final state can be reached from %s", c.Name(), s)
			}
		}
	}
}

func reachesFinal(c *chart.Chart, s chart.State, seen map[chart.State]bool) bool {
	if c.IsFinal(s) {
		return true
	}
	seen[s] = true
	for _, trigger := range c.Triggers(s) {
		to, err := c.Next(s, trigger)
		if err == nil && !seen[to] && reachesFinal(c, to, seen) {
			return true
		}
	}
	return false
}
