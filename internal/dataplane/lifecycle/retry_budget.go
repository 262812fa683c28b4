package lifecycle

import "sync"

// percentScale converts percent to a ratio.
const percentScale = 100

// RetryBudget bounds the retries of one tenant at one router to a ratio of its requests. The
// zero value is empty, so that a router gains no retries by a restart; the burst is only how
// many may be saved up. It is safe for concurrent use.
type RetryBudget struct {
	lock    sync.Mutex
	ratio   float64
	burst   float64
	balance float64
	// Withdrawn and Rejected count the retries that were allowed and those that were not.
	Withdrawn int64
	Rejected  int64
}

// Deposit counts one request, with the tenant's present ratio in percent and burst.
func (r *RetryBudget) Deposit(percent int, burst float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ratio, r.burst = float64(percent)/percentScale, burst
	r.balance = min(r.balance+r.ratio, max(burst, 1))
}

// HasBalance reports whether a retry would be allowed now.
func (r *RetryBudget) HasBalance() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.balance >= 1
}

// Withdraw takes one retry from the budget, or returns false if there is none.
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
