package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/host"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/currantwinch/currantwinch/platform/standin"
)

// deployment is a small deployment of stand-ins for the platform.
type deployment struct {
	t       *testing.T
	store   *standin.Store
	address string
	servers []*standin.Server
	// addresses holds the addresses of the servers by ID.
	addresses map[string]string
	// ready is the readiness address of the daemon started last.
	ready string
	// events receives the events of the daemons that are started.
	events *events.Logger
	// configApply is the time in which versions must be in force; 0 means no bound.
	configApply time.Duration
}

func newDeployment(t *testing.T, servers int) *deployment {
	s := &deployment{t: t, store: standin.NewStore(4), addresses: make(map[string]string), events: events.Discard()}
	s.address = s.serve(s.store)
	for i := range servers {
		server := standin.NewServer(fmt.Sprintf("i-%d", i), 30*time.Millisecond)
		s.servers = append(s.servers, server)
		s.addresses[server.ID] = s.serve(server)
		entry := fmt.Sprintf(soundEntry, s.addresses[server.ID], server.Born())
		s.store.Put("keyed.servers", 0, server.ID, []byte(entry))
	}
	s.configure(1, "/q/")
	return s
}

func (s *deployment) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (s *deployment) configure(version int, prefix string) {
	s.store.Put("keyed.op", 0, "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":%q,"service":"pool","attempts":2,"stretch":2,"target_latency_ms":400}],"services":[{"name":"pool"}],"limits":{"max_body_bytes":10000}}`, version, prefix))
}

// start starts a daemon and returns the address of its listener for callers.
func (s *deployment) start() (*host.Host, string) {
	s.t.Helper()
	h, settings := s.startHost()
	s.ready = settings.ReadinessAddress
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := h.Stop(ctx); err != nil {
			s.t.Errorf("stop: %v", err)
		}
	})
	s.await("ready", func() bool {
		r, err := http.Get("http://" + settings.ReadinessAddress + "/ready")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return h, settings.CallerAddress
}

// maxStarts bounds the attempts to start a daemon.
const maxStarts = 5

// startHost starts a daemon. If another process, or another test, has taken one of its
// addresses since they were found to be free, it starts one with others.
func (s *deployment) startHost() (*host.Host, platform.Settings) {
	s.t.Helper()
	for attempt := 1; ; attempt++ {
		settings := s.settings()
		h, err := host.New(host.Options{Settings: settings, Events: s.events})
		if err == nil {
			err = h.Start(s.t.Context())
		}
		if err == nil {
			return h, settings
		}
		if attempt == maxStarts || !strings.Contains(err.Error(), "address already in use") {
			s.t.Fatal(err)
		}
	}
}

// settings returns the settings of one more daemon, with addresses that are free now.
func (s *deployment) settings() platform.Settings {
	s.t.Helper()
	settings := platform.Settings{
		Name: "n", IP: "127.0.0.1", CallerAddress: freeAddress(s.t), ReadinessAddress: freeAddress(s.t), StoreAddress: s.address, StorePartitions: 4, MinMemberTTL: time.Second,
		Bounds: platform.Bounds{MaxLease: 6 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, Grace: 6 * time.Second, ReuseAfter: 2 * time.Second, ConfigApply: s.configApply},
	}
	_, port, _ := net.SplitHostPort(freeAddress(s.t))
	if _, err := fmt.Sscan(port, &settings.Ports[0]); err != nil {
		s.t.Fatal(err)
	}
	return settings
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (s *deployment) await(what string, done func() bool) {
	s.t.Helper()
	for range 400 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("not %s after 8 s", what)
}

func (s *deployment) call(method, address, path, body string) (int, string) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

const (
	id   = "00000000000000a1"
	work = standin.GangAfterStep
)

func (s *deployment) completed(address string) bool {
	_, text := s.call("GET", address, "/q/"+id, "")
	var got struct {
		State string `json:"state"`
	}
	return json.Unmarshal([]byte(text), &got) == nil && got.State == "completed"
}

func TestHost_RunsSubmissionOnce(t *testing.T) {
	s := newDeployment(t, 2)
	_, address := s.start()
	for range 2 {
		if status, text := s.call("POST", address, "/q/"+id, work); status != http.StatusOK {
			t.Fatalf("%d %s", status, text)
		}
	}
	s.await("completed", func() bool { return s.completed(address) })
	for _, server := range s.servers {
		for task, n := range server.Starts() {
			if n != 1 {
				t.Errorf("task %s started %d times on one server, want 1", task, n)
			}
		}
	}
	if status, _ := s.call("GET", address, "/q/00000000000000ff", ""); status != http.StatusGone {
		t.Errorf("status %d for a submission that does not exist, want 410", status)
	}
}

func TestHost_ServesStateDump(t *testing.T) {
	s := newDeployment(t, 1)
	s.servers[0].RunDuration = 5 * time.Second
	_, address := s.start()
	if status, text := s.call("POST", address, "/q/"+id, work); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	s.await("dumped", func() bool {
		_, text := s.call("GET", s.ready, "/debug/state", "")
		return strings.Contains(text, `"jobs":1`) && strings.Contains(text, `"attempts":3`) && strings.Contains(text, `"configurationVersion":1`)
	})
	if status, text := s.call("GET", s.ready, "/metrics", ""); status != http.StatusOK || !strings.Contains(text, "currantwinch_starts_sent_total 3") {
		t.Errorf("metrics: status %d, want 200 with currantwinch_starts_sent_total 3", status)
	}
}

// A daemon that is killed and restarted must be the same member of the group.
// Otherwise its partitions have no owner until the store detects the failure of the
// first process.
func TestHost_KeepsMemberNameAcrossRestarts(t *testing.T) {
	s := newDeployment(t, 1)
	_, address := s.start()
	var state struct {
		Daemon  string   `json:"daemon"`
		Members []string `json:"members"`
	}
	s.await("member", func() bool {
		_, text := s.call("GET", s.ready, "/debug/state", "")
		return json.Unmarshal([]byte(text), &state) == nil && len(state.Members) == 1
	})
	if state.Members[0] != state.Daemon {
		t.Errorf("daemon %s is member %s, want its own name; a restarted process on %s would be another member", state.Daemon, state.Members[0], address)
	}
}

func TestHost_AppliesConfigurationAfterTruncation(t *testing.T) {
	s := newDeployment(t, 1)
	_, address := s.start()
	s.configure(2, "/p/")
	s.store.Truncate("keyed.op", 0)
	s.await("in force", func() bool {
		status, _ := s.call("GET", address, "/p/", "")
		return status == http.StatusOK
	})
	if status, _ := s.call("GET", address, "/q/", ""); status != http.StatusNotFound {
		t.Errorf("status %d on a removed route, want 404", status)
	}
}

func TestHost_NextOwnerCompletesAcceptedSubmission(t *testing.T) {
	s := newDeployment(t, 1)
	s.servers[0].RunDuration = 2 * time.Second
	first, address := s.start()
	_, second := s.start()
	if status, text := s.call("POST", address, "/q/"+id, work); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := first.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	s.await("completed", func() bool { return s.completed(second) })
	for task, n := range s.servers[0].Starts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1", task, n)
		}
	}
}

func TestHost_RefusesImmediatelyWhileStoreFails(t *testing.T) {
	s := newDeployment(t, 1)
	_, address := s.start()
	if status, text := s.call("POST", address, "/q/"+id, work); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	s.store.SetFault(standin.Status(http.StatusServiceUnavailable, ""))
	submit := func(id string) (status int, retryAfter string, took time.Duration) {
		began := time.Now()
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+address+"/q/"+id, strings.NewReader(work))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h.example"
		r.Header.Set("X-Currantwinch-Timeout-Ms", "900")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode, response.Header.Get("Retry-After"), time.Since(began)
	}
	const unknown = "00000000000000a2"
	if status, _, _ := submit(unknown); status != http.StatusGatewayTimeout {
		t.Errorf("status %d while the append is in progress, want 504", status)
	}
	next := 0
	s.await("refused", func() bool {
		next++
		status, retryAfter, took := submit(fmt.Sprintf("%016x", 0xb00+next))
		return status == http.StatusServiceUnavailable && retryAfter != "" && took < 200*time.Millisecond
	})
	// The daemon must not claim that a submission was not accepted if it may have been.
	if status, _, _ := submit(unknown); status != http.StatusGatewayTimeout {
		t.Errorf("status %d for a submission that may have been accepted, want 504", status)
	}
	if status, _, _ := submit(id); status != http.StatusOK {
		t.Errorf("status %d for a retry of an accepted submission, want 200", status)
	}
	s.store.SetFault(nil)
	s.await("completed", func() bool { return s.completed(address) })
	s.await("accepted", func() bool {
		status, _, _ := submit(unknown)
		return status == http.StatusOK
	})
}
