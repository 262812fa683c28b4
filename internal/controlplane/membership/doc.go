// Package membership is how servers come by the slots of the shards.
//
// A server that has no slot in some shard, or is isolated there, asks the servers that it knows for the
// memberships of all shards, and for a slot. The leader of a shard gives out its slots: one that is vacant,
// or whose member has been silent for long enough. A standby takes any slot that is not served, as long as
// the loss of its zone would leave a majority.
//
// NewService registers the handler of the requests; Run then asks until its context ends. The service only
// chooses slots. The replicas of the shards carry out the changes of membership.
package membership
