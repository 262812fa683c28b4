package consensus

import (
	"crypto/sha256"
	"encoding/binary"

	"coursepass/internal/consensus/wal"
)

// snapshotAssembly is a snapshot of which the first bytes have arrived.
type snapshotAssembly struct {
	index, term     uint64
	total, checksum uint64
	data            []byte
}

// addChunk takes the next piece. The first piece of another snapshot drops what was there.
func (s *snapshotAssembly) addChunk(message Message, maxBytes int) bool {
	chunk := message.Base
	size := uint64(len(chunk.Data))
	if size == 0 || size > uint64(maxBytes) || message.Total > maxSnapshotSize || message.Offset > message.Total || size > message.Total-message.Offset {
		return false
	}
	if !s.sameSnapshot(message) {
		if message.Offset != 0 {
			return false
		}
		*s = newSnapshotAssembly(message)
	}
	if message.Offset != uint64(len(s.data)) {
		return false
	}
	s.data = append(s.data, chunk.Data...)
	return true
}

func newSnapshotAssembly(message Message) snapshotAssembly {
	return snapshotAssembly{index: message.Base.Index, term: message.Base.Round, total: message.Total, checksum: message.Checksum}
}

func (s *snapshotAssembly) sameSnapshot(message Message) bool {
	return s.total == message.Total && s.checksum == message.Checksum &&
		s.index == message.Base.Index && s.term == message.Base.Round
}

func (s *snapshotAssembly) isComplete() bool { return uint64(len(s.data)) == s.total }

// entry is the whole snapshot, if it is as it was sent and can be read.
func (s *snapshotAssembly) entry() (wal.Entry, bool) {
	_, _, readable := DecodeSnapshot(s.data)
	return wal.Entry{Index: s.index, Round: s.term, Data: s.data}, readable && checksum(s.data) == s.checksum
}

func checksum(data []byte) uint64 {
	sum := sha256.Sum256(data)
	return binary.LittleEndian.Uint64(sum[:])
}

// currentChecksum is that of the snapshot here.
func (r *Replica) currentChecksum() uint64 {
	if sum := &r.snapshotChecksum; sum.index != r.Snapshot.Index || sum.term != r.Snapshot.Round {
		*sum = snapshotChecksum{r.Snapshot.Index, r.Snapshot.Round, checksum(r.Snapshot.Data)}
	}
	return r.snapshotChecksum.checksum
}

type snapshotChecksum struct{ index, term, checksum uint64 }

// nextChunk is the piece of the snapshot that an asker lacks: from where it has got, if it is
// this very snapshot, else from the start.
func (r *Replica) nextChunk(message Message) (chunk wal.Entry, offset uint64) {
	snapshot := r.Snapshot
	sameSnapshot := message.Base.Index == snapshot.Index && message.Base.Round == snapshot.Round && message.Checksum == r.currentChecksum()
	if sameSnapshot && message.Offset < uint64(len(snapshot.Data)) {
		offset = message.Offset
	}
	end := min(offset+uint64(r.chunkSize()), uint64(len(snapshot.Data)))
	return wal.Entry{Index: snapshot.Index, Round: snapshot.Round, Data: snapshot.Data[offset:end]}, offset
}

// limitEntries are the first entries, as many as one message may carry, and one at least.
func limitEntries(entries []wal.Entry, maxBytes int) []wal.Entry {
	size := 0
	for count, entry := range entries {
		size += len(entry.Data)
		if count > 0 && size > maxBytes || count == maxEntriesPerAppend {
			return entries[:count]
		}
	}
	return entries
}

// withContent gives an answer all content after an index if one message may carry it. Else it
// makes it one of the position only, and whoever lacks the content fetches it.
func (r *Replica) withContent(response Message, index uint64) Message {
	if index < r.Snapshot.Index {
		response.Base = r.Snapshot
	}
	response.Entries = r.entriesAfter(index)
	if response.Size() <= r.chunkSize() {
		return response
	}
	response.Base, response.Entries = wal.Entry{}, nil
	if response.Kind == MsgPromise {
		response.Kind = MsgPromisePositionOnly
	} else {
		response.Kind = MsgRecoveryPositionOnly
	}
	return response
}
