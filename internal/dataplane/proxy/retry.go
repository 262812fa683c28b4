package proxy

import "sync"

// acquireRetry reports whether the request may be sent again. It takes the retry tokens that this
// needs.
func (f *forwardedRequest) acquireRetry() bool {
	if f.attempts >= max(f.route.MaxAttempts, 1) || f.now() >= f.deadline {
		return false
	}
	return f.acquireArrivalTokens()
}

// acquireArrivalTokens takes the retry tokens that another arrival at an engine needs. It reports false if
// the retry budget has too few tokens; the call must not be sent then.
func (f *forwardedRequest) acquireArrivalTokens() bool {
	if !f.retryAccount.acquireTokens(f.proxy.retryBudget.Withdraw) {
		f.proxy.RetryBudgetExhausted.Add(1)
		return false
	}
	return true
}

// retryAccount counts the arrivals of one request at engines and the retry tokens that the request
// has taken for them. The first arrival needs no token, nor does the first prefill that an engine
// accepts. A prefill with an unknown outcome may have been rejected, and therefore needs a token
// until a prefill call of the request is answered. The lock is needed because watchdogs take tokens
// concurrently.
type retryAccount struct {
	lock sync.Mutex
	// prefills and runs count the prefill and generate calls that may have reached an engine.
	prefills int
	runs     int
	// prefillAnswered is set once an engine has answered a prefill call.
	prefillAnswered bool
	// tokens is the number of tokens taken from the retry budget.
	tokens int
}

// addPrefill counts a prefill call that is about to be sent.
func (r *retryAccount) addPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills++
}

// undoPrefill removes a prefill call that was not sent from the count.
func (r *retryAccount) undoPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills--
}

// recordPrefillAnswer records that an engine has answered a prefill call.
func (r *retryAccount) recordPrefillAnswer() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefillAnswered = true
}

// addRun counts a generate call that is about to be sent.
func (r *retryAccount) addRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs++
}

// undoRun removes a generate call that was not sent from the count.
func (r *retryAccount) undoRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs--
}

// acquireTokens takes the tokens that another arrival needs, one with each call of takeToken. It
// reports whether it took them all. The request keeps its tokens for later arrivals, also those that
// were taken before takeToken failed.
func (r *retryAccount) acquireTokens(takeToken func() bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	needed := r.prefills + r.runs
	if r.prefillAnswered {
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
