package compat

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
)

// describeEntry describes the data of a log's entry: the tag as it is, the rest as gob.
func describeEntry(data []byte) (string, error) {
	if len(data) == 0 {
		return "empty\n", nil
	}
	content, err := DescribeGob(data[1:])
	return fmt.Sprintf("tag %d\n%s", data[0], content), err
}

// describeCapture describes a snapshot of a log: its bindings, and the snapshot of the
// state machine within it, which is a gob stream of its own.
func describeCapture(data []byte) (string, error) {
	bindings, state, read := consensus.DecodeSnapshot(data)
	if !read {
		return "", fmt.Errorf("the capture can't be read")
	}
	around, err := DescribeGob(consensus.EncodeSnapshot(bindings, nil))
	if err != nil {
		return "", err
	}
	inside, err := DescribeGob(state)
	return around + inside, err
}

// describeFrames describes the records of a journal whose data is of real logs. The
// frames are checked by other samples, byte by byte: here lengths and checksums differ
// with the names of types in the data.
func describeFrames(data []byte) (string, error) {
	var lines []string
	var failure error
	read := wal.ReadFrames(bytes.NewReader(data), func(record wal.Record) {
		content, err := describeData(record)
		if err != nil && failure == nil {
			failure = err
		}
		lines = append(lines, fmt.Sprintf("record %d part %d round %d index %d\n%s", record.Kind, record.Shard, record.Round, record.Index, content))
	})
	if failure == nil && read != int64(len(data)) {
		failure = fmt.Errorf("%d of %d bytes are whole frames", read, len(data))
	}
	return strings.Join(lines, ""), failure
}

func describeData(record wal.Record) (string, error) {
	switch record.Kind {
	case wal.RecordAppend:
		return describeEntry(record.Data)
	case wal.RecordSnapshot:
		return describeCapture(record.Data)
	}
	return hex.EncodeToString(record.Data) + "\n", nil
}
