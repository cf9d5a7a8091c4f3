package workerhttp_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/workerhttp"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// interceptedWorker is a worker whose responses a test can inspect and modify.
type interceptedWorker struct {
	clock   *manualClock
	standin *workerstandin.Workers
	workers placer.Workers
	vm      cluster.VM
	// answer modifies the body of a response; nil leaves responses unchanged.
	answer func(body string) string
	// bytes is the total size of the request and response bodies.
	bytes int
}

func newInterceptedWorker(t *testing.T) *interceptedWorker {
	w := &interceptedWorker{clock: &manualClock{now: time.Unix(100, 0)}}
	w.vm = cluster.VM{Name: "w0", Capacity: cluster.Resources{CPU: 1 << 20, Memory: 1 << 40}}
	w.standin = workerstandin.New(workerstandin.Options{
		VMs: []cluster.VM{w.vm}, Now: w.clock.Now,
		RunTime: func(placer.StartRequest) time.Duration { return 0 },
	})
	inner := w.standin.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		out := httptest.NewRecorder()
		inner.ServeHTTP(out, r)
		text := out.Body.String()
		w.bytes += len(body) + len(text)
		if w.answer != nil {
			text = w.answer(text)
		}
		rw.WriteHeader(out.Code)
		_, _ = io.WriteString(rw, text)
	}))
	t.Cleanup(server.Close)
	w.vm.Address = strings.TrimPrefix(server.URL, "http://")
	w.workers = workerhttp.New(server.Client())
	return w
}

func (w *interceptedWorker) start(t *testing.T, n int) (refs []placer.TaskRef) {
	inv, err := w.workers.Inventory(context.Background(), w.vm)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		ref := placer.TaskRef{JobID: "j", Index: i, Attempt: len(inv.Tasks)}
		refs = append(refs, ref)
		err := w.standin.Start(context.Background(), w.vm, placer.StartRequest{
			Task: ref, BootID: inv.BootID, NotAfter: inv.Clock + 1, LeaseUntil: inv.Clock + placer.WorkerTime(time.Minute),
			Resources: cluster.Resources{CPU: 100, Memory: 1 << 20},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return refs
}

func (w *interceptedWorker) renew(t *testing.T, refs []placer.TaskRef) placer.Inventory {
	t.Helper()
	inv, err := w.workers.Inventory(context.Background(), w.vm)
	if err != nil {
		t.Fatal(err)
	}
	inv, err = w.workers.Renew(context.Background(), w.vm, placer.RenewRequest{
		BootID: inv.BootID, Tasks: refs, LeaseUntil: inv.Clock + placer.WorkerTime(time.Minute),
	})
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

// TestRenew_SizeDependsOnChanges checks that renewing all tasks of an unchanged
// worker transfers as many bytes for 200 tasks as for 2.
func TestRenew_SizeDependsOnChanges(t *testing.T) {
	var took []int
	for _, n := range []int{2, 200} {
		w := newInterceptedWorker(t)
		refs := w.start(t, n)
		w.clock.Wait(time.Second)
		w.renew(t, refs)
		w.bytes = 0
		if inv := w.renew(t, refs); len(inv.Tasks) != n {
			t.Fatalf("%d tasks, want %d", len(inv.Tasks), n)
		}
		took = append(took, w.bytes)
	}
	if took[0] != took[1] {
		t.Errorf("%d bytes for 2 tasks, %d for 200", took[0], took[1])
	}
}

// TestInventory_MismatchedResponses checks that a delta to a state that the client
// does not hold is an error, and that the next read returns the full inventory.
func TestInventory_MismatchedResponses(t *testing.T) {
	cases := map[string]func(body string) string{
		"older revision": func(body string) string { return strings.Replace(body, `"revision":1`, `"revision":0`, 1) },
		"other feed":     func(body string) string { return strings.Replace(body, `"feed":"`, `"feed":"x`, 1) },
		"other boot":     func(body string) string { return strings.Replace(body, `"boot":"`, `"boot":"x`, 1) },
		"no JSON":        func(string) string { return "<html>" },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			w := newInterceptedWorker(t)
			w.start(t, 3)
			w.renew(t, nil)
			w.answer = answer
			if inv, err := w.workers.Inventory(context.Background(), w.vm); verdict.Of(err) != verdict.MayHaveRun {
				t.Fatalf("got %+v, %v", inv, err)
			}
			w.answer = nil
			if inv := w.renew(t, nil); len(inv.Tasks) != 3 {
				t.Errorf("%d tasks, want 3", len(inv.Tasks))
			}
		})
	}
}

// TestInventory_OutOfOrderResponse checks that a response which arrives after a
// newer one does not replace the newer state.
func TestInventory_OutOfOrderResponse(t *testing.T) {
	w := newInterceptedWorker(t)
	w.start(t, 1)
	w.renew(t, nil)
	blocked, release := make(chan struct{}), make(chan struct{})
	w.answer = func(body string) string {
		w.answer = nil
		close(blocked)
		<-release
		return body
	}
	late := make(chan error)
	go func() {
		_, err := w.workers.Inventory(context.Background(), w.vm)
		late <- err
	}()
	<-blocked
	for i := range 3 {
		if inv := w.renew(t, w.start(t, 1)); len(inv.Tasks) != i+2 {
			t.Fatalf("%d tasks, want %d", len(inv.Tasks), i+2)
		}
	}
	close(release)
	if err := <-late; err != nil {
		t.Fatal(err)
	}
	w.bytes = 0
	inv := w.renew(t, nil)
	if len(inv.Tasks) != 4 || w.bytes > 1000 {
		t.Errorf("%d tasks by %d bytes", len(inv.Tasks), w.bytes)
	}
}
