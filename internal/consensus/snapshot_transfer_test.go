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

// testChunkSize is the chunk size of the test, in bytes.
const testChunkSize = 64

// largeSnapshot returns a snapshot of several chunks, and the state that it contains.
func largeSnapshot() ([]byte, *simulation.AppendLog) {
	stateMachine := &simulation.AppendLog{}
	for value := range uint64(100) {
		stateMachine.Apply(binary.LittleEndian.AppendUint64(nil, value))
	}
	return consensus.EncodeSnapshot(consensus.Membership{Members: testMembers()}, stateMachine.Snapshot()), stateMachine
}

func smallChunkConfig(slot int) consensus.Config {
	config := testConfig(slot)
	config.ChunkSize = testChunkSize
	config.Incarnation = 7
	return config
}

// fetchFixture is a follower that has just started to fetch a snapshot that its leader has
// announced.
type fetchFixture struct {
	// follower is the replica of slot 2, and stateMachine is its state.
	follower     *consensus.Replica
	stateMachine *simulation.AppendLog
	// source is the replica of slot 0. Any replica with the snapshot can serve it.
	source *consensus.Replica
	// request is the follower's first request.
	request consensus.Message
}

func newFetchFixture() *fetchFixture {
	data, _ := largeSnapshot()
	stored := wal.ShardState{HasPromise: true, PromisedTerm: 3, Snapshot: wal.Entry{Index: 100, Term: 3, Data: data}}
	fixture := &fetchFixture{stateMachine: &simulation.AppendLog{}}
	fixture.source, _ = restartReplica(smallChunkConfig(0), stored)
	empty := wal.ShardState{HasPromise: true, PromisedTerm: 3}
	fixture.follower, _ = consensus.StartReplica(smallChunkConfig(2), consensus.StartOptions{
		StateMachine: fixture.stateMachine,
		Stored:       empty,
		Now:          clock.Second,
	})
	output := fixture.follower.Receive(clock.Second, consensus.Message{
		Kind: consensus.MsgAppend, From: 0, To: 2, Term: 3, Sender: testMembers()[0],
		Established: true, Incarnation: 7, RequestedAt: 5, SnapshotIndex: 100, Index: 100, IndexTerm: 3, Commit: 100,
	})
	for _, message := range fetchRequests(output) {
		fixture.request = message
	}
	fixture.request.Sender = testMembers()[2]
	return fixture
}

// fetchRequests returns the fetch requests of an output.
func fetchRequests(output consensus.Output) []consensus.Message {
	var requests []consensus.Message
	for _, message := range output.MessagesAfterSync {
		if message.Kind == consensus.MsgFetchRequest {
			requests = append(requests, message)
		}
	}
	return requests
}

// nextRequest delivers the first request to the source and its response to the follower, and
// returns the follower's next request.
func (f *fetchFixture) nextRequest() consensus.Message {
	chunk := onlyMessage(f.source.Receive(clock.Second, f.request))
	return onlyMessage(f.follower.Receive(clock.Second, chunk))
}

// onlyMessage returns the only message of an output, with the sender that its receiver's transport
// sets.
func onlyMessage(output consensus.Output) consensus.Message {
	So(output.MessagesAfterSync, ShouldHaveLength, 1)
	message := output.MessagesAfterSync[0]
	message.Sender = testMembers()[message.From]
	return message
}

func TestSnapshotTransfer_SendsChunks(t *testing.T) {
	Convey("a follower sends one request at a time, and installs and acknowledges only a complete snapshot", t, func() {
		fixture := newFetchFixture()
		request := fixture.request
		So(request.Kind, ShouldEqual, consensus.MsgFetchRequest)
		data, expected := largeSnapshot()
		for chunks := 1; ; chunks++ {
			chunk := onlyMessage(fixture.source.Receive(clock.Second, request))
			So(chunk.Kind, ShouldEqual, consensus.MsgFetchResponse)
			So(len(chunk.Snapshot.Data), ShouldBeBetweenOrEqual, 1, testChunkSize)
			So(fixture.stateMachine.Entries, ShouldBeEmpty)
			_, upToDate := fixture.follower.CommitIndex()
			So(upToDate, ShouldBeFalse)
			output := fixture.follower.Receive(clock.Second, chunk)
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
		So(request.RequestedAt, ShouldEqual, 5)
		So(fixture.stateMachine.Entries, ShouldResemble, expected.Entries)
	})
}

func TestSnapshotTransfer_RetriesLostChunk(t *testing.T) {
	Convey("a lost chunk is requested again at its offset, not before the timeout", t, func() {
		fixture := newFetchFixture()
		request := fixture.nextRequest()
		requests := 0
		for elapsed := clock.Microseconds(0); elapsed < 450*clock.Millisecond; elapsed += 10 * clock.Millisecond {
			for _, message := range fetchRequests(fixture.follower.Tick(clock.Second + elapsed)) {
				requests++
				So(elapsed, ShouldBeGreaterThanOrEqualTo, simulation.MaxMessageAge)
				So(message.Offset, ShouldEqual, request.Offset)
			}
		}
		So(requests, ShouldEqual, 1)
	})
}

func TestSnapshotTransfer_AbandonsSilentSource(t *testing.T) {
	Convey("a follower abandons a source that does not answer", t, func() {
		fixture := newFetchFixture()
		requests := 0
		for elapsed := clock.Microseconds(0); elapsed < 60*clock.Second; elapsed += 10 * clock.Millisecond {
			requests += len(fetchRequests(fixture.follower.Tick(clock.Second + elapsed)))
		}
		So(requests, ShouldBeLessThan, 6)
	})
}

func TestSnapshotTransfer_HigherTermEndsFetch(t *testing.T) {
	Convey("a higher term ends the fetch, and later chunks are rejected", t, func() {
		fixture := newFetchFixture()
		chunk := onlyMessage(fixture.source.Receive(clock.Second, fixture.request))
		prepare := consensus.Message{Kind: consensus.MsgPrepare, From: 1, To: 2, Term: 4, Sender: testMembers()[1]}
		fixture.follower.Receive(clock.Second, electionMessage(1, 2, election.START, 4))
		fixture.follower.Receive(clock.Second, prepare)
		So(fixture.follower.Term(), ShouldEqual, 4)
		So(fixture.follower.Receive(clock.Second, chunk).MessagesAfterSync, ShouldBeEmpty)
		So(fixture.follower.TransferCounters().Rejected, ShouldEqual, 1)
	})
}

func TestSnapshotTransfer_RejectsInvalidChunks(t *testing.T) {
	corruptions := map[string]func(*consensus.Message){
		"of another request":               func(chunk *consensus.Message) { chunk.RequestedAt++ },
		"to another incarnation":           func(chunk *consensus.Message) { chunk.Incarnation++ },
		"of another term":                  func(chunk *consensus.Message) { chunk.Term++ },
		"from another member":              func(chunk *consensus.Message) { chunk.From, chunk.Sender = 1, testMembers()[1] },
		"from a daemon that is no member":  func(chunk *consensus.Message) { chunk.Sender.Address = "unknown" },
		"out of order":                     func(chunk *consensus.Message) { chunk.Offset += testChunkSize },
		"of another snapshot":              func(chunk *consensus.Message) { chunk.Snapshot.Index++ },
		"of another content":               func(chunk *consensus.Message) { chunk.Checksum++ },
		"of another size":                  func(chunk *consensus.Message) { chunk.Total++ },
		"of a snapshot that is too large":  func(chunk *consensus.Message) { chunk.Total, chunk.Offset = 1<<62, 0 },
		"beyond the end of its snapshot":   func(chunk *consensus.Message) { chunk.Total = chunk.Offset },
		"without data":                     func(chunk *consensus.Message) { chunk.Snapshot.Data = nil },
		"that is too large":                func(chunk *consensus.Message) { chunk.Snapshot.Data = make([]byte, testChunkSize+1) },
		"with an offset that wraps around": func(chunk *consensus.Message) { chunk.Offset = ^uint64(0) },
	}
	for name, corrupt := range corruptions {
		Convey("a chunk "+name, t, func() {
			fixture := newFetchFixture()
			request := fixture.nextRequest()
			request.Sender = testMembers()[2]
			valid := onlyMessage(fixture.source.Receive(clock.Second, request))
			invalid := valid
			corrupt(&invalid)
			for range 100 {
				output := fixture.follower.Receive(clock.Second, invalid)
				So(len(output.MessagesAfterSync)+len(output.Records), ShouldEqual, 0)
			}
			So(fixture.follower.TransferCounters().Rejected, ShouldEqual, 100)
			So(fixture.stateMachine.Entries, ShouldBeEmpty)
			next := onlyMessage(fixture.follower.Receive(clock.Second, valid))
			So(next.Offset, ShouldEqual, 2*testChunkSize)
		})
	}
}

func TestSnapshotTransfer_RefetchesDamagedSnapshot(t *testing.T) {
	Convey("a snapshot with a damaged chunk is not installed, and is fetched again", t, func() {
		fixture := newFetchFixture()
		request := fixture.request
		damaged := true
		for now := clock.Second; len(fixture.stateMachine.Entries) == 0; now += 10 * clock.Millisecond {
			So(now, ShouldBeLessThan, 20*clock.Second)
			chunk := onlyMessage(fixture.source.Receive(now, request))
			if damaged && chunk.Offset > 0 {
				chunk.Snapshot.Data = bytes.Repeat([]byte{1}, len(chunk.Snapshot.Data))
				damaged = false
			}
			output := fixture.follower.Receive(now, chunk)
			for len(output.MessagesAfterSync) == 0 {
				now += 10 * clock.Millisecond
				So(output.Records, ShouldBeEmpty)
				output = fixture.follower.Tick(now)
			}
			request = onlyMessage(output)
		}
		So(fixture.follower.TransferCounters().Rejected, ShouldEqual, 1)
		So(fixture.follower.TransferCounters().Installed, ShouldEqual, 1)
	})
}

func TestSnapshotTransfer_RejectsUnexpectedMessages(t *testing.T) {
	Convey("a request from a daemon that is no member, or of an earlier term, is rejected", t, func() {
		fixture := newFetchFixture()
		request := fixture.request
		request.Sender.Address = "unknown"
		So(fixture.source.Receive(clock.Second, request).MessagesAfterSync, ShouldBeEmpty)
		request.Sender, request.Term = testMembers()[2], 2
		So(fixture.source.Receive(clock.Second, request).MessagesAfterSync, ShouldBeEmpty)
		So(fixture.source.TransferCounters().Rejected, ShouldEqual, 2)
	})
	Convey("a response without a request is rejected", t, func() {
		replica := newRestartedFollower(1)
		response := consensus.Message{Kind: consensus.MsgFetchResponse, From: 0, To: 2, Sender: testMembers()[0]}
		So(replica.Receive(clock.Second, response).MessagesAfterSync, ShouldBeEmpty)
		So(replica.TransferCounters().Rejected, ShouldEqual, 1)
	})
}
