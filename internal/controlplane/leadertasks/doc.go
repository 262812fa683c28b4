// Package leadertasks implements the tasks that the leader of a shard of services performs besides consensus.
//
// A ServiceLeader tracks the shard's engines, either by polling the engines or by reading a directory. It
// commits an assignment of roles and pairs, and sends the engines the commands that follow from the assignment.
// It does all of this only while its server leads the shard with the confirmation of a majority. It also
// decides whether failed requests may be retried.
//
// NewServiceLeader creates a ServiceLeader. If a directory lists the engines, Attach must be called next. Run
// then performs the tasks until its context ends. All other methods may be called at any time, unless their
// comments say otherwise.
package leadertasks
