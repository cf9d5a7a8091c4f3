package scheduler

import (
	"testing"

	"github.com/currantwinch/currantwinch/workload"
)

// A tenant must not learn of another tenant's submission, neither while it runs nor after
// it has ended or a new owner has taken over.
func TestCore_SubmissionIsVisibleToItsTenantAlone(t *testing.T) {
	c := &Core{
		jobs:        map[string]*job{id1: {sub: &workload.Submission{ID: id1, Tenant: "a"}}},
		finalStates: map[string]workload.FinalState{id2: {Tenant: "a"}},
	}
	for _, id := range []string{id1, id2} {
		for tenant, want := range map[string]bool{"a": true, "b": false, "": true} {
			if got := c.mayAccess(workload.Reference{ID: id, Tenant: tenant}, func(Reply) {}); got != want {
				t.Errorf("submission %s, tenant %q: access %t, want %t", id, tenant, got, want)
			}
		}
	}
}
