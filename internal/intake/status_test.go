package intake

import (
	"fmt"
	"testing"
)

// The clients that are refused the most are known in bounded memory while thousands of others
// come and go.
func TestFrequentClients_KeepsTheMostFrequent(t *testing.T) {
	f := newFrequentClients(countedRefused)
	for i := range 4000 {
		f.add(refusedClient{ReasonGaveWay, Client{Address: fmt.Sprint("passing-", i)}})
		if i%4 == 0 {
			f.add(refusedClient{ReasonFull, Client{Address: "crowd"}})
		}
	}
	most := f.most(shownRefused)
	if len(f.counts) != countedRefused || len(most) != shownRefused {
		t.Fatalf("%d counted and %d shown, want %d and %d", len(f.counts), len(most), countedRefused, shownRefused)
	}
	if first := most[0]; first.Address != "crowd" || first.Count-first.Excess > 1000 || first.Count < 1000 {
		t.Errorf("%+v, want the crowd with 1000 refusals, or more by the excess", first)
	}
}
