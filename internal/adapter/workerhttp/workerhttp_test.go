package workerhttp_test

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/workerhttp"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// manualClock advances only when Wait is called.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Wait(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func subject(t *testing.T, overHTTP bool) contracttest.WorkerSubject {
	clock := &manualClock{now: time.Unix(100, 0)}
	vm := cluster.VM{Name: "w0", Capacity: cluster.Resources{CPU: 1000, Memory: 1 << 30}}
	workers := workerstandin.New(workerstandin.Options{VMs: []cluster.VM{vm}, Now: clock.Now})
	s := contracttest.WorkerSubject{
		Workers: workers, VM: vm, Advance: clock.Wait,
		LoseNextResponse: func() { workers.SetFault("w0", workerstandin.Fault{LoseResponses: 1}) },
		MakeUnreachable:  func() { workers.SetFault("w0", workerstandin.Fault{Unreachable: true}) },
		Reboot:           func() { workers.Reboot("w0") },
		RestartAgent:     func() { workers.RestartAgent("w0") },
		NewReader:        func() placer.Workers { return workers },
	}
	if !overHTTP {
		return s
	}
	server := httptest.NewServer(workers.Handler())
	t.Cleanup(server.Close)
	s.VM.Address = strings.TrimPrefix(server.URL, "http://")
	s.NewReader = func() placer.Workers { return workerhttp.New(server.Client()) }
	s.Workers = s.NewReader()
	return s
}

func TestWorkers_Contract(t *testing.T) {
	for name, overHTTP := range map[string]bool{"direct": false, "http": true} {
		t.Run(name, func(t *testing.T) {
			contracttest.Workers(t, func(t *testing.T) contracttest.WorkerSubject { return subject(t, overHTTP) })
		})
	}
}
