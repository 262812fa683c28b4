// Package usageledger stores the usage that routers report to a control-plane server, and returns it to the leader
// on request. Every control-plane server runs it, whether or not the server is a member of a shard. The ledger is held
// in memory only: after a restart of the server, routers send it again everything that they still hold.
package usageledger
