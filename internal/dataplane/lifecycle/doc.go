// Package lifecycle follows a request through a router. It holds three independent things,
// none of which does I/O:
//
//   - [StateMachine] is the state of one request, and the outcome that may be reported to its
//     caller. The outcome follows from the recorded sends and proofs, never from a guess.
//   - [RetryBudget] bounds the retries of one tenant at one router.
//   - [KeyTable] remembers callers' idempotency keys at one router. The fleet-wide reservation
//     of a key is the job of package idempotency, which has a sharded map with an expiry queue
//     of its own: see there for what differs.
package lifecycle
