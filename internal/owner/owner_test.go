package owner_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// daemonCount is smaller in a short run.
func daemonCount() int {
	if testing.Short() {
		return 5
	}
	return 9
}

// inCell runs a test in a settled cell of nine daemons, or five, in virtual time.
func inCell(t *testing.T, f func(t *testing.T, c *cell)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, daemonCount(), 12)
		c.run(daemonCount())
		defer c.close()
		time.Sleep(12 * time.Second)
		if o := c.outcome(); o.unowned != 0 || o.shares < 36+12 {
			t.Fatalf("not settled: %+v", o)
		}
		c.reset()
		f(t, c)
		if c.doubles != 0 {
			t.Errorf("%d double owners", c.doubles)
		}
	})
}

func TestCrash_RecoversWithinSixSeconds(t *testing.T) {
	const delay = 100 * time.Millisecond
	for name, weather := range map[string]func(*cell){
		"fast log":     func(*cell) {},
		"slow log":     func(c *cell) { c.log.SetDelay(delay, delay) },
		"answers lost": func(c *cell) { c.log.LoseResponses(20) },
	} {
		t.Run(name, func(t *testing.T) {
			inCell(t, func(t *testing.T, c *cell) {
				weather(c)
				time.Sleep(5 * time.Second)
				held := c.held("d4")
				c.crash("d4")
				time.Sleep(20 * time.Second)
				o := c.outcome()
				t.Logf("held %d, %+v", held, o)
				if o.longest > 6*time.Second || o.unowned != 0 || o.moves != held {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

func TestStop_HandsOverWithoutAGap(t *testing.T) {
	for name, delay := range map[string]time.Duration{"fast log": 0, "slow log": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			inCell(t, func(t *testing.T, c *cell) {
				c.log.SetDelay(delay, delay)
				time.Sleep(5 * time.Second)
				held := c.held("d4")
				start := time.Now()
				if err := c.leave("d4", 20*time.Second); err != nil {
					t.Error(err)
				}
				took := time.Since(start)
				time.Sleep(20 * time.Second)
				o := c.outcome()
				t.Logf("held %d, took %v, %+v", held, took, o)
				if o.longest > 500*time.Millisecond || o.unowned != 0 || o.moves != held {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

// A process that is back before it is missed takes its own shares again; a VM
// that takes longer moves its shares away once and back once. All others keep
// their tenures while they renew their claims with the new witnesses.
func TestRestart_DoesNotFlap(t *testing.T) {
	tests := []struct {
		name  string
		down  time.Duration
		moves int // at most, for each share held
	}{
		{"process restart", 300 * time.Millisecond, 0},
		{"VM restart", 20 * time.Second, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inCell(t, func(t *testing.T, c *cell) {
				held := c.held("d4")
				c.crash("d4")
				time.Sleep(tt.down)
				c.start(4, 2)
				time.Sleep(50 * time.Second)
				o := c.outcome()
				t.Logf("held %d, then %d, %+v", held, c.held("d4"), o)
				if o.resets != 0 || o.moves > tt.moves*held || o.unowned != 0 || o.longest > 6*time.Second {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

// While the log is down for all, every share stays with its owner, without a
// gap. When it is back, nothing moves.
func TestOutage_OwnersStay(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		c.log.SetDown(false)
		time.Sleep(30 * time.Second)
		if o := c.outcome(); o.moves != 0 || o.longest > 100*time.Millisecond || o.unowned != 0 {
			t.Errorf("got %+v", o)
		}
	})
}

// A daemon that loses the log alone goes on, on the reads of its peers.
func TestLogCutForOne_OwnerStays(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		c.nodes["d4"].path.SetUnreachable(true)
		time.Sleep(time.Minute)
		if o := c.outcome(); o.moves != 0 || o.longest > 100*time.Millisecond || o.unowned != 0 {
			t.Errorf("got %+v", o)
		}
	})
}

// A region cut off with the log down keeps nothing, since it is a minority;
// the others keep their shares, and nobody takes any.
func TestOutageAndCutOff_MinorityStops(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		held := c.held("d0") + c.held("d3") + c.held("d6")
		c.log.SetDown(true)
		time.Sleep(20 * time.Second)
		c.network.Partition("r0", "r1")
		c.network.Partition("r0", "r2")
		time.Sleep(time.Minute)
		if o := c.outcome(); o.unowned != held || o.moves != 0 {
			t.Errorf("held %d, got %+v", held, o)
		}
		c.network.Heal("r0", "r1")
		c.network.Heal("r0", "r2")
		time.Sleep(20 * time.Second)
		if o := c.outcome(); o.unowned != 0 || o.moves != 0 {
			t.Errorf("after healing: %+v", o)
		}
	})
}

// A daemon cut off from the log and from all others stops in time, others take
// its shares, and when it is back it does not act for them.
func TestCutOff_OthersTakeOver(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		held := c.held("d4")
		c.nodes["d4"].path.SetUnreachable(true)
		for _, region := range []string{"r0", "r1", "r2"} {
			c.network.Partition("d4", region)
		}
		time.Sleep(15 * time.Second)
		o := c.outcome()
		t.Logf("held %d, %+v", held, o)
		if o.longest > 6*time.Second || o.unowned != 0 || o.moves != held {
			t.Errorf("held %d, got %+v", held, o)
		}
		c.nodes["d4"].path.SetUnreachable(false)
		for _, region := range []string{"r0", "r1", "r2"} {
			c.network.Heal("d4", region)
		}
		time.Sleep(3 * time.Second)
		if o := c.outcome(); o.unowned != 0 || o.moves != held {
			t.Errorf("after healing: %+v", o)
		}
	})
}

// A planned stop while the log is down ends in time, hands nothing over, and
// leaves the shares to be claimed when the log is back.
func TestOutage_PlannedStopEndsInTime(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		held := c.held("d4")
		c.log.SetDown(true)
		time.Sleep(20 * time.Second)
		start := time.Now()
		if err := c.leave("d4", 10*time.Second); err != nil {
			t.Errorf("leave: %v", err)
		}
		if took := time.Since(start); took > 10*time.Second {
			t.Errorf("took %v", took)
		}
		time.Sleep(5 * time.Second)
		if o := c.outcome(); o.unowned != held || o.moves != 0 {
			t.Errorf("held %d, got %+v", held, o)
		}
		c.log.SetDown(false)
		time.Sleep(20 * time.Second)
		if o := c.outcome(); o.unowned != 0 || o.moves != held {
			t.Errorf("after the outage: held %d, got %+v", held, o)
		}
	})
}

// A daemon that joins during an outage neither holds nor vouches. A restarted
// one gets its shares back when the log is.
func TestOutage_RestartWaitsForTheLog(t *testing.T) {
	inCell(t, func(t *testing.T, c *cell) {
		held := c.held("d4")
		c.log.SetDown(true)
		time.Sleep(20 * time.Second)
		c.crash("d4")
		c.start(4, 2)
		time.Sleep(time.Minute)
		if o := c.outcome(); o.unowned != held || o.moves != 0 {
			t.Errorf("held %d, got %+v", held, o)
		}
		c.log.SetDown(false)
		time.Sleep(20 * time.Second)
		if o := c.outcome(); o.unowned != 0 {
			t.Errorf("after the outage: %+v", o)
		}
	})
}
