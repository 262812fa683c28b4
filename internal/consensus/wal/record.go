package wal

import (
	"encoding/binary"

	"coursepass/internal/errcode"
)

// RecordKind says what a record tells.
type RecordKind uint8

// The kinds of records.
const (
	RecordPromise RecordKind = iota + 1
	RecordAppend
	RecordSnapshot
	RecordIdentity
	// RecordCommit says up to which index the entries are known to be committed.
	RecordCommit
)

// Entry is one entry of a part's log.
type Entry struct {
	Index uint64
	Round uint64
	Data  []byte
}

// Record is one thing to remember for a part. An Append at an index forgets all
// entries from that index on; a Rebase forgets all entries up to its index.
type Record struct {
	Kind  RecordKind
	Shard int
	Entry
}

func (r Record) encode(buffer []byte) []byte {
	buffer = append(buffer, byte(r.Kind))
	buffer = binary.AppendUvarint(buffer, uint64(r.Shard))
	buffer = binary.AppendUvarint(buffer, r.Round)
	buffer = binary.AppendUvarint(buffer, r.Index)
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Data)))
	return append(buffer, r.Data...)
}

func decodeRecords(payload []byte) ([]Record, error) {
	var records []Record
	for len(payload) > 0 {
		record := Record{Kind: RecordKind(payload[0])}
		payload = payload[1:]
		fields := [4]uint64{}
		for index := range fields {
			value, width := binary.Uvarint(payload)
			if width <= 0 {
				return nil, errcode.New(errcode.LogCorrupted, "short record")
			}
			fields[index], payload = value, payload[width:]
		}
		if fields[3] > uint64(len(payload)) {
			return nil, errcode.New(errcode.LogCorrupted, "short record")
		}
		record.Shard, record.Round, record.Index = int(fields[0]), fields[1], fields[2]
		record.Data = append([]byte(nil), payload[:fields[3]]...)
		payload = payload[fields[3]:]
		records = append(records, record)
	}
	return records, nil
}
