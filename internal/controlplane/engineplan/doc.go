// Package engineplan implements the decisions of a shard leader that reads its engines from an external
// directory: which registered engines are gone, how the work of a service is split between prefill and
// decode, which engines change their role to match this split, and when a role command may be sent to
// such an engine.
//
// All results are computed from arguments: the package does no I/O, starts no goroutines and reads no
// clock. It has no locks, so each value must be used by one goroutine only. In each pass the leader
// reconciles the directory's listing with MissingEngines, records the work that routers report in
// Workloads, calls Planner.Plan for each service, proposes an assignment of the engines in
// Planner.Candidates, and sends the commands that Planner.ReadyCommands returns.
package engineplan
