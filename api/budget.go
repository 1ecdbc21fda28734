package api

import "sync"

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is how many retries each request allows on average. At
	// 0.2 a surge that fails entirely causes at most 20% more load.
	DefaultRetryRatio = 0.2
	// DefaultRetryBurst is how many retries may be made at once: about the
	// requests that wait for one entry host when it dies.
	DefaultRetryBurst = 100
)

// RetryBudget is a token bucket that each request fills by a ratio and each
// retry empties by one, so that retries cannot multiply a load surge. It is
// safe for concurrent use.
type RetryBudget struct {
	mu                   sync.Mutex
	ratio, burst, tokens float64
}

// NewRetryBudget returns a full bucket. Zero arguments take the defaults.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	if burst <= 0 {
		burst = DefaultRetryBurst
	}
	return &RetryBudget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// Request counts a new request.
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
