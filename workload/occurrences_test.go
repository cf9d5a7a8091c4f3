package workload

import (
	"math/rand/v2"
	"testing"
)

func TestOccurrenceSet_AgreesWithASet(t *testing.T) {
	const most = 60
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var s OccurrenceSet
		set := make(map[int]bool)
		for range 30 {
			from := random.IntN(most)
			to := min(from+random.IntN(5), most)
			s = s.Add(from, to)
			for n := from; n < to; n++ {
				set[n] = true
			}
			if s.Count() != len(set) {
				t.Fatalf("seed %d: %v holds %d occurrences, want %d", seed, s, s.Count(), len(set))
			}
			for n := range most {
				if s.Contains(n) != set[n] {
					t.Fatalf("seed %d: %v contains %d: %t, want %t", seed, s, n, s.Contains(n), set[n])
				}
				next := n
				for set[next] {
					next++
				}
				if got := s.Next(n); got != next {
					t.Fatalf("seed %d: %v has next(%d) = %d, want %d", seed, s, n, got, next)
				}
			}
			for i := 1; i < len(s); i++ {
				if s[i-1].To >= s[i].From {
					t.Fatalf("seed %d: %v has ranges that touch", seed, s)
				}
			}
		}
	}
}
