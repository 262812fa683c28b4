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
func (arrivals *arrivals) read() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.reads++
}

// unread takes a read back of which nothing was sent.
func (arrivals *arrivals) unread() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.reads--
}

// takenUp notes that an engine has answered a read.
func (arrivals *arrivals) takenUp() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.answered = true
}

// run notes a run that is about to be sent.
func (arrivals *arrivals) run() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.runs++
}

// unrun takes a run back of which nothing was sent.
func (arrivals *arrivals) unrun() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.runs--
}

// pay takes the tokens that one more arrival needs; take spends one of them. It tells whether
// the next may be sent. A token that is paid stays with the request until it is used.
func (arrivals *arrivals) pay(take func() bool) bool {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	counted := arrivals.reads + arrivals.runs
	if arrivals.answered {
		counted--
	}
	for arrivals.tokens < counted {
		if !take() {
			return false
		}
		arrivals.tokens++
	}
	return true
}
