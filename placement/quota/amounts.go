package quota

// Amounts is a vector of amounts of the resources that are shared. All vectors of one
// calculation name the same resources, in the same order and units. The arithmetic of
// shares and limits is defined on it, so that it does not depend on which resources a
// caller has.
type Amounts [3]int64

// Plus returns a + b.
func (a Amounts) Plus(b Amounts) Amounts { return Amounts{a[0] + b[0], a[1] + b[1], a[2] + b[2]} }

// Minus returns a - b.
func (a Amounts) Minus(b Amounts) Amounts { return Amounts{a[0] - b[0], a[1] - b[1], a[2] - b[2]} }

// DominantShare returns the largest fraction of total that used takes of any resource, in
// billionths.
func DominantShare(used, total Amounts) uint64 {
	var most uint64
	for i := range used {
		most = max(most, shareOf(used[i], total[i]))
	}
	return most
}

// Within reports whether more can be used beside used without exceeding limit. A limit of
// zero is none, and a resource of which no more is used does not count.
func Within(used, more, limit Amounts) bool {
	for i := range used {
		if limit[i] != 0 && more[i] != 0 && used[i]+more[i] > limit[i] {
			return false
		}
	}
	return true
}

// StartsBelow returns how many of n requests for each amounts may follow one another so
// that every one begins with the use below limit. The last of them may end above it. A
// limit of zero is none, and a resource that the requests do not use does not count.
func StartsBelow(used, each, limit Amounts, n int) int {
	left := int64(max(n, 0))
	for i := range used {
		if limit[i] == 0 || each[i] <= 0 {
			continue
		}
		if used[i] >= limit[i] {
			return 0
		}
		room := limit[i] - used[i]
		left = min(left, (room-1)/each[i]+1)
	}
	return int(left)
}

// StartsWithin returns how many of n requests for each amounts may follow one another so
// that the use ends within limit. A limit of zero is none, and a resource that the requests
// do not use does not count.
func StartsWithin(used, each, limit Amounts, n int) int {
	left := int64(max(n, 0))
	for i := range used {
		if limit[i] == 0 || each[i] <= 0 {
			continue
		}
		left = min(left, max(limit[i]-used[i], 0)/each[i])
	}
	return int(left)
}
