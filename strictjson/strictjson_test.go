package strictjson_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/strictjson"
)

type window struct {
	Name string        `json:"name"`
	Open time.Duration `json:"open"`
	Days []int         `json:"days"`
}

var (
	types  = strictjson.Types{reflect.TypeFor[time.Duration](): strictjson.DecodeDuration}
	limits = strictjson.Limits{MaxBytes: 200, MaxDepth: 3}
)

func TestDecode_InvalidInput(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "{\n\"nme\": 1}", "line 2: nme: found \"nme\", allowed: one of the fields name, open, days"},
		{"repeated field", `{"name": "a", "name": "b"}`, "allowed: each field once"},
		{"wrong type", `{"days": ["x"]}`, `line 1: days[0]: found "x", allowed: a whole number`},
		{"no unit", `{"open": 5}`, "allowed: a duration with its unit"},
		{"too deep", `{"days": [[[1]]]}`, "allowed: at most 3 levels"},
		{"too long", strings.Repeat(" ", 201), "allowed: at most 200 bytes"},
		{"not JSON", "{\n]", "line 2"},
	}
	for _, c := range cases {
		var w window
		err := strictjson.Decode([]byte(c.text), &w, limits, types).Err()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func Example() {
	var w window
	d := strictjson.Decode([]byte(`{"name": "night", "open": "90m" /* shut by day */}`), &w, limits, types)
	if d.Parsed() && w.Open > time.Hour {
		d.Report("open", w.Open.String(), "at most 1h0m0s")
	}
	fmt.Println(d.Err())
	// Output: line 1: open: found 1h30m0s, allowed: at most 1h0m0s
}
