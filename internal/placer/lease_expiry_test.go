package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// TestOwnership_ExpiresAndReturnsUnderTheSameEpoch guards against acting on
// state from before an interruption of ownership. The ownership leases of the
// racks' owner expire and return under the same epochs while tasks of another
// daemon's homes are being started.
func TestOwnership_ExpiresAndReturnsUnderTheSameEpoch(t *testing.T) {
	for lead := range 12 {
		t.Run(fmt.Sprint(lead), func(t *testing.T) {
			t.Parallel()
			runInCell(t, 2, workersInRacks(8, smallWorker), workerstandin.Options{}, func(c *cell) {
				go c.expireLeases("d0", 200*time.Millisecond)
				time.Sleep(leaseDuration - time.Duration(lead)*10*time.Millisecond)
				for i := range 8 {
					c.submit(fmt.Sprint("gang", i), "g", gang(3, 1000))
				}
				time.Sleep(3 * time.Minute)
				for i := range 8 {
					c.wantDone(fmt.Sprint("gang", i), 3, 0)
				}
				c.checkInvariants()
			})
		})
	}
}
