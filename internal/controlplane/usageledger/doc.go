// Package usageledger is the part of a control-plane server that keeps the usage which routers report, and hands it
// to the leader. Each server does so, whether or not it is a member of a shard. What it keeps is in memory only: a
// server that is restarted is sent everything that routers still hold.
package usageledger
