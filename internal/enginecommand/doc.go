// Package enginecommand sends the commands of a leader to engines. Engines neither check nor remember
// terms, so the leader itself must not command one when another server may lead already: each command lies
// entirely within the leader's lease, and there is one in flight per engine at most.
//
// A leader makes one Dispatcher per shard and calls EnsureState whenever it has seen an engine's report.
// The lease is read again at each write to a connection, so that a command of a process that was suspended
// is not sent after its lease has expired.
package enginecommand
