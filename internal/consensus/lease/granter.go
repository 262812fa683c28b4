package lease

import "coursepass/internal/clock"

// Granter grants leases for one slot. It never grants a term before the grant of another has
// expired, and never one lower than it has granted.
type Granter struct {
	Timing
	term      uint64
	expiresAt clock.Microseconds
}

// GranterOptions is what a granter starts from.
type GranterOptions struct {
	Timing Timing
	// StartedAt is the time of the start.
	StartedAt clock.Microseconds
	// NewCluster means that no earlier incarnation of the slot can have granted a lease.
	NewCluster bool
}

// NewGranter returns a granter that refuses every request until one grant, which an earlier
// incarnation may have given just before its end, has expired: grants are not stored. In a new
// cluster there can't be one, and it grants at once.
func NewGranter(options GranterOptions) *Granter {
	granter := &Granter{Timing: options.Timing}
	if !options.NewCluster {
		granter.expiresAt = granter.expiryFrom(options.StartedAt)
	}
	return granter
}

// HandleRequest grants or renews the lease of a term, and reports whether it did.
func (g *Granter) HandleRequest(now clock.Microseconds, term uint64) bool {
	if term < g.term {
		return false
	}
	if term != g.term && now < g.expiresAt {
		return false
	}
	g.term = term
	g.expiresAt = g.expiryFrom(now)
	return true
}

// expiryFrom returns until when a grant given now keeps other terms out.
func (g *Granter) expiryFrom(now clock.Microseconds) clock.Microseconds {
	return now + g.LeaseDuration + g.SafetyMargin
}
