package limit

// Budget bounds extra attempts, such as retries or hedged requests, to a fraction of
// first attempts. It needs no clock, since there is nothing to retry without first
// attempts.
type Budget struct {
	ratio     float64
	maxTokens float64
	tokens    float64
}

// The ratios and bursts of DefaultRetryBudget and DefaultHedgeBudget.
const (
	retryRatio = 0.1
	retryBurst = 10
	hedgeRatio = 0.02
	hedgeBurst = 4
)

// NewBudget returns a full budget. Each first attempt adds ratio tokens, up to burst,
// and an extra attempt takes one.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: burst, tokens: burst}
}

// DefaultRetryBudget returns a budget for retries.
func DefaultRetryBudget() *Budget { return NewBudget(retryRatio, retryBurst) }

// DefaultHedgeBudget returns a budget for hedged requests.
func DefaultHedgeBudget() *Budget { return NewBudget(hedgeRatio, hedgeBurst) }

// RecordAttempt adds the tokens of one first attempt.
func (b *Budget) RecordAttempt() { b.tokens = min(b.maxTokens, b.tokens+b.ratio) }

// TrySpend takes the token of one extra attempt. It returns false if there is none.
func (b *Budget) TrySpend() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Available reports whether TrySpend would return true.
func (b *Budget) Available() bool { return b.tokens >= 1 }
