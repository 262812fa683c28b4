// Package leadertasks does what the leader of a shard of services does besides consensus.
//
// A ServiceLeader follows the shard's engines, by polling them or by a directory, commits an assignment of
// roles and pairs, and commands the engines accordingly, all only while its server leads the shard with the
// confirmation of a majority. It also decides whether requests that have failed may be tried again.
//
// NewServiceLeader makes one; Attach, if engines are listed by a directory, comes next, and Run works until
// its context ends. All other methods may be called at any time, unless their comments say otherwise.
package leadertasks
