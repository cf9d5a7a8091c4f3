package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

// TestTeamLimit_HoldsAcrossHomes guards against homes that each fill a team's
// limit on their own. It submits far more than the limit to all homes at once.
// The limit may be exceeded by at most one part for each other home.
func TestTeamLimit_HoldsAcrossHomes(t *testing.T) {
	const limit = 30
	for _, homes := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(homes), func(t *testing.T) {
			t.Parallel()
			runInCell(t, homes, workersInRacks(72, smallWorker), workerstandin.Options{}, func(c *cell) {
				c.setQuota("a", document.Quota{Limit: cluster.Resources{CPU: limit * 1000}})
				time.Sleep(2 * time.Second)
				for i := range 90 {
					c.submit(fmt.Sprint("job", i), "a", batch(2, 1000))
				}
				most := 0
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					most = max(most, len(c.workers.RunningAttempts()))
				}
				t.Logf("%d homes: %d tasks ran at once within a limit of %d", homes, most, limit)
				part := (limit + homes - 1) / homes
				if now := len(c.workers.RunningAttempts()); most > limit+(homes-1)*part || now < limit {
					t.Errorf("at most %d tasks and %d at the end, want at most %d and at least %d", most, now, limit+(homes-1)*part, limit)
				}
			})
		})
	}
}
