package host_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

// twoSteps is a submission of two tasks, followed by one.
const twoSteps = `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":300},{"count":1,"cpu":1000,"mem_mb":100,"depends_on":[0]}]}`

// pools is a deployment with one backend server in each of several services. Annex and other
// have the same partition; the others have one each.
type pools struct {
	*deployment
	version int
	byName  map[string]*standin.Server
	daemons []string
}

func newPools(t *testing.T, work time.Duration) *pools {
	p := &pools{deployment: newDeployment(t, 0), version: 1, byName: make(map[string]*standin.Server)}
	for _, service := range []string{"pool", "annex", "other", "west"} {
		server := standin.NewServer("i-"+service, work)
		p.byName[service] = server
		entry := strings.Replace(fmt.Sprintf(soundEntry, p.serve(server), server.Born()), `"service":"pool"`, fmt.Sprintf(`"service":%q`, service), 1)
		p.store.Put("keyed.servers", 0, server.ID, []byte(strings.Replace(entry, `"r1"`, fmt.Sprintf(`"r-%s"`, service), 1)))
	}
	p.lead("pool")
	for range 2 {
		_, address := p.start()
		p.daemons = append(p.daemons, address)
	}
	return p
}

// lead publishes a version of the configuration that leads the queue to a service.
func (p *pools) lead(service string) { p.publish(route{"r", "/q/", service}) }

// route is a queue of a published configuration.
type route struct{ name, prefix, service string }

// publish publishes a version of the configuration with the given queues.
func (p *pools) publish(routes ...route) {
	p.version++
	var queues []string
	for _, r := range routes {
		queues = append(queues, fmt.Sprintf(
			`{"name":%q,"host":"h.example","path_prefix":%q,"service":%q,"attempts":2,"stretch":2,"target_latency_ms":400}`, r.name, r.prefix, r.service))
	}
	p.store.Put("keyed.op", 0, "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"pool"},{"name":"annex"},{"name":"other"},{"name":"west"}],"limits":{"max_body_bytes":10000}}`,
		p.version, strings.Join(queues, ",")))
}

// starts returns how often the tasks of a submission were started, by service.
func (p *pools) starts(id string) map[string]int {
	out := make(map[string]int)
	for service, server := range p.byName {
		for task, n := range server.Starts() {
			if strings.HasPrefix(task, id) {
				out[service] += n
			}
		}
	}
	return out
}

func (p *pools) submit(id string) {
	p.t.Helper()
	if status, text := p.call("POST", p.daemons[0], "/q/"+id, twoSteps); status != http.StatusOK {
		p.t.Fatalf("submission %s: %d %s", id, status, text)
	}
}

// awaitCompleted waits until a submission is completed, and fails the test if a daemon does
// not know it meanwhile.
func (p *pools) awaitCompleted(id string) {
	p.t.Helper()
	p.await("completed: "+id, func() bool {
		completed := true
		for _, address := range p.daemons {
			status, text := p.call("GET", address, "/q/"+id, "")
			if status == http.StatusGone {
				p.t.Fatalf("submission %s is answered %d %s", id, status, text)
			}
			completed = completed && strings.Contains(text, `"completed"`)
		}
		return completed
	})
}

func (p *pools) total(id string) int {
	n := 0
	for _, starts := range p.starts(id) {
		n += starts
	}
	return n
}

// A configuration leads a queue to another service while an accepted submission waits for
// its second step, and on to others, which is also how it leads back. The submission stays
// known everywhere and completes, and neither a repeat of it nor the moves run a task twice.
func TestHost_SubmissionOfAQueueThatLeadsElsewhereCompletes(t *testing.T) {
	for _, route := range [][]string{{"annex"}, {"annex", "pool"}, {"annex", "other"}, {"annex", "pool", "west"}} {
		t.Run(strings.Join(route, " then "), func(t *testing.T) {
			t.Parallel()
			p := newPools(t, 700*time.Millisecond)
			p.submit(id)
			p.await("started", func() bool { return p.total(id) == 2 })
			for _, service := range route {
				p.lead(service)
				time.Sleep(250 * time.Millisecond)
				for _, address := range p.daemons {
					if status, text := p.call("POST", address, "/q/"+id, twoSteps); status != http.StatusOK {
						t.Errorf("repeated: %d %s", status, text)
					}
				}
			}
			p.awaitCompleted(id)
			if status, _ := p.call("POST", p.daemons[1], "/q/"+id, twoSteps); status != http.StatusOK {
				t.Errorf("repeated after the end: status %d", status)
			}
			time.Sleep(300 * time.Millisecond)
			if n := p.total(id); n != 3 {
				t.Errorf("%d starts of 3 tasks: %v", n, p.starts(id))
			}
			if status, _ := p.call("GET", p.daemons[0], "/q/00000000000000ff", ""); status != http.StatusGone {
				t.Errorf("status %d for a submission that does not exist, want 410", status)
			}
		})
	}
}

// What is submitted after a queue was led elsewhere runs on the new service, whichever
// service the queue had first, and is known, counted and cancelled there.
func TestHost_NewSubmissionsRunWhereTheQueueLeads(t *testing.T) {
	p := newPools(t, 50*time.Millisecond)
	p.submit("00000000000000b0")
	p.awaitCompleted("00000000000000b0")
	for n, service := range []string{"annex", "west", "pool", "other"} {
		p.lead(service)
		time.Sleep(250 * time.Millisecond)
		id := fmt.Sprintf("00000000000000c%d", n)
		p.submit(id)
		p.awaitCompleted(id)
		if got := p.starts(id); len(got) != 1 || got[service] != 3 {
			t.Errorf("submission %s has the starts %v, want 3 on %s", id, got, service)
		}
	}
	p.byName["other"].RunDuration = time.Minute
	p.submit("00000000000000d0")
	if status, _ := p.call("DELETE", p.daemons[1], "/q/00000000000000d0", ""); status != http.StatusOK {
		t.Errorf("cancel: status %d", status)
	}
	for _, address := range p.daemons {
		if status, text := p.call("GET", address, "/q/00000000000000d0", ""); status != http.StatusOK || !strings.Contains(text, "cancelled") {
			t.Errorf("%d %s, want it cancelled", status, text)
		}
	}
}

// The service that a queue had is dropped from the configuration with its servers. What the
// queue accepted moves to the next one.
func TestHost_SubmissionOutlivesItsService(t *testing.T) {
	p := newPools(t, 300*time.Millisecond)
	wait := strings.Replace(twoSteps, `"cpu":1000`, `"cpu":4001`, 1)
	if status, text := p.call("POST", p.daemons[0], "/q/"+id, wait); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	p.version++
	p.store.Put("keyed.op", 0, "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/","service":"annex","attempts":2,"stretch":2,"target_latency_ms":400}],"services":[{"name":"annex"}],"limits":{"max_body_bytes":10000}}`, p.version))
	large := strings.Replace(fmt.Sprintf(soundEntry, p.serve(p.byName["annex"]), p.byName["annex"].Born()), `"service":"pool"`, `"service":"annex"`, 1)
	large = strings.Replace(strings.Replace(large, `"r1"`, `"r-annex"`, 1), `"cpu":4000`, `"cpu":9000`, 1)
	p.store.Put("keyed.servers", 0, p.byName["annex"].ID, []byte(large))
	p.awaitCompleted(id)
	if got := p.starts(id); got["annex"] != 3 {
		t.Errorf("starts %v, want 3 on annex", got)
	}
}
