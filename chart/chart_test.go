package chart_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/chart"
)

func TestLoad_InvalidCharts(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unreachable", `{"name":"c","initial":"a","final":["b"],"states":{"a":{"on":{"x":"b"}},"b":{},"c":{"on":{"x":"b"}}}}`, "state c is unreachable"},
		{"dead end", `{"name":"c","initial":"a","states":{"a":{"on":{"x":"b"}},"b":{}}}`, "state b must either be final"},
		{"final with a way out", `{"name":"c","initial":"a","final":["a"],"states":{"a":{"on":{"x":"a"}}}}`, "state a must either be final"},
		{"unknown target", `{"name":"c","initial":"a","states":{"a":{"on":{"x":"z"}}}}`, "unknown state z"},
		{"unknown initial", `{"name":"c","initial":"q","states":{}}`, `initial state "q"`},
		{"unknown key", `{"name":"c","start":"q"}`, "unknown field"},
	}
	for _, c := range cases {
		_, err := chart.Load([]byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestMachine_RejectsUndefinedTransitions(t *testing.T) {
	c := chart.MustLoad([]byte(`{"name":"c","initial":"a","final":["b"],"states":{"a":{"on":{"again":"a","x":"b"}},"b":{}}}`))
	m := c.NewMachine()
	steps := []struct {
		trigger chart.Trigger
		ok      bool
		state   chart.State
	}{{"again", true, "a"}, {"y", false, "a"}, {"x", true, "b"}, {"x", false, "b"}}
	for _, s := range steps {
		if err := m.Fire(s.trigger); (err == nil) != s.ok || m.State() != s.state {
			t.Errorf("%s: %v, state %s", s.trigger, err, m.State())
		}
	}
	if !m.Ended() {
		t.Error("machine has not ended")
	}
}

func Example() {
	c := chart.MustLoad([]byte(`{
		// A door that is never opened twice.
		"name": "door", "initial": "shut", "final": ["open"],
		"states": {"shut": {"on": {"push": "open"}}, "open": {}},
	}`))
	m := c.NewMachine()
	fmt.Println(m.State(), m.Fire("push"), m.State(), m.Ended())
	// Output: shut <nil> open true
}
