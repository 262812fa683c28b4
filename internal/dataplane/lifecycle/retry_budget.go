package lifecycle

import "sync"

// percentScale converts percent to a ratio.
const percentScale = 100

// RetryBudget limits retries at one router to a ratio of the requests. The caller decides which
// requests share a budget, for example those of one tenant. Each request adds a fraction of a retry to
// the balance, up to the burst. The zero value has a balance of 0, so that a restart of the router
// grants no extra retries. It is safe for concurrent use.
type RetryBudget struct {
	lock    sync.Mutex
	ratio   float64
	burst   float64
	balance float64
	// Withdrawn counts the retries that were allowed.
	Withdrawn int64
	// Rejected counts the retries that were not allowed.
	Rejected int64
}

// Deposit adds the retries that one request earns to the balance. The ratio of retries to requests, in
// percent, and the burst are the currently configured ones.
func (r *RetryBudget) Deposit(percent int, burst float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ratio, r.burst = float64(percent)/percentScale, burst
	r.balance = min(r.balance+r.ratio, max(burst, 1))
}

// HasBalance reports whether Withdraw would succeed now.
func (r *RetryBudget) HasBalance() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.balance >= 1
}

// Withdraw takes one retry from the balance. It reports false, and takes nothing, if the balance is
// below 1.
func (r *RetryBudget) Withdraw() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.balance < 1 {
		r.Rejected++
		return false
	}
	r.balance--
	r.Withdrawn++
	return true
}
