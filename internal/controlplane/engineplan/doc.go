// Package engineplan makes the decisions of a leader that follows an external directory of engines:
// which known engines are gone, how the work of a service divides between prefill and decode, which
// engines change role for that, and when the engine concerned may be commanded.
//
// Everything here is computed from arguments: the package does no I/O, starts no goroutine, reads no
// clock and has no locks, so that one goroutine owns each value. In each pass the leader reconciles
// the listing with MissingEngines, records the work that routers report in Workloads, calls
// Planner.Plan for each service, proposes an assignment made of Planner.Candidates, and sends what
// Planner.ReadyCommands returns.
package engineplan
