package journal

import (
	"encoding/binary"

	"coursepass/internal/errcode"
)

// Kind says what a record tells.
type Kind uint8

// The kinds of records.
const (
	Promise Kind = iota + 1
	Append
	Rebase
	Identity
	// Commit says up to which index the entries are known to be committed.
	Commit
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
	Kind Kind
	Part int
	Entry
}

func (r Record) encode(buffer []byte) []byte {
	buffer = append(buffer, byte(r.Kind))
	buffer = binary.AppendUvarint(buffer, uint64(r.Part))
	buffer = binary.AppendUvarint(buffer, r.Round)
	buffer = binary.AppendUvarint(buffer, r.Index)
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Data)))
	return append(buffer, r.Data...)
}

func decodeAll(payload []byte) ([]Record, error) {
	var records []Record
	for len(payload) > 0 {
		record := Record{Kind: Kind(payload[0])}
		payload = payload[1:]
		numbers := [4]uint64{}
		for place := range numbers {
			value, width := binary.Uvarint(payload)
			if width <= 0 {
				return nil, mishap.New(mishap.JournalBroken, "short record")
			}
			numbers[place], payload = value, payload[width:]
		}
		if numbers[3] > uint64(len(payload)) {
			return nil, mishap.New(mishap.JournalBroken, "short record")
		}
		record.Part, record.Round, record.Index = int(numbers[0]), numbers[1], numbers[2]
		record.Data = append([]byte(nil), payload[:numbers[3]]...)
		payload = payload[numbers[3]:]
		records = append(records, record)
	}
	return records, nil
}
