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
func (s *assembly) add(message Message, most int) bool {
	piece := message.Base
	size := uint64(len(piece.Data))
	if size == 0 || size > uint64(most) || message.Total > largestSnapshot || message.Offset > message.Total || size > message.Total-message.Offset {
		return false
	}
	if !s.same(message) {
		if message.Offset != 0 {
			return false
		}
		*s = newAssembly(message)
	}
	if message.Offset != uint64(len(s.data)) {
		return false
	}
	s.data = append(s.data, piece.Data...)
	return true
}

func newAssembly(message Message) assembly {
	return assembly{index: message.Base.Index, round: message.Base.Round, total: message.Total, checksum: message.Checksum}
}

func (s *assembly) same(message Message) bool {
	return s.total == message.Total && s.checksum == message.Checksum &&
		s.index == message.Base.Index && s.round == message.Base.Round
}

func (s *assembly) whole() bool { return uint64(len(s.data)) == s.total }

// entry is the whole snapshot, if it is as it was sent and can be read.
func (s *assembly) entry() (journal.Entry, bool) {
	_, _, readable := Unpack(s.data)
	return journal.Entry{Index: s.index, Round: s.round, Data: s.data}, readable && checksum(s.data) == s.checksum
}

func checksum(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.LittleEndian.Uint64(sum[:])
}

// checksum is that of the snapshot here.
func (r *Member) checksum() uint64 {
	if sum := &r.baseSum; sum.index != r.Base.Index || sum.round != r.Base.Round {
		*sum = baseSum{r.Base.Index, r.Base.Round, checksum(r.Base.Data)}
	}
	return r.baseSum.checksum
}

type baseSum struct{ index, round, checksum uint64 }

// cut is the piece of the snapshot that an asker lacks: from where it has got, if it is
// this very snapshot, else from the start.
func (r *Member) cut(message Message) (piece journal.Entry, offset uint64) {
	base := r.Base
	same := message.Base.Index == base.Index && message.Base.Round == base.Round && message.Checksum == r.checksum()
	if same && message.Offset < uint64(len(base.Data)) {
		offset = message.Offset
	}
	end := min(offset+uint64(r.pieceSize()), uint64(len(base.Data)))
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
func (r *Member) complete(answer Message, index uint64) Message {
	if index < r.Base.Index {
		answer.Base = r.Base
	}
	answer.Entries = r.after(index)
	if answer.Size() <= r.pieceSize() {
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
