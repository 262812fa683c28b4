package relay

import "sync"

// Repeats is the budget of repeats of one tenant at one router: a share of its
// requests. It starts with none, so that a router that starts again and again gets
// nothing anew; the allowance is only how much may be saved up.
type Repeats struct {
	lock      sync.Mutex
	percent   float64
	allowance float64
	held      float64
	Spent     int64
	Declined  int64
}

// Enrol counts one request, under the tenant's present terms.
func (r *Repeats) Enrol(percent int, allowance float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.percent, r.allowance = float64(percent)/100, allowance
	r.held = min(r.held+r.percent, max(allowance, 1))
}

// Left tells whether a repeat could be spent now.
func (r *Repeats) Left() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.held >= 1
}

// Take spends one repeat, or says that there is none left.
func (r *Repeats) Take() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.held < 1 {
		r.Declined++
		return false
	}
	r.held--
	r.Spent++
	return true
}
