package lifecycle

import "sync"

// RetryBudget is the budget of repeats of one tenant at one router: a share of its
// requests. It starts with none, so that a router that starts again and again gets
// nothing anew; the allowance is only how much may be saved up.
type RetryBudget struct {
	lock      sync.Mutex
	ratio     float64
	burst     float64
	balance   float64
	Withdrawn int64
	Rejected  int64
}

// Deposit counts one request, under the tenant's present terms.
func (r *RetryBudget) Deposit(percent int, burst float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ratio, r.burst = float64(percent)/100, burst
	r.balance = min(r.balance+r.ratio, max(burst, 1))
}

// HasBalance tells whether a repeat could be spent now.
func (r *RetryBudget) HasBalance() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.balance >= 1
}

// Withdraw spends one repeat, or says that there is none left.
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
