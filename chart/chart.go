// Package chart interprets state charts that are defined in files of JSON with
// comments. Load validates a chart: every state must be reachable from the
// initial state, and exactly the final states have no outgoing transition. The
// daemons use a Machine to hold a state, or Chart.Next if they store the state
// themselves.
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

// Trigger names an input that causes a transition between states.
type Trigger string

// Chart is a validated state chart. It is immutable.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions map[State]map[Trigger]State
}

type definition struct {
	Name    string                    `json:"name"`
	Initial State                     `json:"initial"`
	Final   []State                   `json:"final"`
	States  map[State]stateDefinition `json:"states"`
}

type stateDefinition struct {
	// Doc documents the state for readers of the file; the code ignores it.
	Doc string            `json:"doc"`
	On  map[Trigger]State `json:"on"`
}

// Load parses and validates a chart. The error lists every problem found.
func Load(text []byte) (*Chart, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	var f definition
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	c := f.chart()
	if faults := c.validate(); len(faults) > 0 {
		return nil, errors.Errorf("chart %s: %s", f.Name, strings.Join(faults, "; "))
	}
	return c, nil
}

// MustLoad is like Load but panics on an error. It is for charts that are
// embedded in the program.
func MustLoad(text []byte) *Chart {
	c, err := Load(text)
	if err != nil {
		panic(err)
	}
	return c
}

func (f definition) chart() *Chart {
	c := &Chart{name: f.Name, initial: f.Initial, final: make(map[State]bool), transitions: make(map[State]map[Trigger]State)}
	for _, s := range f.Final {
		c.final[s] = true
	}
	for s, body := range f.States {
		c.transitions[s] = body.On
	}
	return c
}

func (c *Chart) validate() []string {
	var faults []string
	reached := c.reachable()
	for _, s := range c.States() {
		if !reached[s] {
			faults = append(faults, fmt.Sprintf("state %s is unreachable", s))
		}
		if c.final[s] != (len(c.transitions[s]) == 0) {
			faults = append(faults, fmt.Sprintf("state %s must either be final or have a way out", s))
		}
		for t, to := range c.transitions[s] {
			if _, ok := c.transitions[to]; !ok {
				faults = append(faults, fmt.Sprintf("%s on %s leads to unknown state %s", t, s, to))
			}
		}
	}
	if _, ok := c.transitions[c.initial]; !ok {
		faults = append(faults, fmt.Sprintf("initial state %q is unknown", c.initial))
	}
	for s := range c.final {
		if _, ok := c.transitions[s]; !ok {
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
		for _, to := range c.transitions[s] {
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

// Initial returns the initial state of new machines.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether s is a final state.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// States returns all states, sorted by name.
func (c *Chart) States() []State {
	states := make([]State, 0, len(c.transitions))
	for s := range c.transitions {
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Triggers returns the triggers that s accepts, sorted by name.
func (c *Chart) Triggers(s State) []Trigger {
	triggers := make([]Trigger, 0, len(c.transitions[s]))
	for t := range c.transitions[s] {
		triggers = append(triggers, t)
	}
	sort.Slice(triggers, func(i, j int) bool { return triggers[i] < triggers[j] })
	return triggers
}

// Mermaid renders the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.initial)
	for _, s := range c.States() {
		for _, t := range c.Triggers(s) {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", s, c.transitions[s][t], t)
		}
		if c.final[s] {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Machine is an instance of a chart with a current state. It is not safe for
// concurrent use.
type Machine struct {
	chart   *Chart
	machine *stateless.StateMachine
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() *Machine { return c.NewMachineAt(c.initial) }

// NewMachineAt returns a machine in state s, for example a state that was read
// from an inventory.
func (c *Chart) NewMachineAt(s State) *Machine {
	sm := stateless.NewStateMachine(s)
	for from, transitions := range c.transitions {
		cfg := sm.Configure(from)
		for t, to := range transitions {
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

// Fire applies a trigger. It returns an error and leaves the state unchanged if
// the current state does not accept the trigger.
func (m *Machine) Fire(t Trigger) error {
	if err := m.machine.Fire(t); err != nil {
		return errors.Wrapf(err, "chart %s", m.chart.name)
	}
	return nil
}

// Next returns the state that t leads to from s, for callers that store the
// state themselves. It returns s and an error if s does not accept t.
func (c *Chart) Next(s State, t Trigger) (State, error) {
	to, ok := c.transitions[s][t]
	if !ok {
		return s, errors.Errorf("chart %s: state %s does not accept %s", c.name, s, t)
	}
	return to, nil
}
