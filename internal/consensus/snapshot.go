package part

import (
	"crypto/sha256"
	"encoding/binary"

	"coursepass/internal/consensus/wal"
)

// assembly is a snapshot of which the first bytes have arrived.
type assembly struct {
	index, round    uint64
	total, checksum uint64
	data            []byte
}

// add takes the next piece. The first piece of another snapshot drops what was there.
func (assembly *assembly) add(message Message, most int) bool {
	piece := message.Base
	size := uint64(len(piece.Data))
	if size == 0 || size > uint64(most) || message.Total > largestSnapshot || message.Offset > message.Total || size > message.Total-message.Offset {
		return false
	}
	if !assembly.same(message) {
		if message.Offset != 0 {
			return false
		}
		*assembly = newAssembly(message)
	}
	if message.Offset != uint64(len(assembly.data)) {
		return false
	}
	assembly.data = append(assembly.data, piece.Data...)
	return true
}

func newAssembly(message Message) assembly {
	return assembly{index: message.Base.Index, round: message.Base.Round, total: message.Total, checksum: message.Checksum}
}

func (assembly *assembly) same(message Message) bool {
	return assembly.total == message.Total && assembly.checksum == message.Checksum &&
		assembly.index == message.Base.Index && assembly.round == message.Base.Round
}

func (assembly *assembly) whole() bool { return uint64(len(assembly.data)) == assembly.total }

// entry is the whole snapshot, if it is as it was sent and can be read.
func (assembly *assembly) entry() (journal.Entry, bool) {
	_, _, readable := Unpack(assembly.data)
	return journal.Entry{Index: assembly.index, Round: assembly.round, Data: assembly.data}, readable && checksum(assembly.data) == assembly.checksum
}

func checksum(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.LittleEndian.Uint64(sum[:])
}

// checksum is that of the snapshot here.
func (member *Member) checksum() uint64 {
	if sum := &member.baseSum; sum.index != member.Base.Index || sum.round != member.Base.Round {
		*sum = baseSum{member.Base.Index, member.Base.Round, checksum(member.Base.Data)}
	}
	return member.baseSum.checksum
}

type baseSum struct{ index, round, checksum uint64 }

// cut is the piece of the snapshot that an asker lacks: from where it has got, if it is
// this very snapshot, else from the start.
func (member *Member) cut(message Message) (piece journal.Entry, offset uint64) {
	base := member.Base
	same := message.Base.Index == base.Index && message.Base.Round == base.Round && message.Checksum == member.checksum()
	if same && message.Offset < uint64(len(base.Data)) {
		offset = message.Offset
	}
	end := min(offset+uint64(member.pieceSize()), uint64(len(base.Data)))
	return journal.Entry{Index: base.Index, Round: base.Round, Data: base.Data[offset:end]}, offset
}

// bounded are the first entries, as many as one message may carry, and one at least.
func bounded(entries []journal.Entry, most int) []journal.Entry {
	size := 0
	for count, entry := range entries {
		size += len(entry.Data)
		if count > 0 && size > most || count == piece {
			return entries[:count]
		}
	}
	return entries
}

// complete gives an answer all content after an index if one message may carry it. Else it
// makes it one of the position only, and whoever lacks the content fetches it.
func (member *Member) complete(answer Message, index uint64) Message {
	if index < member.Base.Index {
		answer.Base = member.Base
	}
	answer.Entries = member.after(index)
	if answer.Size() <= member.pieceSize() {
		return answer
	}
	answer.Base, answer.Entries = journal.Entry{}, nil
	if answer.Kind == Promise {
		answer.Kind = PromisePosition
	} else {
		answer.Kind = TellPosition
	}
	return answer
}
