package duty_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func waitForEnd(ctx context.Context, _ duty.Heartbeat) error { <-ctx.Done(); return nil }

func TestGroup_FailedDutyStopsGroup(t *testing.T) {
	boom := errors.New("boom")
	cases := []struct {
		name  string
		f     duty.Func
		check func(error) bool
	}{
		{"error", func(context.Context, duty.Heartbeat) error { return boom },
			func(err error) bool { return errors.Is(err, boom) }},
		{"panic", func(context.Context, duty.Heartbeat) error { panic("boom") },
			func(err error) bool { var p *duty.PanicError; return errors.As(err, &p) && p.Duty == "bad" }},
	}
	for _, c := range cases {
		g := duty.New(time.Now)
		g.Go("good", 0, waitForEnd)
		g.Go("bad", 0, c.f)
		<-g.Done()
		if err := g.Stop(context.Background()); err != nil {
			t.Errorf("%s: stop: %v", c.name, err)
		}
		if !c.check(g.Err()) {
			t.Errorf("%s: cause %v", c.name, g.Err())
		}
	}
}

func TestGroup_ReportsStuckDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := duty.New(time.Now)
		g.Go("quiet", time.Second, waitForEnd)
		time.Sleep(2 * time.Second)
		if s := g.Stats(); len(s) != 1 || !s[0].Stuck {
			t.Errorf("stats %+v", s)
		}
		_ = g.Stop(context.Background())
		if s := g.Stats(); s[0].Stuck || !s[0].Done {
			t.Errorf("after stop %+v", s)
		}
	})
}

func Example() {
	g := duty.New(time.Now)
	g.Go("tail", time.Minute, func(ctx context.Context, heartbeat duty.Heartbeat) error {
		heartbeat()
		<-ctx.Done()
		return nil
	})
	fmt.Println(g.Stop(context.Background()), g.Err())
	// Output: <nil> <nil>
}
