// Package idempotency reserves each one-shot idempotency key for one request in the whole
// fleet, so that a request that must not run twice runs at most once. Keys are spread over
// shards; the replicas of a shard reserve keys independently, and a request owns a key once
// a majority of them has reserved it.
//
// A router that needs a key asks all replicas and counts their answers in a [QuorumCount].
// It may send the request once the outcome is OutcomeReserved. After any other final
// outcome it must release the key at all replicas, and it may also release a key whose
// request is proved not to have run.
//
// A replica keeps its reservations in a [Store] until they expire. The store is volatile: a
// replica that restarts has lost it and must not answer, or two requests could each find a
// majority. Its [RecoveryGate] tells when it may answer again: after it has imported the
// reservations of enough other replicas, or after every request that it may have forgotten
// has ended. The [Log] shortens a restart of the process, but isn't synced to disk, so that
// the gate doesn't rely on it.
//
// The table of callers' keys in package lifecycle has the same shape, locked shards with a map
// and an expiry queue, and another job: it is local to one router, numbers the requests and
// remembers their outcomes, and its entries are updated in place and addressed by number. Here
// entries never change; they are released by owner, imported with their age, and listed by
// shard for other replicas. What the two share is the locking in a few methods, so that they
// are kept apart.
//
// The exported names of the fields of Claim and RequestID are part of the message format and
// must not change.
package idempotency
