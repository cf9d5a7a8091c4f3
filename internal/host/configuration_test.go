package host_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/host"
	"github.com/currantwinch/currantwinch/platform/standin"
)

// operatorTopic holds the configuration.
const operatorTopic = "keyed.op"

// outdatedStore is the store as one daemon reaches it. Once it holds back, it answers reads of
// the configuration without the records that were written since. All other calls reach the store.
type outdatedStore struct {
	d *deployment
	// end is the end of the operator's topic as of holding back; 0 before.
	end atomic.Uint64
}

// holdBack hides all records that follow the first count ones.
func (s *outdatedStore) holdBack(count int) { s.end.Store(uint64(count)) }

// ServeHTTP implements http.Handler.
func (s *outdatedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path != "/log-read" || q.Get("topic") != operatorTopic {
		s.d.store.ServeHTTP(w, r)
		return
	}
	if s.end.Load() == 0 {
		answer := httptest.NewRecorder()
		s.d.store.ServeHTTP(answer, r)
		if end := s.end.Load(); end > 0 {
			// The read began before, and may show later records.
			s.answerNothing(w, end)
			return
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
		return
	}
	end := s.end.Load()
	if ms, err := strconv.Atoi(q.Get("wait_ms")); err == nil {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	s.answerNothing(w, end)
}

// answerNothing answers a read that there is no record from end on.
func (s *outdatedStore) answerNothing(w http.ResponseWriter, end uint64) {
	batch := binary.BigEndian.AppendUint64(nil, end)
	_, _ = w.Write(binary.BigEndian.AppendUint64(batch, 0))
}

// startBehind starts a daemon, which owns all partitions, and whose reads of the configuration
// can be held back.
func (d *deployment) startBehind() (store *outdatedStore, address string) {
	store = &outdatedStore{d: d}
	common := d.address
	d.address = d.serve(store)
	_, address = d.start()
	d.address = common
	d.await("owner", func() bool {
		status, _ := d.call("GET", address, "/q/", "")
		return status == http.StatusOK
	})
	return store, address
}

// startSecond starts a daemon and returns its address for callers.
func (d *deployment) startSecond() (*host.Host, string) {
	h, address := d.start()
	d.await("second daemon", func() bool {
		status, _ := d.call("GET", address, "/q/", "")
		return status == http.StatusOK
	})
	return h, address
}

// Guards against a route that is in force on the daemon that is called and refused as unknown by
// an owner that has an older version of the configuration (issue 63, CONFIG).
func TestHost_OwnerWithAnOlderConfigurationAcceptsByTheNewerOne(t *testing.T) {
	s := newDeployment(t, 1)
	store, _ := s.startBehind()
	_, second := s.startSecond()
	store.holdBack(1)
	s.store.Put(operatorTopic, 0, "config", fmt.Appendf(nil,
		`{"version":5,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":400},
		{"name":"added","host":"h.example","path_prefix":"/added/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":400}],
		"services":[{"name":"pool"}],"limits":{"max_body_bytes":10000}}`))
	s.await("in force", func() bool {
		status, _ := s.call("GET", second, "/added/", "")
		return status == http.StatusOK
	})
	if status, text := s.call("POST", second, "/added/"+id, work); status != http.StatusOK {
		t.Fatalf("submission to a route that the daemon has: %d %s, want 200", status, text)
	}
	s.await("completed", func() bool {
		_, text := s.call("GET", second, "/added/"+id, "")
		return text == `{"state":"completed"}`
	})
}

// Guards against a gang that is refused by a cap which has been raised since, as the owner has an
// older version of the configuration (issue 63, CONFIG).
func TestHost_OwnerWithAnOlderConfigurationTakesTheRaisedCap(t *testing.T) {
	const (
		key  = "gk-of-tenant-a"
		gang = `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":1,"estimated_ms":10,"gang_scheduled":true}]}`
	)
	s := newDeployment(t, 1)
	withCap := func(version, cpu int) {
		s.store.Put(operatorTopic, 0, "config", fmt.Appendf(nil, `{"version":%d,"routes":[
			{"name":"r","host":"h.example","path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":4000}],
			"services":[{"name":"pool"}],"limits":{"max_body_bytes":%d},
			"tenants":[{"name":"a","api_keys":[%q],"weight":50,"cap":{"cpu":%d,"mem_mb":0,"gpu":0}}]}`, version, 10000+version, key, cpu))
	}
	store, first := s.startBehind()
	_, second := s.startSecond()
	withCap(2, 2000)
	for _, address := range []string{first, second} {
		s.await("keys in force", func() bool {
			status, _ := s.call("GET", address, "/q/", "")
			return status == http.StatusUnauthorized
		})
	}
	next := 0
	s.await("refused under the cap", func() bool {
		next++
		status, _ := s.callAs(key, "POST", second, fmt.Sprintf("/q/%016x", next), gang)
		return status == http.StatusBadRequest
	})
	store.holdBack(2)
	withCap(3, 4000)
	s.await("raised", func() bool {
		status, _ := s.callAs(key, "POST", second, "/q/"+id, gang)
		return status == http.StatusOK
	})
}

// Guards against a daemon whose reads show an older version for long, and which answers by that
// beside others that have the newer one: it takes the version from the daemon of which it hears
// that, be it called or calling (issue 63, CONFIG).
func TestHost_DaemonThatIsBehindTakesTheVersionFromAnother(t *testing.T) {
	const configApply = 2500 * time.Millisecond
	for _, behindOwns := range []bool{false, true} {
		t.Run(fmt.Sprintf("the owner is behind: %t", behindOwns), func(t *testing.T) {
			t.Parallel()
			s := newDeployment(t, 1)
			var store *outdatedStore
			var behind, other string
			if behindOwns {
				store, behind = s.startBehind()
				_, other = s.startSecond()
			} else {
				_, other = s.startSecond()
				store, behind = s.startBehind()
			}
			store.holdBack(1)
			s.configure(2, "/p/")
			s.await("in force on the other daemon", func() bool {
				status, _ := s.call("GET", other, "/p/", "")
				return status == http.StatusOK
			})
			began := time.Now()
			s.await("in force on the daemon that is behind", func() bool {
				// Callers use both daemons.
				s.call("GET", other, "/p/00000000000000ff", "")
				s.call("GET", behind, "/q/00000000000000ff", "")
				status, _ := s.call("GET", behind, "/p/", "")
				return status == http.StatusOK
			})
			if took := time.Since(began); took > configApply {
				t.Errorf("in force %s after the other daemon had it, want %s", took, configApply)
			}
			if status, _ := s.call("POST", behind, "/q/"+id, work); status != http.StatusNotFound {
				t.Errorf("status %d on a removed route, want 404", status)
			}
		})
	}
}

// Guards against a daemon that is cut off from the store and from all others, and that refuses
// routes and keys by a version which may not be in force any more; and against one that refuses
// calls while the store answers nobody, since no version can come into force then.
func TestHost_RefusesNothingByAVersionThatMayBeOutdated(t *testing.T) {
	s := newDeployment(t, 1)
	// The smallest bound of the deployments in force.
	s.configApply = 2500 * time.Millisecond
	first, _ := s.startHost()
	_, address := s.startSecond()
	unknownRoute := func() int {
		status, _ := s.call("GET", address, "/none/", "")
		return status
	}
	s.store.SetFault(standin.Hang)
	for began := time.Now(); time.Since(began) < 3*s.configApply; time.Sleep(50 * time.Millisecond) {
		if status := unknownRoute(); status != http.StatusNotFound {
			t.Fatalf("status %d in an outage of the store for all, %s after its beginning, want 404", status, time.Since(began))
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := first.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	cutAt := time.Now()
	s.await("unconfirmed", func() bool { return unknownRoute() == http.StatusServiceUnavailable })
	if took := time.Since(cutAt); took > s.configApply+500*time.Millisecond {
		t.Errorf("404 for %s after the last contact, want %s", took, s.configApply)
	}
	if status, _ := s.call("GET", s.ready, "/ready", ""); status != http.StatusServiceUnavailable {
		t.Errorf("ready: status %d, want 503", status)
	}
	s.store.SetFault(nil)
	s.await("confirmed again", func() bool { return unknownRoute() == http.StatusNotFound })
}

// Guards against a daemon that answers by an old version on open connections while it stops.
func TestHost_FollowsTheConfigurationWhileItStops(t *testing.T) {
	s := newDeployment(t, 1)
	_, _ = s.startSecond()
	stopping, settings := s.startHost()
	address := settings.CallerAddress
	status := func(path string) int {
		code, _ := s.call("GET", address, path, "")
		return code
	}
	s.await("serving", func() bool { return status("/q/") == http.StatusOK })
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- stopping.Stop(ctx) }()
	s.await("not ready", func() bool {
		code, _ := s.call("GET", settings.ReadinessAddress, "/ready", "")
		return code == http.StatusServiceUnavailable
	})
	s.configure(2, "/p/")
	s.await("in force while it stops", func() bool { return status("/p/") == http.StatusOK })
	if code := status("/q/"); code != http.StatusNotFound {
		t.Errorf("status %d on a removed route, want 404", code)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
