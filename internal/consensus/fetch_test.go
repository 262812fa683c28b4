package part_test

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

const pieceSize = 64

// largeBook is a snapshot of several pieces.
func largeBook() ([]byte, *simulation.Book) {
	book := &simulation.Book{}
	for line := range uint64(100) {
		book.Apply(binary.LittleEndian.AppendUint64(nil, line))
	}
	return part.Pack(part.Bindings{Seats: seats()}, book.Snapshot()), book
}

func smallPieces(slot int) part.Place {
	return part.Place{
		Place: election.Place{Slots: 3, Self: slot, Delta: simulation.Delta}, Terms: simulation.Terms, Keep: 24, Piece: pieceSize,
		Life: 7, Me: seats()[slot], Bindings: part.Bindings{Seats: seats()},
	}
}

// fetching is a follower that has just been told of the leader's snapshot, and the leader's
// side of the fetch, which any member with the snapshot serves.
func fetching() (follower, source *part.Member, book *simulation.Book, question part.Message) {
	data, _ := largeBook()
	past := journal.Past{Whole: true, Promised: 3, Base: journal.Entry{Index: 100, Round: 3, Data: data}}
	source, _ = part.Start(smallPieces(0), &simulation.Book{}, past, schedule.Second, false)
	book = &simulation.Book{}
	follower, _ = part.Start(smallPieces(2), book, journal.Past{Whole: true, Promised: 3}, schedule.Second, false)
	output := follower.Receive(schedule.Second, part.Message{
		Kind: part.Append, From: 0, To: 2, Round: 3, Established: true, Life: 7, Asked: 5, Snapshot: 100, Index: 100, IndexRound: 3, Commit: 100, Sender: seats()[0],
	})
	for _, message := range output.Held {
		if message.Kind == part.Fetch {
			question = message
		}
	}
	question.Sender = seats()[2]
	return follower, source, book, question
}

func onlyHeld(output part.Output) part.Message {
	So(output.Held, ShouldHaveLength, 1)
	message := output.Held[0]
	message.Sender = seats()[message.From]
	return message
}

func TestASnapshotComesInPieces(test *testing.T) {
	Convey("one question at a time, and only a snapshot that is whole is installed and answered", test, func() {
		follower, source, book, question := fetching()
		So(question.Kind, ShouldEqual, part.Fetch)
		data, filled := largeBook()
		for pieces := 1; ; pieces++ {
			piece := onlyHeld(source.Receive(schedule.Second, question))
			So(piece.Kind, ShouldEqual, part.Content)
			So(len(piece.Base.Data), ShouldBeBetweenOrEqual, 1, pieceSize)
			So(book.Lines, ShouldBeEmpty)
			_, current := follower.Current()
			So(current, ShouldBeFalse)
			output := follower.Receive(schedule.Second, piece)
			question = onlyHeld(output)
			if question.Kind == part.Fetch {
				So(output.Records, ShouldBeEmpty)
				So(question.Offset, ShouldEqual, pieces*pieceSize)
				continue
			}
			So(pieces, ShouldEqual, (len(data)+pieceSize-1)/pieceSize)
			So(output.Records, ShouldHaveLength, 1)
			So(output.Records[0].Kind, ShouldEqual, journal.Rebase)
			break
		}
		So(question.Kind, ShouldEqual, part.Appended)
		So(question.Accepted, ShouldBeTrue)
		So(question.Granted, ShouldBeFalse)
		So(question.Index, ShouldEqual, 100)
		So(question.Asked, ShouldEqual, 5)
		So(book.Lines, ShouldResemble, filled.Lines)
	})
	Convey("a lost piece is asked for again from where it was, not before its time", test, func() {
		follower, source, _, question := fetching()
		question = onlyHeld(follower.Receive(schedule.Second, onlyHeld(source.Receive(schedule.Second, question))))
		asked := 0
		for wait := schedule.Microseconds(0); wait < 450*schedule.Millisecond; wait += 10 * schedule.Millisecond {
			for _, message := range follower.Wake(schedule.Second + wait).Held {
				if message.Kind == part.Fetch {
					asked++
					So(wait, ShouldBeGreaterThanOrEqualTo, simulation.Delta)
					So(message.Offset, ShouldEqual, question.Offset)
				}
			}
		}
		So(asked, ShouldEqual, 1)
	})
	Convey("a silent source is given up", test, func() {
		follower, _, _, _ := fetching()
		asked := 0
		for wait := schedule.Microseconds(0); wait < 60*schedule.Second; wait += 10 * schedule.Millisecond {
			for _, message := range follower.Wake(schedule.Second + wait).Held {
				if message.Kind == part.Fetch {
					asked++
				}
			}
		}
		So(asked, ShouldBeLessThan, 6)
	})
	Convey("a higher term drops what has come", test, func() {
		follower, source, _, question := fetching()
		piece := onlyHeld(source.Receive(schedule.Second, question))
		follower.Receive(schedule.Second, part.Message{Kind: part.Elect, From: 1, To: 2, Sender: seats()[1], Election: election.Message{Kind: election.START, Round: 4}})
		follower.Receive(schedule.Second, part.Message{Kind: part.Prepare, From: 1, To: 2, Round: 4, Sender: seats()[1]})
		So(follower.Round(), ShouldEqual, 4)
		So(follower.Receive(schedule.Second, piece).Held, ShouldBeEmpty)
		So(follower.Transfers().Refused, ShouldEqual, 1)
	})
}

func TestBadPiecesAreCountedAndRefused(test *testing.T) {
	spoil := map[string]func(*part.Message){
		"of another question":         func(piece *part.Message) { piece.Asked++ },
		"to another life":             func(piece *part.Message) { piece.Life++ },
		"of another term":             func(piece *part.Message) { piece.Round++ },
		"from another member":         func(piece *part.Message) { piece.From, piece.Sender = 1, seats()[1] },
		"from a stranger":             func(piece *part.Message) { piece.Sender.Address = "stranger" },
		"out of order":                func(piece *part.Message) { piece.Offset += pieceSize },
		"of another snapshot":         func(piece *part.Message) { piece.Base.Index++ },
		"of another content":          func(piece *part.Message) { piece.Checksum++ },
		"of another size":             func(piece *part.Message) { piece.Total++ },
		"of a size beyond all bounds": func(piece *part.Message) { piece.Total, piece.Offset = 1<<62, 0 },
		"before its own end":          func(piece *part.Message) { piece.Total = piece.Offset },
		"empty":                       func(piece *part.Message) { piece.Base.Data = nil },
		"too large":                   func(piece *part.Message) { piece.Base.Data = make([]byte, pieceSize+1) },
		"with an offset that wraps":   func(piece *part.Message) { piece.Offset = ^uint64(0) },
	}
	for name, spoiled := range spoil {
		Convey("a piece "+name, test, func() {
			follower, source, book, question := fetching()
			question = onlyHeld(follower.Receive(schedule.Second, onlyHeld(source.Receive(schedule.Second, question))))
			question.Sender = seats()[2]
			good := onlyHeld(source.Receive(schedule.Second, question))
			bad := good
			spoiled(&bad)
			for range 100 {
				output := follower.Receive(schedule.Second, bad)
				So(len(output.Held)+len(output.Records), ShouldEqual, 0)
			}
			So(follower.Transfers().Refused, ShouldEqual, 100)
			So(book.Lines, ShouldBeEmpty)
			So(onlyHeld(follower.Receive(schedule.Second, good)).Offset, ShouldEqual, 2*pieceSize)
		})
	}
	Convey("a snapshot that was damaged on its way is not installed, and is fetched anew", test, func() {
		follower, source, book, question := fetching()
		damaged := true
		for now := schedule.Second; len(book.Lines) == 0; now += 10 * schedule.Millisecond {
			So(now, ShouldBeLessThan, 20*schedule.Second)
			piece := onlyHeld(source.Receive(now, question))
			if damaged && piece.Offset > 0 {
				piece.Base.Data, damaged = bytes.Repeat([]byte{1}, len(piece.Base.Data)), false
			}
			output := follower.Receive(now, piece)
			for len(output.Held) == 0 {
				now += 10 * schedule.Millisecond
				So(output.Records, ShouldBeEmpty)
				output = follower.Wake(now)
			}
			question = onlyHeld(output)
		}
		So(follower.Transfers().Refused, ShouldEqual, 1)
		So(follower.Transfers().Installed, ShouldEqual, 1)
	})
	Convey("a stranger's question is refused", test, func() {
		_, source, _, question := fetching()
		question.Sender.Address = "stranger"
		So(source.Receive(schedule.Second, question).Held, ShouldBeEmpty)
		question.Sender, question.Round = seats()[2], 2
		So(source.Receive(schedule.Second, question).Held, ShouldBeEmpty)
		So(source.Transfers().Refused, ShouldEqual, 2)
	})
	Convey("answers that nobody asked for are refused", test, func() {
		member := follower(1)
		So(member.Receive(schedule.Second, part.Message{Kind: part.Content, From: 0, To: 2, Sender: seats()[0]}).Held, ShouldBeEmpty)
		So(member.Transfers().Refused, ShouldEqual, 1)
	})
}
