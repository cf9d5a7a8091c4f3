package vmlisthttp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/vmlisthttp"
	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/vmstandin"
)

func TestVMList_Contract(t *testing.T) {
	contracttest.VMList(t, func(t *testing.T) contracttest.VMPlatform {
		now := time.Unix(0, 0)
		vms := vmstandin.New(func() time.Time { return now }, 5*time.Second)
		server := httptest.NewServer(vms.Handler())
		t.Cleanup(server.Close)
		return contracttest.VMPlatform{
			List: vmlisthttp.New(server.URL, server.Client()),
			Put:  vms.Put, MarkLeaving: vms.MarkLeaving, Remove: vms.Remove,
			SetFailing: func(fail bool) {
				status := 0
				if fail {
					status = http.StatusServiceUnavailable
				}
				vms.SetStatus(status)
			},
			Advance: func(d time.Duration) { now = now.Add(d) },
			Lag:     5 * time.Second,
		}
	})
}

func TestList_RejectsInvalidResponses(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON": "<html>", "cut off": `{"vms":[{"name":"a"`, "no name": `{"vms":[{"role":"worker"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			if got, err := vmlisthttp.New(server.URL, server.Client()).List(t.Context()); err == nil {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestList_UnchangedListHasNoBody checks that the response for an unchanged list
// has no body, and that status 304 is an error for a client that holds no list.
func TestList_UnchangedListHasNoBody(t *testing.T) {
	vms := vmstandin.New(time.Now, 0, cluster.VM{Name: "w1", Role: cluster.RoleWorker})
	var bodies []int
	always304 := false
	inner := vms.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := httptest.NewRecorder()
		inner.ServeHTTP(out, r)
		if always304 {
			out.Code = http.StatusNotModified
		}
		bodies = append(bodies, out.Body.Len())
		w.Header().Set("ETag", out.Header().Get("ETag"))
		w.WriteHeader(out.Code)
		if out.Code == http.StatusOK {
			_, _ = w.Write(out.Body.Bytes())
		}
	}))
	defer server.Close()
	list := vmlisthttp.New(server.URL, server.Client())
	for i, want := range []int{1, 1, 2, 2} {
		if i == 2 {
			vms.Put(cluster.VM{Name: "w2", Role: cluster.RoleWorker})
		}
		got, err := list.List(t.Context())
		if err != nil || len(got) != want {
			t.Fatalf("read %d: %v, %v", i, got, err)
		}
		if unchanged := i%2 == 1; unchanged != (bodies[i] == 0) {
			t.Errorf("read %d took a body of %d bytes", i, bodies[i])
		}
	}
	always304 = true
	if got, err := vmlisthttp.New(server.URL, server.Client()).List(t.Context()); err == nil {
		t.Errorf("got %v from a reader that had none", got)
	}
}
