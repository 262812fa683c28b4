package proxy

import "sync"

// acquireRetry reports whether the request may be sent once more, and pays for that.
func (f *forwardedRequest) acquireRetry() bool {
	if f.attempts >= max(f.route.MaxAttempts, 1) || f.now() >= f.deadline {
		return false
	}
	return f.payForArrival()
}

// payForArrival takes the tokens of the retry budget that one more arrival at an engine needs. If
// it reports false, nothing may be sent.
func (f *forwardedRequest) payForArrival() bool {
	if !f.retryAccount.acquireTokens(f.proxy.retryBudget.Withdraw) {
		f.proxy.RetryBudgetExhausted.Add(1)
		return false
	}
	return true
}

// retryAccount counts the arrivals of one request at engines, against the tokens of the retry
// budget that it has taken. The first arrival needs no token, and neither does the first prefill
// that an engine accepts. A prefill with an unknown outcome may have been accepted or rejected; it
// counts until another is answered. Watchdogs take tokens too, hence the lock.
type retryAccount struct {
	lock sync.Mutex
	// prefills and runs count the calls that may have reached an engine.
	prefills int
	runs     int
	// prefillConfirmed says that an engine has answered a prefill.
	prefillConfirmed bool
	// tokens counts those taken from the retry budget.
	tokens int
}

// addPrefill counts a prefill that is about to be sent.
func (r *retryAccount) addPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills++
}

// undoPrefill takes a prefill back that was not sent.
func (r *retryAccount) undoPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills--
}

// confirmPrefill records that an engine has answered a prefill.
func (r *retryAccount) confirmPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefillConfirmed = true
}

// addRun counts a run that is about to be sent.
func (r *retryAccount) addRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs++
}

// undoRun takes a run back that was not sent.
func (r *retryAccount) undoRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs--
}

// acquireTokens takes the tokens that one more arrival needs, each by a call of takeToken. It
// reports whether the request may be sent. Tokens stay with the request, also those taken before
// takeToken failed.
func (r *retryAccount) acquireTokens(takeToken func() bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	needed := r.prefills + r.runs
	if r.prefillConfirmed {
		needed--
	}
	for r.tokens < needed {
		if !takeToken() {
			return false
		}
		r.tokens++
	}
	return true
}
