package core

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/transport"
)

func TestASendersQueueIsBoundedByBytes(test *testing.T) {
	Convey("large messages are dropped beyond the bound, small ones and a lone large one are not", test, func() {
		fresh := func() *sender {
			return &sender{senderCounters: &senderCounters{}, clock: circuit.NewClock(circuit.System), queue: make(chan outgoing, 256)}
		}
		message := func(size int) part.Message {
			return part.Message{Kind: part.Append, Entries: []journal.Entry{{Data: make([]byte, size)}}}
		}
		crowded := fresh()
		for range 200 {
			crowded.send(context.Background(), message(64<<10))
		}
		So(len(crowded.queue), ShouldEqual, queuedBytes/(64<<10))
		So(crowded.Dropped.Load(), ShouldEqual, 200-queuedBytes/(64<<10))
		crowded.send(context.Background(), message(0))
		So(len(crowded.queue), ShouldEqual, queuedBytes/(64<<10)+1)
		alone := fresh()
		alone.send(context.Background(), message(3*queuedBytes))
		So(len(alone.queue), ShouldEqual, 1)
	})
}
