package messaging

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/transport"
)

// A server that does not respond must not make its sender's queue grow without limit: large messages beyond
// maxQueuedBytes are dropped. A single message above the limit must still be queued, or it could never be sent.
func TestSender_QueueBoundedByBytes(t *testing.T) {
	Convey("large messages beyond the limit are dropped; small messages and a single large message are not", t, func() {
		newSender := func() *Sender {
			return NewSender(Options{Counters: &Counters{}, Clock: transport.NewClock(transport.SystemNetwork)})
		}
		message := func(size int) consensus.Message {
			return consensus.Message{Kind: consensus.MsgAppend, Entries: []wal.Entry{{Data: make([]byte, size)}}}
		}
		full := newSender()
		for range 200 {
			full.Send(context.Background(), message(64<<10))
		}
		So(len(full.queue), ShouldEqual, maxQueuedBytes/(64<<10))
		So(full.options.Counters.Dropped.Load(), ShouldEqual, 200-maxQueuedBytes/(64<<10))
		full.Send(context.Background(), message(0))
		So(len(full.queue), ShouldEqual, maxQueuedBytes/(64<<10)+1)
		single := newSender()
		single.Send(context.Background(), message(3*maxQueuedBytes))
		So(len(single.queue), ShouldEqual, 1)
	})
}
