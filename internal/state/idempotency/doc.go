// Package idempotency reserves each idempotency key for one request in the whole fleet, so
// that a one-shot request, which must not run twice, runs at most once. Keys are distributed
// over the consensus shards. The replicas of a shard reserve keys independently of each
// other, and a request holds a key once a majority of the replicas has reserved the key for
// that request.
//
// A router that needs a key asks all replicas of the shard and counts their answers in a
// [QuorumCount]. The router may send the request once the outcome is OutcomeReserved. After
// any other final outcome the router must release the key at all replicas. The router may
// also release a key whose request is proved not to have run.
//
// A replica keeps its reservations in a [Store] until they expire. The store is in memory
// only: a replica that restarts has lost its reservations and must abstain, because otherwise
// two requests could each get a majority for the same key. The [RecoveryGate] of the replica
// determines when the replica may answer again: after it has imported the reservations of
// enough other replicas, or after every request that it may have forgotten has ended. The
// [Log] restores the reservations after a restart of the process. The log isn't synced to
// disk and may have lost some of them, so the gate doesn't depend on it.
//
// The table of callers' keys in package lifecycle has the same structure (locked shards, each
// with a map and an expiry queue) but another purpose: it is local to one router, numbers the
// requests and stores their outcomes; its entries are updated in place and looked up by
// number. The entries of a [Store] never change; they are released by owner, imported with
// their age, and listed by shard for other replicas. The two have only the locking of a few
// methods in common, so they are separate types.
//
// The exported field names of Claim and RequestID are part of the message format and must not
// change.
package idempotency
