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
func (repeats *Repeats) Enrol(percent int, allowance float64) {
	repeats.lock.Lock()
	defer repeats.lock.Unlock()
	repeats.percent, repeats.allowance = float64(percent)/100, allowance
	repeats.held = min(repeats.held+repeats.percent, max(allowance, 1))
}

// Left tells whether a repeat could be spent now.
func (repeats *Repeats) Left() bool {
	repeats.lock.Lock()
	defer repeats.lock.Unlock()
	return repeats.held >= 1
}

// Take spends one repeat, or says that there is none left.
func (repeats *Repeats) Take() bool {
	repeats.lock.Lock()
	defer repeats.lock.Unlock()
	if repeats.held < 1 {
		repeats.Declined++
		return false
	}
	repeats.held--
	repeats.Spent++
	return true
}
