// Package chart interprets state charts that are kept in files of JSON with
// comments. A chart is checked when it is loaded: every state can be reached,
// and only final states have no way out.
package chart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
	"github.com/tailscale/hujson"
)

// State names a state of a chart.
type State string

// Trigger names what moves a machine from one state to another.
type Trigger string

// Chart is a checked state chart.
type Chart struct {
	name    string
	initial State
	final   map[State]bool
	moves   map[State]map[Trigger]State
}

type file struct {
	Name    string              `json:"name"`
	Initial State               `json:"initial"`
	Final   []State             `json:"final"`
	States  map[State]stateFile `json:"states"`
}

type stateFile struct {
	// Doc says what holds in the state.
	Doc string            `json:"doc"`
	On  map[Trigger]State `json:"on"`
}

// Load reads and checks a chart. The error names every fault found.
func Load(text []byte) (*Chart, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	var f file
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	c := f.chart()
	if faults := c.faults(); len(faults) > 0 {
		return nil, errors.Errorf("chart %s: %s", f.Name, strings.Join(faults, "; "))
	}
	return c, nil
}

// MustLoad is Load for charts that are part of the program.
func MustLoad(text []byte) *Chart {
	c, err := Load(text)
	if err != nil {
		panic(err)
	}
	return c
}

func (f file) chart() *Chart {
	c := &Chart{name: f.Name, initial: f.Initial, final: make(map[State]bool), moves: make(map[State]map[Trigger]State)}
	for _, s := range f.Final {
		c.final[s] = true
	}
	for s, body := range f.States {
		c.moves[s] = body.On
	}
	return c
}

func (c *Chart) faults() []string {
	var faults []string
	reached := c.reachable()
	for _, s := range c.States() {
		if !reached[s] {
			faults = append(faults, fmt.Sprintf("state %s is unreachable", s))
		}
		if c.final[s] != (len(c.moves[s]) == 0) {
			faults = append(faults, fmt.Sprintf("state %s must either be final or have a way out", s))
		}
		for t, to := range c.moves[s] {
			if _, ok := c.moves[to]; !ok {
				faults = append(faults, fmt.Sprintf("%s on %s leads to unknown state %s", t, s, to))
			}
		}
	}
	if _, ok := c.moves[c.initial]; !ok {
		faults = append(faults, fmt.Sprintf("initial state %q is unknown", c.initial))
	}
	for s := range c.final {
		if _, ok := c.moves[s]; !ok {
			faults = append(faults, fmt.Sprintf("final state %q is unknown", s))
		}
	}
	return faults
}

func (c *Chart) reachable() map[State]bool {
	reached := map[State]bool{c.initial: true}
	next := []State{c.initial}
	for len(next) > 0 {
		s := next[0]
		next = next[1:]
		for _, to := range c.moves[s] {
			if !reached[to] {
				reached[to] = true
				next = append(next, to)
			}
		}
	}
	return reached
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the state that machines start in.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether a machine in s has ended.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// States returns all states in order.
func (c *Chart) States() []State {
	states := make([]State, 0, len(c.moves))
	for s := range c.moves {
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Triggers returns the triggers that s accepts, in order.
func (c *Chart) Triggers(s State) []Trigger {
	triggers := make([]Trigger, 0, len(c.moves[s]))
	for t := range c.moves[s] {
		triggers = append(triggers, t)
	}
	sort.Slice(triggers, func(i, j int) bool { return triggers[i] < triggers[j] })
	return triggers
}

// Mermaid draws the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.initial)
	for _, s := range c.States() {
		for _, t := range c.Triggers(s) {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s, c.moves[s][t], t)
		}
		if c.final[s] {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Machine is one thing whose life follows a chart. It is not safe for use by
// several goroutines at once.
type Machine struct {
	chart   *Chart
	machine *stateless.StateMachine
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() *Machine { return c.NewMachineAt(c.initial) }

// NewMachineAt returns a machine in state s, such as one read from an inventory.
func (c *Chart) NewMachineAt(s State) *Machine {
	sm := stateless.NewStateMachine(s)
	for from, moves := range c.moves {
		cfg := sm.Configure(from)
		for t, to := range moves {
			if to == from {
				cfg.PermitReentry(t)
				continue
			}
			cfg.Permit(t, to)
		}
	}
	return &Machine{chart: c, machine: sm}
}

// State returns the machine's state.
func (m *Machine) State() State { return m.machine.MustState().(State) }

// Ended reports whether the machine is in a final state.
func (m *Machine) Ended() bool { return m.chart.final[m.State()] }

// Fire applies a trigger. An error means that the chart does not allow it and
// that the state is unchanged.
func (m *Machine) Fire(t Trigger) error {
	if err := m.machine.Fire(t); err != nil {
		return errors.Wrapf(err, "chart %s", m.chart.name)
	}
	return nil
}

// Next returns the state that t leads to from s, for code that keeps the state
// itself. An error means that the chart does not allow the step.
func (c *Chart) Next(s State, t Trigger) (State, error) {
	to, ok := c.moves[s][t]
	if !ok {
		return s, errors.Errorf("chart %s: state %s does not accept %s", c.name, s, t)
	}
	return to, nil
}
