// Package messaging sends consensus messages to other control-plane servers.
//
// A server has one Sender per other server for the messages of all shards. Messages are queued and sent in
// batches; what does not fit into the queue is dropped, since the consensus protocol repeats what matters.
// Each batch has a stamp by which its receiver judges the age of the messages, and brings back the echoes
// that its messages ask for.
package messaging

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/messageage"
)

// DeliverPath is the path of calls with MessageBatch.
const DeliverPath = "/core/deliver"

// MessageBatch has messages of any shards, and the stamp by which their age is judged.
type MessageBatch struct {
	messageage.Stamp
	Sender   consensus.Member
	Messages []consensus.Message
}

// MessageBatchResponse has the receiver's clock, and the echoes that the messages ask for.
type MessageBatchResponse struct {
	Incarnation uint64
	Clock       clock.Microseconds
	Echoes      []consensus.Echo
	// Features are what the receiver's build knows.
	Features Features
}
