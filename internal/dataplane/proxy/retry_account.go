package proxy

import "sync"

// retryAccount is the account of what engines may have seen of one request, against the tokens of
// the retry budget that it has taken. The first arrival needs no token, and neither does the
// first prompt read that an engine takes up. A read of unknown fate may have been that read or
// one that was turned away; it counts until a read is answered.
type retryAccount struct {
	lock             sync.Mutex
	prefills         int
	runs             int
	prefillConfirmed bool
	tokens           int
}

// addPrefill notes a prompt read that is about to be sent.
func (r *retryAccount) addPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills++
}

// undoPrefill takes a read back of which nothing was sent.
func (r *retryAccount) undoPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefills--
}

// confirmPrefill notes that an engine has answered a read.
func (r *retryAccount) confirmPrefill() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prefillConfirmed = true
}

// addRun notes a run that is about to be sent.
func (r *retryAccount) addRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs++
}

// undoRun takes a run back of which nothing was sent.
func (r *retryAccount) undoRun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs--
}

// acquireTokens takes the tokens that one more arrival needs; take spends one of them. It tells whether
// the next may be sent. A token that is paid stays with the request until it is used.
func (r *retryAccount) acquireTokens(takeToken func() bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	arrived := r.prefills + r.runs
	if r.prefillConfirmed {
		arrived--
	}
	for r.tokens < arrived {
		if !takeToken() {
			return false
		}
		r.tokens++
	}
	return true
}
