// Package peers keeps a daemon's partial view of the others and runs the gossip between them.
//
// The view has a few peers, which are exchanged with other daemons in shuffles, so that every daemon stays
// reachable without any having a list of all. NewGossip joins a view and a gossip.Store to a daemon's
// internal transport and registers the handlers; Run then shuffles and compares digests until its context
// ends. Publish and Repair may be called at any time after that.
package peers
