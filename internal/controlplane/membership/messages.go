package membership

import "coursepass/internal/consensus"

// JoinPath is the transport path of calls that carry a JoinRequest.
const JoinPath = "/core/join"

// JoinRequest asks for the memberships of all shards and, if Member is set, for a slot in those that
// the receiver leads.
type JoinRequest struct {
	Member consensus.Member
	// Replaces is the name of the member whose slot is requested. It does not apply to a standby.
	Replaces string
	// Override requests the slot even if the slot's member is responsive.
	Override bool
	// Standby means that the sender is a standby, which takes any slot that is vacant or not served.
	Standby bool
}

// MembershipResponse contains the memberships of all shards as known to the server that answers.
//
//nolint:revive // The name is part of the type's definition in gob, and so of the wire form.
type MembershipResponse struct{ Memberships []consensus.Membership }
