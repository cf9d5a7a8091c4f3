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

// tampered is a worker whose answers a test may look at and change.
type tampered struct {
	clock   *manualClock
	standin *workerstandin.Workers
	workers placer.Workers
	vm      cluster.VM
	// answer replaces an answer; nil leaves all as they are.
	answer func(body string) string
	// bytes counts the bodies of both directions.
	bytes int
}

func newTampered(t *testing.T) *tampered {
	w := &tampered{clock: &manualClock{now: time.Unix(100, 0)}}
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

func (w *tampered) start(t *testing.T, n int) (refs []placer.TaskRef) {
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

func (w *tampered) renew(t *testing.T, refs []placer.TaskRef) placer.Inventory {
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

// TestRenew_BytesFollowChange checks that renewing everything on a worker that
// did not change takes as many bytes for many tasks as for few.
func TestRenew_BytesFollowChange(t *testing.T) {
	var took []int
	for _, n := range []int{2, 200} {
		w := newTampered(t)
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

// TestInventory_AnswersThatDoNotFit checks that an answer which builds on a
// state that was never read is an error, and that the next read is whole.
func TestInventory_AnswersThatDoNotFit(t *testing.T) {
	cases := map[string]func(body string) string{
		"older revision": func(body string) string { return strings.Replace(body, `"revision":1`, `"revision":0`, 1) },
		"other feed":     func(body string) string { return strings.Replace(body, `"feed":"`, `"feed":"x`, 1) },
		"other boot":     func(body string) string { return strings.Replace(body, `"boot":"`, `"boot":"x`, 1) },
		"no JSON":        func(string) string { return "<html>" },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			w := newTampered(t)
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

// TestInventory_OvertakenAnswer checks that an answer which a later one has
// overtaken does not bring an older state back.
func TestInventory_OvertakenAnswer(t *testing.T) {
	w := newTampered(t)
	w.start(t, 1)
	w.renew(t, nil)
	held, free := make(chan struct{}), make(chan struct{})
	w.answer = func(body string) string {
		w.answer = nil
		close(held)
		<-free
		return body
	}
	late := make(chan error)
	go func() {
		_, err := w.workers.Inventory(context.Background(), w.vm)
		late <- err
	}()
	<-held
	for i := range 3 {
		if inv := w.renew(t, w.start(t, 1)); len(inv.Tasks) != i+2 {
			t.Fatalf("%d tasks, want %d", len(inv.Tasks), i+2)
		}
	}
	close(free)
	if err := <-late; err != nil {
		t.Fatal(err)
	}
	w.bytes = 0
	inv := w.renew(t, nil)
	if len(inv.Tasks) != 4 || w.bytes > 1000 {
		t.Errorf("%d tasks by %d bytes", len(inv.Tasks), w.bytes)
	}
}
