// Package resources measures the resource usage of one daemon. It counts network bytes by kind of traffic
// and zone of the peer, connections by kind of traffic and side, calls between daemons and their bytes by
// procedure, and wake-ups of periodic loops. It also reads the processor time and memory of the process.
//
// [Counters] holds the running totals and a [Snapshot] their values at one time. [Snapshot.Since] returns the
// difference between two snapshots, and [Snapshot.Rates] converts a difference to rates per second. A
// [Reporter] logs the difference for each interval.
//
// Byte counts cover the payload of connections, including HTTP heads but excluding TCP and IP headers. Each
// byte is counted once for its connection. A byte of control traffic is also counted once for its procedure.
package resources
