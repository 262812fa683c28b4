package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

const (
	headerLength   = 8
	maxFrameLength = 256 << 20
	readBufferSize = 64 << 10
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var (
	errLength   = errors.New("the length is out of bounds")
	errChecksum = errors.New("the checksum does not fit")
)

// AppendFrame appends records to a buffer as one checksummed frame: length, checksum, payload.
// One write is one frame, so what a lost sync leaves of it is a torn end, never a hole
// before whole records.
func AppendFrame(buffer []byte, records []Record) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerLength)...)
	for _, record := range records {
		buffer = record.encode(buffer)
	}
	payload := buffer[start+headerLength:]
	binary.LittleEndian.PutUint32(buffer[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[start+4:], crc32.Checksum(payload, castagnoliTable))
	return buffer
}

// ReadFrames hands over the records of each whole frame, and says how many bytes those
// frames have; it ends at the first that is torn.
func ReadFrames(source io.Reader, handle func(Record)) int64 {
	length, _ := readFrames(source, handle)
	return length
}

// readFrames also returns why it ended: io.EOF where the last frame was whole.
func readFrames(source io.Reader, handle func(Record)) (int64, error) {
	reader, length := bufio.NewReaderSize(source, readBufferSize), int64(0)
	for {
		payload, err := readFrame(reader)
		if err != nil {
			return length, err
		}
		records, err := decodeRecords(payload)
		if err != nil {
			return length, err
		}
		for _, record := range records {
			handle(record)
		}
		length += headerLength + int64(len(payload))
	}
}

func readFrame(reader io.Reader) ([]byte, error) {
	var header [headerLength]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(header[:4])
	if size == 0 || size > maxFrameLength {
		return nil, errLength
	}
	var payload []byte
	payload, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(payload) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(payload, castagnoliTable) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errChecksum
	}
	return payload, nil
}

// containsFrame tells whether a whole frame begins anywhere but at the start.
func containsFrame(content []byte) bool {
	for start := 1; start+headerLength < len(content); start++ {
		length := int(binary.LittleEndian.Uint32(content[start:]))
		end := start + headerLength + length
		if length > 0 && end <= len(content) &&
			crc32.Checksum(content[start+headerLength:end], castagnoliTable) == binary.LittleEndian.Uint32(content[start+4:]) {
			return true
		}
	}
	return false
}
