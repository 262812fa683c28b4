package carrier

import "sync"

// arrivals is the account of what engines may have seen of one request, against the tokens of
// the retry budget that it has taken. The first arrival needs no token, and neither does the
// first prompt read that an engine takes up. A read of unknown fate may have been that read or
// one that was turned away; it counts until a read is answered.
type arrivals struct {
	lock     sync.Mutex
	reads    int
	runs     int
	answered bool
	tokens   int
}

// read notes a prompt read that is about to be sent.
func (r *arrivals) read() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reads++
}

// unread takes a read back of which nothing was sent.
func (r *arrivals) unread() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reads--
}

// takenUp notes that an engine has answered a read.
func (r *arrivals) takenUp() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.answered = true
}

// run notes a run that is about to be sent.
func (r *arrivals) run() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs++
}

// unrun takes a run back of which nothing was sent.
func (r *arrivals) unrun() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runs--
}

// pay takes the tokens that one more arrival needs; take spends one of them. It tells whether
// the next may be sent. A token that is paid stays with the request until it is used.
func (r *arrivals) pay(take func() bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	counted := r.reads + r.runs
	if r.answered {
		counted--
	}
	for r.tokens < counted {
		if !take() {
			return false
		}
		r.tokens++
	}
	return true
}
