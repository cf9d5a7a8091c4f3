package owner_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"
)

// idleBytesPerSecond returns the average number of bytes per second that one
// daemon sends to all others while nothing happens.
func idleBytesPerSecond(c *testCell, d time.Duration) float64 {
	before := c.sentBytes()
	time.Sleep(d)
	return float64(c.sentBytes()-before) / d.Seconds() / float64(len(c.nodes))
}

func (c *testCell) sentBytes() (total uint64) {
	for a := range 3 {
		for b := range 3 {
			total += c.network.BytesSent("r"+string(rune('0'+a)), "r"+string(rune('0'+b)))
		}
	}
	return total
}

// Idle traffic between daemons must not grow with the number of racks. The
// target for all traffic of one daemon is 14 KB/s.
func TestOwner_IdleTrafficBounded(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("takes seconds")
	}
	var rates [2]float64
	for i, racks := range []int{12, 99} {
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, daemonCount(), racks)
			c.run(daemonCount())
			defer c.close()
			time.Sleep(15 * time.Second)
			rates[i] = idleBytesPerSecond(c, 10*time.Second)
			full, _ := json.Marshal(c.nodes["d0"].store.View().Shares())
			t.Logf("%d racks: %.0f B/s sent a daemon; all claims in every heartbeat: %.0f B/s more",
				racks, rates[i], float64(len(full))*8/0.4)
		})
	}
	if rates[1] > 3500 {
		t.Errorf("%.0f B/s a daemon is over a quarter of the target", rates[1])
	}
	if rates[1] > 1.1*rates[0] {
		t.Errorf("grows from %.0f to %.0f B/s with the racks", rates[0], rates[1])
	}
}
