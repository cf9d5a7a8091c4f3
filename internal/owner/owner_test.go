package owner_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// daemonCount is the number of daemons in the test cell.
func daemonCount() int {
	if testing.Short() {
		return 5
	}
	return 9
}

// runInCell runs a test in virtual time in a cell whose daemons have claimed
// all shares, and fails if two daemons ever held a lease on the same share.
func runInCell(t *testing.T, f func(t *testing.T, c *testCell)) {
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
		if c.doubleOwners != 0 {
			t.Errorf("%d double owners", c.doubleOwners)
		}
	})
}

func TestOwner_CrashRecoversWithinSixSeconds(t *testing.T) {
	const delay = 100 * time.Millisecond
	for name, inject := range map[string]func(*testCell){
		"fast log":     func(*testCell) {},
		"slow log":     func(c *testCell) { c.log.SetDelay(delay, delay) },
		"answers lost": func(c *testCell) { c.log.LoseResponses(20) },
	} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
				inject(c)
				time.Sleep(5 * time.Second)
				held := c.held("d4")
				c.crash("d4")
				time.Sleep(20 * time.Second)
				o := c.outcome()
				t.Logf("held %d, %+v", held, o)
				if o.longestGap > 6*time.Second || o.unowned != 0 || o.moves != held {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

func TestOwner_StopHandsOverWithoutGap(t *testing.T) {
	for name, delay := range map[string]time.Duration{"fast log": 0, "slow log": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runInCell(t, func(t *testing.T, c *testCell) {
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
				if o.longestGap > 500*time.Millisecond || o.unowned != 0 || o.moves != held {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

// Guards against shares moving back and forth on a restart: a process that
// restarts before its failure is detected claims its own shares again, and a
// VM that takes longer causes one move away and one back. The other daemons
// keep their tenures while they renew their claims with the new witnesses.
func TestOwner_RestartDoesNotFlap(t *testing.T) {
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
			runInCell(t, func(t *testing.T, c *testCell) {
				held := c.held("d4")
				c.crash("d4")
				time.Sleep(tt.down)
				c.start(4, 2)
				time.Sleep(50 * time.Second)
				o := c.outcome()
				t.Logf("held %d, then %d, %+v", held, c.held("d4"), o)
				if o.epochChanges != 0 || o.moves > tt.moves*held || o.unowned != 0 || o.longestGap > 6*time.Second {
					t.Errorf("held %d, got %+v", held, o)
				}
			})
		})
	}
}

// While the log is down for all daemons, every share stays with its owner
// without a gap. When the log is back, nothing moves.
func TestOwner_LogOutageKeepsOwners(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.log.SetDown(true)
		time.Sleep(time.Minute)
		c.log.SetDown(false)
		time.Sleep(30 * time.Second)
		if o := c.outcome(); o.moves != 0 || o.longestGap > 100*time.Millisecond || o.unowned != 0 {
			t.Errorf("got %+v", o)
		}
	})
}

// A daemon that can't reach the log while its peers can keeps its shares on
// the evidence of their reads.
func TestOwner_LogUnreachableForOneDaemonKeepsOwner(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		c.nodes["d4"].logClient.SetUnreachable(true)
		time.Sleep(time.Minute)
		if o := c.outcome(); o.moves != 0 || o.longestGap > 100*time.Millisecond || o.unowned != 0 {
			t.Errorf("got %+v", o)
		}
	})
}

// While the log is down, a region that is cut off is a minority and loses its
// leases. The others keep their shares, and no daemon claims any.
func TestOwner_MinorityPartitionStopsDuringLogOutage(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
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

// A daemon that reaches neither the log nor other daemons stops in time and
// others take its shares. Once reconnected, it doesn't act for them.
func TestOwner_IsolatedDaemonIsReplaced(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
		held := c.held("d4")
		c.nodes["d4"].logClient.SetUnreachable(true)
		for _, region := range []string{"r0", "r1", "r2"} {
			c.network.Partition("d4", region)
		}
		time.Sleep(15 * time.Second)
		o := c.outcome()
		t.Logf("held %d, %+v", held, o)
		if o.longestGap > 6*time.Second || o.unowned != 0 || o.moves != held {
			t.Errorf("held %d, got %+v", held, o)
		}
		c.nodes["d4"].logClient.SetUnreachable(false)
		for _, region := range []string{"r0", "r1", "r2"} {
			c.network.Heal("d4", region)
		}
		time.Sleep(3 * time.Second)
		if o := c.outcome(); o.unowned != 0 || o.moves != held {
			t.Errorf("after healing: %+v", o)
		}
	})
}

// A planned stop during a log outage ends in time and hands nothing over. The
// shares are claimed when the log is back.
func TestOwner_PlannedStopDuringLogOutageEndsInTime(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
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

// A daemon that starts during a log outage neither holds shares nor attests. A
// restarted one gets its shares back once the log is back.
func TestOwner_RestartDuringLogOutageWaitsForLog(t *testing.T) {
	runInCell(t, func(t *testing.T, c *testCell) {
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
