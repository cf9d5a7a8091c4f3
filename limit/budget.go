package limit

// Budget lets extra attempts, such as retries or hedges, be at most a stated
// part of first attempts. It needs no clock: without first attempts there is
// nothing to repeat.
type Budget struct {
	ratio  float64
	most   float64
	tokens float64
}

// The parts of first attempts that DefaultRetries and DefaultHedges allow, and
// how many may be saved up.
const (
	retryRatio = 0.1
	retrySaved = 10
	hedgeRatio = 0.02
	hedgeSaved = 4
)

// NewBudget returns a full budget: each first attempt adds ratio of an extra
// attempt, and at most saved of them are kept.
func NewBudget(ratio, saved float64) *Budget {
	return &Budget{ratio: ratio, most: saved, tokens: saved}
}

// DefaultRetryBudget returns the budget of retries.
func DefaultRetryBudget() *Budget { return NewBudget(retryRatio, retrySaved) }

// DefaultHedgeBudget returns the budget of hedges.
func DefaultHedgeBudget() *Budget { return NewBudget(hedgeRatio, hedgeSaved) }

// RecordAttempt counts one first attempt.
func (b *Budget) RecordAttempt() { b.tokens = min(b.most, b.tokens+b.ratio) }

// TrySpend takes one extra attempt, or reports that there is none left.
func (b *Budget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
