// Package lifecycle provides the building blocks for tracking requests in a router. It has three
// independent types, none of which does I/O:
//
//   - [StateMachine] holds the state of one request and derives the outcome that may be reported to
//     the caller. The outcome follows only from the recorded sends and from proofs that an attempt
//     did not start.
//   - [RetryBudget] limits retries at one router to a ratio of the requests.
//   - [KeyTable] stores callers' idempotency keys at one router. Package idempotency reserves keys
//     for the whole fleet, and has its own sharded map with an expiry queue. Its package comment
//     describes the differences between the two tables.
package lifecycle
