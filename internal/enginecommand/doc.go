// Package enginecommand sends the commands of a leader to engines. Engines neither check nor store terms, so
// the leader must not send commands once another server may have become leader: each command must end within
// the leader's lease, and at most one command per engine is in flight.
//
// A leader creates one Dispatcher per shard and calls EnsureState for each engine report that it receives.
// The lease is checked again before each write to a connection, so that a process that was suspended sends no
// command after its lease has expired.
package enginecommand
