package api

import "sync"

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the number of retry tokens that each request adds. At
	// 0.2, a surge in which every request fails causes at most 20% more load.
	DefaultRetryRatio = 0.2
	// DefaultRetryBurst is the capacity of the bucket, which is the number of
	// retries that may be made at once. It is about the number of requests that
	// wait for one entry host when it dies.
	DefaultRetryBurst = 100
)

// RetryBudget is a token bucket that limits retries, so that they cannot
// multiply a load surge. Each request adds a fraction of a token and each retry
// takes one token. It is safe for concurrent use.
type RetryBudget struct {
	mu                   sync.Mutex
	ratio, burst, tokens float64
}

// NewRetryBudget returns a full bucket to which each request adds ratio tokens
// and which holds up to burst tokens. Arguments of 0 or less take the defaults.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	if burst <= 0 {
		burst = DefaultRetryBurst
	}
	return &RetryBudget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Request adds the tokens of a new request.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Retry takes a token and reports whether a retry may be made.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
