package consensus_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

const testChunkSize = 64

// largeSnapshot is a snapshot of several pieces.
func largeSnapshot() ([]byte, *simulation.AppendLog) {
	stateMachine := &simulation.AppendLog{}
	for value := range uint64(100) {
		stateMachine.Apply(binary.LittleEndian.AppendUint64(nil, value))
	}
	return consensus.EncodeSnapshot(consensus.Membership{Seats: testMembers()}, stateMachine.Snapshot()), stateMachine
}

func smallChunkConfig(slot int) consensus.Config {
	return consensus.Config{
		Config: election.Config{Slots: 3, Self: slot, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: 24, ChunkSize: testChunkSize,
		Incarnation: 7, LocalMember: testMembers()[slot], InitialMembership: consensus.Membership{Seats: testMembers()},
	}
}

// startedFetch is a follower that has just been told of the leader's snapshot, and the leader's
// side of the fetch, which any member with the snapshot serves.
func startedFetch() (follower, source *consensus.Replica, stateMachine *simulation.AppendLog, request consensus.Message) {
	data, _ := largeSnapshot()
	stored := wal.ShardState{HasPromise: true, PromisedTerm: 3, Snapshot: wal.Entry{Index: 100, Round: 3, Data: data}}
	source, _ = consensus.StartReplica(smallChunkConfig(0), &simulation.AppendLog{}, stored, clock.Second, false)
	stateMachine = &simulation.AppendLog{}
	follower, _ = consensus.StartReplica(smallChunkConfig(2), stateMachine, wal.ShardState{HasPromise: true, PromisedTerm: 3}, clock.Second, false)
	output := follower.Receive(clock.Second, consensus.Message{
		Kind: consensus.MsgAppend, From: 0, To: 2, Round: 3, Established: true, Life: 7, Asked: 5, Snapshot: 100, Index: 100, IndexRound: 3, Commit: 100, Sender: testMembers()[0],
	})
	for _, message := range output.MessagesAfterSync {
		if message.Kind == consensus.MsgFetchRequest {
			request = message
		}
	}
	request.Sender = testMembers()[2]
	return follower, source, stateMachine, request
}

func onlyMessage(output consensus.Output) consensus.Message {
	So(output.MessagesAfterSync, ShouldHaveLength, 1)
	message := output.MessagesAfterSync[0]
	message.Sender = testMembers()[message.From]
	return message
}

func TestSnapshotTransfer_SendsChunks(t *testing.T) {
	Convey("one question at a time, and only a snapshot that is whole is installed and answered", t, func() {
		follower, source, stateMachine, request := startedFetch()
		So(request.Kind, ShouldEqual, consensus.MsgFetchRequest)
		data, expected := largeSnapshot()
		for chunks := 1; ; chunks++ {
			chunk := onlyMessage(source.Receive(clock.Second, request))
			So(chunk.Kind, ShouldEqual, consensus.MsgFetchResponse)
			So(len(chunk.Base.Data), ShouldBeBetweenOrEqual, 1, testChunkSize)
			So(stateMachine.Entries, ShouldBeEmpty)
			_, current := follower.CommitIndex()
			So(current, ShouldBeFalse)
			output := follower.Receive(clock.Second, chunk)
			request = onlyMessage(output)
			if request.Kind == consensus.MsgFetchRequest {
				So(output.Records, ShouldBeEmpty)
				So(request.Offset, ShouldEqual, chunks*testChunkSize)
				continue
			}
			So(chunks, ShouldEqual, (len(data)+testChunkSize-1)/testChunkSize)
			So(output.Records, ShouldHaveLength, 1)
			So(output.Records[0].Kind, ShouldEqual, wal.RecordSnapshot)
			break
		}
		So(request.Kind, ShouldEqual, consensus.MsgAppendResponse)
		So(request.Accepted, ShouldBeTrue)
		So(request.Granted, ShouldBeFalse)
		So(request.Index, ShouldEqual, 100)
		So(request.Asked, ShouldEqual, 5)
		So(stateMachine.Entries, ShouldResemble, expected.Entries)
	})
	Convey("a lost piece is asked for again from where it was, not before its time", t, func() {
		follower, source, _, request := startedFetch()
		request = onlyMessage(follower.Receive(clock.Second, onlyMessage(source.Receive(clock.Second, request))))
		requests := 0
		for elapsed := clock.Microseconds(0); elapsed < 450*clock.Millisecond; elapsed += 10 * clock.Millisecond {
			for _, message := range follower.Tick(clock.Second + elapsed).MessagesAfterSync {
				if message.Kind == consensus.MsgFetchRequest {
					requests++
					So(elapsed, ShouldBeGreaterThanOrEqualTo, simulation.MaxMessageAge)
					So(message.Offset, ShouldEqual, request.Offset)
				}
			}
		}
		So(requests, ShouldEqual, 1)
	})
	Convey("a silent source is given up", t, func() {
		follower, _, _, _ := startedFetch()
		requests := 0
		for elapsed := clock.Microseconds(0); elapsed < 60*clock.Second; elapsed += 10 * clock.Millisecond {
			for _, message := range follower.Tick(clock.Second + elapsed).MessagesAfterSync {
				if message.Kind == consensus.MsgFetchRequest {
					requests++
				}
			}
		}
		So(requests, ShouldBeLessThan, 6)
	})
	Convey("a higher term drops what has come", t, func() {
		follower, source, _, request := startedFetch()
		chunk := onlyMessage(source.Receive(clock.Second, request))
		follower.Receive(clock.Second, consensus.Message{Kind: consensus.MsgElection, From: 1, To: 2, Sender: testMembers()[1], Election: election.Message{Kind: election.START, Round: 4}})
		follower.Receive(clock.Second, consensus.Message{Kind: consensus.MsgPrepare, From: 1, To: 2, Round: 4, Sender: testMembers()[1]})
		So(follower.Term(), ShouldEqual, 4)
		So(follower.Receive(clock.Second, chunk).MessagesAfterSync, ShouldBeEmpty)
		So(follower.TransferCounters().Rejected, ShouldEqual, 1)
	})
}

func TestSnapshotTransfer_RejectsInvalidChunks(t *testing.T) {
	corruptions := map[string]func(*consensus.Message){
		"of another question":         func(chunk *consensus.Message) { chunk.Asked++ },
		"to another life":             func(chunk *consensus.Message) { chunk.Life++ },
		"of another term":             func(chunk *consensus.Message) { chunk.Round++ },
		"from another member":         func(chunk *consensus.Message) { chunk.From, chunk.Sender = 1, testMembers()[1] },
		"from a stranger":             func(chunk *consensus.Message) { chunk.Sender.Address = "stranger" },
		"out of order":                func(chunk *consensus.Message) { chunk.Offset += testChunkSize },
		"of another snapshot":         func(chunk *consensus.Message) { chunk.Base.Index++ },
		"of another content":          func(chunk *consensus.Message) { chunk.Checksum++ },
		"of another size":             func(chunk *consensus.Message) { chunk.Total++ },
		"of a size beyond all bounds": func(chunk *consensus.Message) { chunk.Total, chunk.Offset = 1<<62, 0 },
		"before its own end":          func(chunk *consensus.Message) { chunk.Total = chunk.Offset },
		"empty":                       func(chunk *consensus.Message) { chunk.Base.Data = nil },
		"too large":                   func(chunk *consensus.Message) { chunk.Base.Data = make([]byte, testChunkSize+1) },
		"with an offset that wraps":   func(chunk *consensus.Message) { chunk.Offset = ^uint64(0) },
	}
	for name, corrupt := range corruptions {
		Convey("a piece "+name, t, func() {
			follower, source, stateMachine, request := startedFetch()
			request = onlyMessage(follower.Receive(clock.Second, onlyMessage(source.Receive(clock.Second, request))))
			request.Sender = testMembers()[2]
			valid := onlyMessage(source.Receive(clock.Second, request))
			invalid := valid
			corrupt(&invalid)
			for range 100 {
				output := follower.Receive(clock.Second, invalid)
				So(len(output.MessagesAfterSync)+len(output.Records), ShouldEqual, 0)
			}
			So(follower.TransferCounters().Rejected, ShouldEqual, 100)
			So(stateMachine.Entries, ShouldBeEmpty)
			So(onlyMessage(follower.Receive(clock.Second, valid)).Offset, ShouldEqual, 2*testChunkSize)
		})
	}
	Convey("a snapshot that was damaged on its way is not installed, and is fetched anew", t, func() {
		follower, source, stateMachine, request := startedFetch()
		damaged := true
		for now := clock.Second; len(stateMachine.Entries) == 0; now += 10 * clock.Millisecond {
			So(now, ShouldBeLessThan, 20*clock.Second)
			chunk := onlyMessage(source.Receive(now, request))
			if damaged && chunk.Offset > 0 {
				chunk.Base.Data, damaged = bytes.Repeat([]byte{1}, len(chunk.Base.Data)), false
			}
			output := follower.Receive(now, chunk)
			for len(output.MessagesAfterSync) == 0 {
				now += 10 * clock.Millisecond
				So(output.Records, ShouldBeEmpty)
				output = follower.Tick(now)
			}
			request = onlyMessage(output)
		}
		So(follower.TransferCounters().Rejected, ShouldEqual, 1)
		So(follower.TransferCounters().Installed, ShouldEqual, 1)
	})
	Convey("a stranger's question is refused", t, func() {
		_, source, _, request := startedFetch()
		request.Sender.Address = "stranger"
		So(source.Receive(clock.Second, request).MessagesAfterSync, ShouldBeEmpty)
		request.Sender, request.Round = testMembers()[2], 2
		So(source.Receive(clock.Second, request).MessagesAfterSync, ShouldBeEmpty)
		So(source.TransferCounters().Rejected, ShouldEqual, 2)
	})
	Convey("answers that nobody asked for are refused", t, func() {
		replica := follower(1)
		So(replica.Receive(clock.Second, consensus.Message{Kind: consensus.MsgFetchResponse, From: 0, To: 2, Sender: testMembers()[0]}).MessagesAfterSync, ShouldBeEmpty)
		So(replica.TransferCounters().Rejected, ShouldEqual, 1)
	})
}
