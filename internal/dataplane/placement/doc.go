// Package placement lets one router decide which engines serve the requests of all routers.
//
// A router knows the load of engines only by its own requests and by what engines tell in some of their
// responses: with many routers, each of which sends few requests to each engine, that is next to nothing.
// Therefore the leader of a service's shard names a few routers as placement owners
// (pairing.PlacementOwner). The engines are divided among the owners, and an owner places all requests at
// its engines, so that it knows how much each of them has to do. A router that has a request asks the owner
// for a Placement. It is a hint: the router checks it against what it knows itself, and decides alone if
// there is no owner, none answers in time, or the placement may not be used.
//
// Nothing else rests on an owner: neither at-most-once nor budgets, drains, evacuations or warm-up rates.
// Two owners of the same engines at once, for as long as routers know different assignments, cost no more
// than worse placements.
//
// The caller builds an Ownership of each assignment, sends a Query to the owner that Ownership.OwnerFor
// names if its OwnerHealth allows that, and checks messages with Query.Check and Answer.Check before it
// uses them.
package placement
