package lease

import "coursepass/internal/clock"

// Granter grants leases for one slot. It grants no term before its grant of another term has
// expired, and no term lower than one that it has granted.
type Granter struct {
	Timing
	term      uint64
	expiresAt clock.Microseconds
}

// GranterOptions are the options of NewGranter.
type GranterOptions struct {
	Timing Timing
	// StartedAt is the time at which the slot's replica started.
	StartedAt clock.Microseconds
	// NewCluster is set if no earlier incarnation of the slot can have granted a lease.
	NewCluster bool
}

// NewGranter returns a granter. Grants are not stored, so the granter refuses every request until a
// grant that an earlier incarnation may have given just before it ended has expired. In a new
// cluster there is no such grant, and the granter grants at once.
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

// expiryFrom returns the time until which a grant that is given now excludes other terms.
func (g *Granter) expiryFrom(now clock.Microseconds) clock.Microseconds {
	return now + g.LeaseDuration + g.SafetyMargin
}
