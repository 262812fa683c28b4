package wal

import (
	"encoding/binary"

	"coursepass/internal/errcode"
)

// RecordKind is the kind of a record. Its values are part of the file format.
type RecordKind uint8

// The kinds of records.
const (
	// RecordPromise stores that Term was promised. A shard without such a record has never been
	// part of a cluster on this disk.
	RecordPromise RecordKind = iota + 1
	// RecordAppend stores an entry, and drops all stored entries with the same or a higher index.
	RecordAppend
	// RecordSnapshot stores a snapshot, and drops all entries up to its index.
	RecordSnapshot
	// RecordIdentity stores the identity of the data directory. It belongs to no shard.
	RecordIdentity
	// RecordCommit stores that the entries up to Index are committed.
	RecordCommit
)

// Entry is an entry of a shard's log, or a snapshot that replaces all entries up to Index. Its wire
// form is EntryWire.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Record is one record of the file. Kind determines which fields of Entry are used.
type Record struct {
	Kind  RecordKind
	Shard int
	Entry
}

// ResetRecords returns the records that drop the snapshot and the entries of a shard, and keep its
// promise. An earlier build drops the entries only when the second record is read: it leaves the empty
// entry with which the first leader of every log begins, which any other first entry replaces.
func ResetRecords(shard int) []Record {
	return []Record{
		{Kind: RecordSnapshot, Shard: shard},
		{Kind: RecordAppend, Shard: shard, Entry: Entry{Index: 1}},
	}
}

// encode appends the record to a buffer: the kind as one byte; the shard, the term, the index and
// the length of the data as unsigned varints; the data.
func (r Record) encode(buffer []byte) []byte {
	buffer = append(buffer, byte(r.Kind))
	buffer = binary.AppendUvarint(buffer, uint64(r.Shard))
	buffer = binary.AppendUvarint(buffer, r.Term)
	buffer = binary.AppendUvarint(buffer, r.Index)
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Data)))
	return append(buffer, r.Data...)
}

// decodeRecords decodes the records of a frame's payload.
func decodeRecords(payload []byte) ([]Record, error) {
	var records []Record
	for len(payload) > 0 {
		record, rest, err := decodeRecord(payload)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		payload = rest
	}
	return records, nil
}

// decodeRecord decodes the first record of a payload, which must not be empty, and returns the rest
// of the payload.
func decodeRecord(payload []byte) (record Record, rest []byte, err error) {
	record.Kind = RecordKind(payload[0])
	rest = payload[1:]
	var shard, length uint64
	for _, field := range []*uint64{&shard, &record.Term, &record.Index, &length} {
		value, width := binary.Uvarint(rest)
		if width <= 0 {
			return Record{}, nil, errTruncatedRecord()
		}
		*field = value
		rest = rest[width:]
	}
	if length > uint64(len(rest)) {
		return Record{}, nil, errTruncatedRecord()
	}
	record.Shard = int(shard)
	record.Data = append([]byte(nil), rest[:length]...)
	return record, rest[length:], nil
}

func errTruncatedRecord() error {
	return errcode.New(errcode.LogCorrupted, "a record extends beyond the end of its frame")
}
