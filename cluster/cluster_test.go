package cluster_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
)

func TestLocation_SameDomain(t *testing.T) {
	here := cluster.Location{Region: "north", FailureDomain: "a", Rack: "r1"}
	for _, c := range []struct {
		name  string
		other cluster.Location
		want  bool
	}{
		{"same rack", here, true},
		{"another rack", cluster.Location{Region: "north", FailureDomain: "a", Rack: "r2"}, true},
		{"another domain", cluster.Location{Region: "north", FailureDomain: "b", Rack: "r1"}, false},
		{"another region", cluster.Location{Region: "south", FailureDomain: "a", Rack: "r1"}, false},
	} {
		if got := here.SameDomain(c.other); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
