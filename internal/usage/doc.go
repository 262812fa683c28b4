// Package usage counts requests by tenant and window of true time.
//
// Each router has a [Meter], which counts the requests that engines began for it. Its counts only rise while the
// router runs, and a router that restarts counts under another [ReporterID]. A [Delivery] decides when which
// control-plane server gets a [Report] of what has changed. Servers keep what they were sent in a [Ledger], which
// merges by taking the greater count: reports that are repeated, lost and sent again, or arrive in any order do no
// harm, and two ledgers that were sent different parts are merged in the same way. Once a window has ended, a
// [Collection] adds up what several ledgers have of it.
//
// The package does no I/O and reads no clock. Only a Meter may be used by several goroutines.
package usage
