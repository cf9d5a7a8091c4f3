package credit_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/credit"
)

func Example() {
	now := time.Unix(0, 0)
	owner := credit.NewOwner(credit.OwnerOptions{Share: "backend/r.0", Region: "r"},
		[]credit.Backend{{Name: "b1", Slots: 8}}, now)
	holder := credit.NewHolder(credit.HolderOptions{Name: "d1", Incarnation: "i", Region: "r"})
	holder.SetShares([]credit.Share{{Name: "backend/r.0", Region: "r", Slots: 8}})
	holder.SetDemand(credit.Demand{Short: 1})
	for _, request := range holder.Requests(now) {
		response, _, _ := owner.Serve(request, now)
		holder.Accept(response, now)
	}
	slot, ok := holder.Acquire("b1", now)
	fmt.Println(slot.Backend, ok, slot.SendBefore.Sub(now))
	holder.Release(slot)
	// Output: b1 true 6s
}
