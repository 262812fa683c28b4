package compat

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// describeEntry describes the data of a log entry: the tag as it is, the rest as gob.
func describeEntry(data []byte) (string, error) {
	if len(data) == 0 {
		return "empty\n", nil
	}
	content, err := DescribeGob(data[1:])
	return fmt.Sprintf("tag %d\n%s", data[0], content), err
}

// describeOutboxEntry describes the data of a log entry with an operation on the outbox: two tags as they are,
// the rest as gob.
func describeOutboxEntry(data []byte) (string, error) {
	if len(data) == 0 {
		return "empty\n", nil
	}
	content, err := describeEntry(data[1:])
	return fmt.Sprintf("tag %d\n%s", data[0], content), err
}

// describeSnapshot describes a snapshot of a log: its membership, and the snapshot of the
// state machine in it, which is a gob stream of its own.
func describeSnapshot(data []byte) (string, error) {
	membership, state, ok := consensus.DecodeSnapshot(data)
	if !ok {
		return "", errors.New("the snapshot can't be decoded")
	}
	describedMembership, err := DescribeGob(consensus.EncodeSnapshot(membership, nil))
	if err != nil {
		return "", err
	}
	describedState, err := DescribeGob(state)
	return describedMembership + describedState, err
}

// describeFrames describes the records of a write-ahead log with the data of real logs. Other
// samples check the frames byte by byte; here lengths and checksums depend on the names of
// types in the data.
func describeFrames(data []byte) (string, error) {
	var description strings.Builder
	var firstErr error
	readLength := wal.ReadFrames(bytes.NewReader(data), func(record wal.Record) {
		content, err := describeRecordData(record)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		fmt.Fprintf(
			&description, "record %d shard %d term %d index %d\n%s",
			record.Kind, record.Shard, record.Term, record.Index, content,
		)
	})
	if firstErr == nil && readLength != int64(len(data)) {
		firstErr = fmt.Errorf("%d of %d bytes are complete frames", readLength, len(data))
	}
	return description.String(), firstErr
}

func describeRecordData(record wal.Record) (string, error) {
	switch record.Kind {
	case wal.RecordAppend:
		return describeEntry(record.Data)
	case wal.RecordSnapshot:
		return describeSnapshot(record.Data)
	default:
		return hex.EncodeToString(record.Data) + "\n", nil
	}
}
