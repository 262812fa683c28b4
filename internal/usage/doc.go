// Package usage counts requests by tenant and by window of true time.
//
// Each router has a [Meter], which counts the requests that engines began for the router. The counts never decrease
// while the router runs, and a restarted router counts under a new [ReporterID]. A [Delivery] decides when to send a
// [Report] of the changed counts and to which control-plane servers. Each server stores the received counts in a
// [Ledger], which merges reports by taking the maximum of each count. Reports may therefore be repeated, retransmitted
// or reordered, and ledgers that received different reports can be merged in the same way. After a window has ended, a
// [Collection] computes the totals of the window from several ledgers.
//
// The package does no I/O and reads no clock. Of its types, only Meter is safe for concurrent use.
package usage
