// Package peers maintains a daemon's partial view of the fleet's daemons and runs the gossip between them.
//
// The view contains a few peers. Daemons exchange parts of their views in shuffles, so that every daemon stays
// reachable although no daemon has a list of all daemons. NewGossip connects a view and a gossip.Store to a daemon's
// internal transport and registers the handlers. Run shuffles and compares digests periodically until its context is
// done. Publish and Repair may be called at any time after NewGossip.
package peers
