package host_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

// stopTime is what the stops of these tests may take. It is shorter than all waits of a stop
// together.
const stopTime = 4 * time.Second

// hangUntil lets calls to the store get no answer before the channel is closed.
func hangUntil(released <-chan struct{}) standin.Fault {
	return func(http.ResponseWriter, *http.Request) bool {
		<-released
		return true
	}
}

// slowly answers calls after a time.
func slowly(d time.Duration) standin.Fault {
	return func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(d)
		return false
	}
}

// Guards against a daemon that is still at work at the end of its grace period because the
// store answers late or not at all: on a day with a slow store two of 100 were. It must end
// by itself within the time that it is given, and leave no call that it has read without an answer.
func TestHost_StopsInTimeWhateverTheStoreDoes(t *testing.T) {
	for name, faultOf := range map[string]func(released <-chan struct{}) standin.Fault{
		"hangs":  hangUntil,
		"slow":   func(<-chan struct{}) standin.Fault { return slowly(240 * time.Millisecond) },
		"resets": func(<-chan struct{}) standin.Fault { return standin.Reset },
		"well":   func(<-chan struct{}) standin.Fault { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			defer close(released)
			fault := faultOf(released)
			s := newDeployment(t, 1)
			h, address := s.start()
			if status, text := s.call("POST", address, "/q/"+id, work); status != http.StatusOK {
				t.Fatalf("%d %s", status, text)
			}
			s.store.SetFault(fault)
			defer s.store.SetFault(nil)
			ended := make(chan struct{})
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() { s.submitUntil(ended, address, caller) })
			}
			ctx, cancel := context.WithTimeout(context.Background(), stopTime)
			defer cancel()
			began := time.Now()
			err := h.Stop(ctx)
			close(ended)
			if took := time.Since(began); err != nil || ctx.Err() != nil {
				t.Errorf("the stop took %s and returned %v, want an end by itself within %s", took, err, stopTime)
			}
			callers.Wait()
		})
	}
}

// submitUntil submits one submission after another until the daemon accepts no connection.
func (s *deployment) submitUntil(ended <-chan struct{}, address string, caller int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		default:
		}
		r, err := http.NewRequest("POST", fmt.Sprintf("http://%s/q/%08x%08x", address, caller+1, n), strings.NewReader(work))
		if err != nil {
			s.t.Error(err)
			return
		}
		r.Host = "h.example"
		r.Header.Set("X-Currantwinch-Timeout-Ms", "5000")
		response, err := client.Do(r)
		if err != nil {
			if !strings.Contains(err.Error(), "connection refused") && !strings.Contains(err.Error(), "connection reset") {
				s.t.Errorf("call %d of caller %d got no answer: %v", n, caller, err)
			}
			return
		}
		_ = response.Body.Close()
		time.Sleep(20 * time.Millisecond)
	}
}
