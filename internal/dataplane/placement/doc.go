// Package placement lets a few routers select the engines for the requests of all routers.
//
// A router knows the load of engines only from its own requests and from the load reports in some responses.
// With many routers, each of them sends few requests to each engine, so that this information is nearly
// useless. Therefore the leader of a service's shard appoints a few routers as placement owners
// (pairing.PlacementOwner). The engines are divided among the owners. An owner places the requests of all
// routers on its engines, so that it knows the load of each of them. A router that has a request sends a Query
// to the owner and gets an Answer. The placement in the answer is a hint: the router checks it against its own
// knowledge, and selects the engines itself if there is no owner, if the owner does not answer in time, or if
// the placement may not be used.
//
// No guarantee depends on owners: not at-most-once execution, and not retry budgets, drains, evacuations or
// warm-up rates. While routers know different assignments, the same engines can have two owners. This leads to
// worse placements, but to no other harm.
//
// The caller builds an Ownership from each assignment, sends a Query to the owner that Ownership.OwnerFor
// returns if its OwnerHealth allows that, and checks messages with Query.Check and Answer.Check before using
// them.
package placement
