// Package consensus replicates the control state of one shard: a log of operations that a small
// fixed number of slots agree on. Replica is what one slot runs.
//
// # Protocol
//
// The election (package election) gives a leader and a term, which is the ballot of the log. A
// slot that is elected for a term
//
//  1. sends MsgPrepare to all slots. Each of them promises the term, and never accepts anything
//     of a lower term afterwards; its MsgPromise holds its log, or only the log's last position
//     if the log is too large for one message;
//  2. takes over the most advanced log among the promises of a majority, which it fetches first
//     if necessary, and appends an empty entry of its own term;
//  3. sends entries in MsgAppend. It commits all entries up to the highest index that a majority
//     stores, provided that this reaches into its own term. A result is released once a majority
//     knows that its entry is committed.
//
// An Append also renews the leader's lease (package lease) and serves as heartbeat. A follower
// that lacks entries that the leader has compacted fetches the leader's snapshot in chunks
// (MsgFetchRequest, MsgFetchResponse), one request at a time.
//
// Which daemon holds which slot is the Membership. Each change of it is an entry of the log and
// counts as soon as it is stored. Messages of daemons that hold no slot are ignored, except as
// learners: a learner receives entries without having a vote, and is given its slot once it has
// caught up. A replica whose disk is lost recovers: it does not vote until it knows what it may
// have promised, from a majority of the others or as a learner.
//
// # Invariants
//
//   - Promises only increase, and never exceed the election's term: the election alone moves to a
//     higher term.
//   - What a majority has stored in a term is contained in the log of every later leader.
//   - No promise, acceptance or lease grant leaves before it is on disk.
//   - commitIndex and appliedIndex never decrease, and appliedIndex is at most commitIndex.
//
// # Use
//
// Replica is a pure state machine: no goroutines, no I/O, no clock. It is not safe for
// concurrent use. The caller makes one by StartReplica, or by StartLearner if its daemon holds no
// slot, and from then on calls Receive for each message whose Sender it has set, Tick at
// NextTick at the latest, ReceiveEcho for each Echo, and Propose or BeginRead as needed. After
// each call it handles the Output, in this order:
//
//  1. it sends Messages;
//  2. it appends Records and DeferredRecords to its disk;
//  3. once Records are synced, it sends MessagesAfterSync, of which those to its own slot go
//     back to Receive;
//  4. it answers proposals by Results, or by an unknown outcome if ProposalsDropped is set.
//
// Outputs must be handled in the order of the calls.
package consensus
