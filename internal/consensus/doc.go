// Package consensus replicates the control state of one shard: a log of operations on which a
// small, fixed number of slots agree. A slot is a voting position that one daemon holds. Replica
// implements one slot.
//
// # Protocol
//
// The election (package election) selects a leader and a term. The term is the ballot number of
// the log. A slot that is elected for a term
//
//  1. sends MsgPrepare to all slots. Each slot promises the term, and from then on accepts
//     nothing of a lower term. Its MsgPromise contains its log, or only the position of its last
//     entry if the log is too large for one message;
//  2. adopts the most advanced log among the promises of a majority, after fetching it if the
//     promise did not contain it, and appends an empty entry of its own term;
//  3. sends entries in MsgAppend. It commits all entries up to the highest index that a majority
//     stores, provided that this index belongs to its own term. It releases the result of an
//     entry once a majority knows that the entry is committed.
//
// MsgAppend also renews the leader's lease (package lease) and serves as heartbeat. A follower
// that lacks entries that the leader has compacted fetches the leader's snapshot in chunks
// (MsgFetchRequest, MsgFetchResponse), one request at a time.
//
// Membership records which daemon holds which slot. Each change of the membership is an entry of
// the log and takes effect as soon as it is stored. A replica ignores messages from daemons that
// hold no slot, unless they are learners. A learner receives entries without having a vote, and
// is given its slot once it has caught up. A replica that has lost its disk recovers: it does not
// vote until it knows what it may have promised before. It learns this from a majority of the
// other slots, or as a learner from the leader.
//
// # Invariants
//
//   - The promised term never decreases, and never exceeds the term of the election: only the
//     election moves to a higher term.
//   - Entries that a majority has stored in a term are contained in the log of every later leader.
//   - No promise, acceptance or lease grant is sent before it is on disk.
//   - commitIndex and appliedIndex never decrease, and appliedIndex is at most commitIndex.
//
// # Use
//
// Replica is a pure state machine: it has no goroutines, does no I/O and reads no clock. It is
// not safe for concurrent use. The caller creates a Replica with StartReplica, or with
// StartLearner if the caller's daemon holds no slot. From then on the caller calls Receive for
// each message, after setting the message's Sender; Tick at NextTick at the latest; ReceiveEcho
// for each Echo; and Propose or BeginRead as needed. After each call the caller handles the
// Output in this order:
//
//  1. it sends Messages;
//  2. it appends Records and DeferredRecords to its disk;
//  3. once Records are synced, it sends MessagesAfterSync, and passes those that are addressed to
//     its own slot back to Receive;
//  4. it answers proposals with Results, or with an unknown outcome if ProposalsDropped is set.
//
// The caller must handle Outputs in the order of the calls.
package consensus
