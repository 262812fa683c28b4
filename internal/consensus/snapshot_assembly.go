package consensus

import (
	"crypto/sha256"
	"encoding/binary"

	"coursepass/internal/consensus/wal"
)

const (
	// DefaultChunkSize is the default size of a snapshot chunk in bytes. A 10 Mbit/s link transfers
	// a chunk of this size in 26 ms.
	DefaultChunkSize = 32 << 10
	// maxSnapshotSize is the maximum size of a snapshot that a replica fetches, in bytes.
	maxSnapshotSize = 64 << 20
)

// snapshotAssembly is a partially received snapshot: its position, its size and checksum, and the
// bytes received so far.
type snapshotAssembly struct {
	index, term     uint64
	total, checksum uint64
	data            []byte
}

func newSnapshotAssembly(message Message) snapshotAssembly {
	return snapshotAssembly{
		index:    message.Snapshot.Index,
		term:     message.Snapshot.Term,
		total:    message.Total,
		checksum: message.Checksum,
	}
}

// addChunk appends a chunk if it is the next one, and reports whether it did. The first chunk of
// another snapshot discards the bytes received before.
func (s *snapshotAssembly) addChunk(message Message, maxBytes int) bool {
	if !validChunk(message, maxBytes) {
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
	s.data = append(s.data, message.Snapshot.Data...)
	return true
}

// validChunk reports whether a chunk has an allowed size and lies within its snapshot.
func validChunk(message Message, maxBytes int) bool {
	size := uint64(len(message.Snapshot.Data))
	if size == 0 || size > uint64(maxBytes) || message.Total > maxSnapshotSize {
		return false
	}
	return message.Offset <= message.Total && size <= message.Total-message.Offset
}

func (s *snapshotAssembly) sameSnapshot(message Message) bool {
	return s.total == message.Total && s.checksum == message.Checksum &&
		s.index == message.Snapshot.Index && s.term == message.Snapshot.Term
}

func (s *snapshotAssembly) isComplete() bool {
	return uint64(len(s.data)) == s.total
}

// entry returns the complete snapshot as an entry. intact reports whether the checksum matches and
// the content can be decoded.
func (s *snapshotAssembly) entry() (snapshot wal.Entry, intact bool) {
	_, _, decoded := DecodeSnapshot(s.data)
	snapshot = wal.Entry{Index: s.index, Term: s.term, Data: s.data}
	return snapshot, decoded && checksum(s.data) == s.checksum
}

// checksum returns the first eight bytes of the SHA-256 digest as a little-endian number.
func checksum(data []byte) uint64 {
	digest := sha256.Sum256(data)
	return binary.LittleEndian.Uint64(digest[:])
}

// snapshotChecksum is the checksum of the snapshot at a log position.
type snapshotChecksum struct{ index, term, checksum uint64 }

// currentChecksum returns the checksum of the local snapshot, and computes it only when the
// snapshot has changed.
func (r *Replica) currentChecksum() uint64 {
	cached := &r.transfer.snapshotChecksum
	if cached.index != r.Snapshot.Index || cached.term != r.Snapshot.Term {
		*cached = snapshotChecksum{
			index:    r.Snapshot.Index,
			term:     r.Snapshot.Term,
			checksum: checksum(r.Snapshot.Data),
		}
	}
	return cached.checksum
}
