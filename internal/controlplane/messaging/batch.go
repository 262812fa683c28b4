// Package messaging sends consensus messages to other control-plane servers.
//
// A server has one Sender for each other server, which sends the messages of all shards. Messages are queued and sent
// in batches. A message that does not fit into the queue is dropped, because the consensus protocol repeats the
// messages that are still needed. Each batch has a stamp from which the receiver computes the age of the messages. The
// response to a batch has the echoes that the messages of the batch request.
package messaging

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/messageage"
)

// DeliverPath is the path of calls that deliver a MessageBatch.
const DeliverPath = "/core/deliver"

// MessageBatch holds messages of any shards, and the stamp from which the receiver computes their age.
type MessageBatch struct {
	messageage.Stamp
	Sender   consensus.Member
	Messages []consensus.Message
}

// MessageBatchResponse holds a reading of the receiver's clock, and the echoes that the messages request.
type MessageBatchResponse struct {
	Incarnation uint64
	Clock       clock.Microseconds
	Echoes      []consensus.Echo
	// Features are the features that the receiver's build supports.
	Features Features
	// Identity is the identity of the receiver's data directory.
	Identity string
}
