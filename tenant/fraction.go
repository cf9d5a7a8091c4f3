package tenant

import (
	"maps"
	"slices"

	"github.com/currantwinch/currantwinch/placement/quota"
)

// Whole is the sum of the fractions of a tenant's cap that all partitions hold together,
// and those in flight between them.
const Whole = 1_000_000

// Fraction is the part of a tenant's cap that belongs to one partition, in millionths of
// the cap, as it is stored there. The zero value holds nothing.
type Fraction struct {
	Amount int64 `cbor:"1,keyasint"`
	// Sent is the number of the last transfer to another partition.
	Sent uint64 `cbor:"2,keyasint,omitempty"`
	// Out are the unconfirmed transfers to other partitions, at most one to each. Their
	// amounts belong to no partition.
	Out []Transfer `cbor:"3,keyasint,omitempty"`
	// Taken is the number of the last transfer that was taken from each partition.
	Taken map[int]uint64 `cbor:"4,keyasint,omitempty"`
}

// Transfer is a part of a fraction that is being sent to another partition.
type Transfer struct {
	// Number counts the sender's transfers of this tenant's cap, To is the receiving
	// partition, and Amount is in millionths of the cap.
	Number uint64 `cbor:"1,keyasint"`
	To     int    `cbor:"2,keyasint"`
	Amount int64  `cbor:"3,keyasint"`
}

// holding is a Fraction at its owner. Stored is what the log has or gets by the writes that
// are under way.
type holding struct {
	stored Fraction
	// arriving is the part of the stored amount that the log does not have yet. It is not
	// used before, so that what an owner uses is never more than the log says.
	arriving int64
	// sendable are the numbers of the transfers in stored.Out that the log has.
	sendable map[uint64]bool
}

// fractionFaults disables single steps of the transfers. Only tests set them, to show that
// the exploration detects the resulting breach.
type fractionFaults struct {
	keepGiven bool // use what was given until the transfer is confirmed
	takeAgain bool // take a transfer each time that it arrives
	sendEarly bool // send a transfer before it is stored
	giveUsed  bool // give what runs use
}

// Fractions holds what one partition may use of the caps. The partition that is the first
// holder has the whole of each cap until it stores another Fraction. A Fractions must be used
// by one goroutine at a time.
type Fractions struct {
	first    bool
	holdings map[string]*holding
	faults   fractionFaults
}

// NewFractions returns the Fractions of a partition. First is set if it is the first holder.
func NewFractions(first bool) *Fractions {
	return &Fractions{first: first, holdings: make(map[string]*holding)}
}

// First reports whether the partition is the first holder.
func (f *Fractions) First() bool { return f.first }

// Names returns the names of the tenants of which something was loaded or changed.
func (f *Fractions) Names() []string { return slices.Sorted(maps.Keys(f.holdings)) }

// SetFirst sets whether the partition is the first holder.
func (f *Fractions) SetFirst(first bool) { f.first = first }

// Load restores the stored Fraction of a tenant.
func (f *Fractions) Load(name string, stored Fraction) {
	h := &holding{stored: stored, sendable: make(map[uint64]bool)}
	for _, t := range stored.Out {
		h.sendable[t.Number] = true
	}
	f.holdings[name] = h
}

// of returns the holding of a tenant for a change, and creates it if there is none.
func (f *Fractions) of(name string) *holding {
	h := f.holdings[name]
	if h == nil {
		h = &holding{sendable: make(map[uint64]bool)}
		if f.first {
			h.stored.Amount = Whole
		}
		f.holdings[name] = h
	}
	return h
}

// Usable returns how many millionths of a tenant's cap this owner may use now.
func (f *Fractions) Usable(name string) int64 {
	h := f.holdings[name]
	switch {
	case h == nil && f.first:
		return Whole
	case h == nil:
		return 0
	}
	amount := h.stored.Amount - h.arriving
	if f.faults.keepGiven {
		for _, t := range h.stored.Out {
			amount += t.Amount
		}
	}
	return amount
}

// Give takes an amount out of what this owner may use and returns the transfer of it, and
// the Fraction to store. The transfer may be sent once that is stored. It reports false if
// there is not so much, or if an earlier transfer to the partition is not confirmed: the
// receiver takes transfers in the order of their numbers.
func (f *Fractions) Give(name string, to int, amount int64) (Transfer, Fraction, bool) {
	if amount <= 0 || amount > f.Usable(name) {
		return Transfer{}, Fraction{}, false
	}
	h := f.of(name)
	if slices.ContainsFunc(h.stored.Out, func(t Transfer) bool { return t.To == to }) {
		return Transfer{}, Fraction{}, false
	}
	h.stored.Sent++
	t := Transfer{Number: h.stored.Sent, To: to, Amount: amount}
	h.stored.Amount -= amount
	h.stored.Out = append(slices.Clone(h.stored.Out), t)
	if f.faults.sendEarly {
		h.sendable[t.Number] = true
	}
	return t, h.snapshot(), true
}

// Stored notes that the log has a transfer, which may be sent from now on.
func (f *Fractions) Stored(name string, number uint64) { f.of(name).sendable[number] = true }

// Unconfirmed returns the transfers that are stored and not known to have been taken.
func (f *Fractions) Unconfirmed(name string) []Transfer {
	h := f.holdings[name]
	if h == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.stored.Out), func(t Transfer) bool { return !h.sendable[t.Number] })
}

// Confirm notes that a transfer was taken. It returns the Fraction to store, or false if
// the transfer was confirmed before.
func (f *Fractions) Confirm(name string, number uint64) (Fraction, bool) {
	h := f.holdings[name]
	if h == nil {
		return Fraction{}, false
	}
	i := slices.IndexFunc(h.stored.Out, func(t Transfer) bool { return t.Number == number })
	if i < 0 {
		return Fraction{}, false
	}
	h.stored.Out = slices.Delete(slices.Clone(h.stored.Out), i, i+1)
	delete(h.sendable, number)
	return h.snapshot(), true
}

// Take adds a transfer from another partition and returns the Fraction to store. What it
// carries may be used once Arrived is called, when that is stored. It reports false for one
// that was taken before.
func (f *Fractions) Take(name string, from int, t Transfer) (Fraction, bool) {
	h := f.of(name)
	if t.Number <= h.stored.Taken[from] && !f.faults.takeAgain {
		return Fraction{}, false
	}
	taken := map[int]uint64{from: t.Number}
	for partition, number := range h.stored.Taken {
		if partition != from {
			taken[partition] = number
		}
	}
	h.stored.Taken = taken
	h.stored.Amount += t.Amount
	h.arriving += t.Amount
	return h.snapshot(), true
}

// Arrived notes that the log has a transfer that was taken.
func (f *Fractions) Arrived(name string, amount int64) { f.of(name).arriving -= amount }

// snapshot returns the Fraction to store. Its slices and maps are not changed afterwards.
func (h *holding) snapshot() Fraction { return h.stored }

// limitBy returns the given fraction of a limit, rounded down. A limit of 0 means unlimited
// and stays 0; a result that rounds to 0 becomes -1, so that it does not mean unlimited.
func limitBy(limit quota.Amounts, fraction int64) quota.Amounts {
	if fraction >= Whole {
		return limit
	}
	fraction = max(fraction, 0)
	for i, all := range limit {
		if all == 0 {
			continue
		}
		limit[i] = all/Whole*fraction + all%Whole*fraction/Whole
		if limit[i] == 0 {
			limit[i] = -1
		}
	}
	return limit
}

// fractionFor returns the smallest fraction of a limit, in millionths, that covers an amount.
// It exceeds Whole if the amount reaches the limit of a resource.
func fractionFor(amount, limit quota.Amounts) int64 {
	var most int64
	for i, all := range limit {
		if all > 0 && amount[i] > 0 {
			part := min(float64(amount[i])/float64(all), 1000) * Whole
			most = max(most, int64(part)+1)
		}
	}
	return most
}
