package host_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// configWait is the time in which daemons apply a published configuration.
const configWait = 250 * time.Millisecond

// submitAtAll repeats a submission at all daemons.
func (p *pools) submitAtAll(id string) {
	p.t.Helper()
	for _, address := range p.daemons {
		if status, text := p.call("POST", address, "/q/"+id, twoSteps); status != http.StatusOK {
			p.t.Errorf("repeated: %d %s", status, text)
		}
	}
}

// Guards against tasks that run a second time: a queue got another name and another service,
// and a late copy of an answered POST was accepted by the home of the new name, which had never
// heard of the ID (review case 11, TWICE).
func TestHost_RepeatAfterARenameStartsNothing(t *testing.T) {
	for name, end := range map[string]func(p *pools){
		"while it runs": func(*pools) {},
		"after its end": func(p *pools) { p.awaitCompleted(id) },
		"after it was cancelled": func(p *pools) {
			if status, _ := p.call("DELETE", p.daemons[0], "/q/"+id, ""); status != http.StatusOK {
				p.t.Errorf("cancel: status %d", status)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPools(t, 900*time.Millisecond)
			p.submit(id)
			p.await("started", func() bool { return p.total(id) == 2 })
			end(p)
			started := p.total(id)
			p.publish(route{"renamed", "/q/", "west"})
			time.Sleep(configWait)
			p.submitAtAll(id)
			if name == "while it runs" {
				started = 3
				p.awaitCompleted(id)
			}
			time.Sleep(configWait)
			if n := p.total(id); n != started {
				t.Errorf("%d starts, want %d: %v", n, started, p.starts(id))
			}
		})
	}
}

// A queue changes its name with each version, and two exchange theirs. What is submitted goes
// on, is counted and is cancelled by the address, and runs once.
func TestHost_QueueIsItsAddress(t *testing.T) {
	p := newPools(t, 700*time.Millisecond)
	p.submit(id)
	p.await("started", func() bool { return p.total(id) == 2 })
	for _, routes := range [][]route{
		{{"b", "/q/", "annex"}, {"r", "/other/", "pool"}},
		{{"r", "/q/", "annex"}, {"b", "/other/", "west"}},
		{{"c", "/q/", "annex"}, {"d", "/q/1", "west"}},
	} {
		p.publish(routes...)
		time.Sleep(configWait)
		p.submitAtAll(id)
	}
	p.awaitCompleted(id)
	if n := p.total(id); n != 3 {
		t.Errorf("%d starts of 3 tasks: %v", n, p.starts(id))
	}
	p.byName["annex"].RunDuration = time.Minute
	p.submit("00000000000000a2")
	p.publish(route{"e", "/q/", "west"})
	time.Sleep(configWait)
	if status, _ := p.call("DELETE", p.daemons[1], "/q/00000000000000a2", ""); status != http.StatusOK {
		t.Errorf("cancel: status %d", status)
	}
	if status, text := p.call("GET", p.daemons[0], "/q/00000000000000a2", ""); status != http.StatusOK || !strings.Contains(text, "cancelled") {
		t.Errorf("%d %s, want it cancelled", status, text)
	}
}

// Two queues of one service get submissions of one ID. Neither may be taken for the other by
// POST, GET or DELETE.
func TestHost_OneIDAtTwoAddresses(t *testing.T) {
	p := newPools(t, time.Minute)
	p.publish(route{"r", "/q/", "pool"}, route{"s", "/other/", "pool"})
	time.Sleep(configWait)
	p.submit(id)
	for _, c := range []struct {
		method string
		status int
	}{{"POST", http.StatusConflict}, {"GET", http.StatusGone}, {"DELETE", http.StatusGone}} {
		for _, address := range p.daemons {
			if status, text := p.call(c.method, address, "/other/"+id, twoSteps); status != c.status {
				t.Errorf("%s at the other queue: %d %s, want %d", c.method, status, text, c.status)
			}
		}
	}
	if status, text := p.call("GET", p.daemons[0], "/q/"+id, ""); status != http.StatusOK || strings.Contains(text, "cancelled") {
		t.Errorf("%d %s, want the submission to go on", status, text)
	}
}
