package membership

import "coursepass/internal/consensus"

// JoinPath is the path of calls with JoinRequest.
const JoinPath = "/core/join"

// JoinRequest asks for the memberships of all shards and, if Member is set, for a slot in those that
// the receiver leads.
type JoinRequest struct {
	Member   consensus.Member
	Replaces string
	// Override takes the slot even if its member is responsive.
	Override bool
	// Standby says that a standby asks: for any slot that is vacant or not served.
	Standby bool
}

// MembershipResponse has the memberships of all shards as one server knows them.
//
//nolint:revive // The name is part of the type's definition in gob, and so of the wire form.
type MembershipResponse struct{ Memberships []consensus.Membership }
