package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

const (
	// lengthSize is the size of a frame's length field, in bytes. The checksum follows the length.
	lengthSize = 4
	// headerSize is the size of a frame's header, in bytes: the length and the checksum.
	headerSize = 8
	// maxPayloadLength is the maximum length of a payload that is read, in bytes.
	maxPayloadLength = 256 << 20
	// readBufferSize is the size of the buffer through which frames are read, in bytes.
	readBufferSize = 64 << 10
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var (
	errFrameLength   = errors.New("the length of a frame is 0 or above the maximum")
	errFrameChecksum = errors.New("the checksum of a frame does not match")
)

// AppendFrame appends records to a buffer as one frame: the length of the payload and its checksum,
// both as little-endian uint32, and then the payload. A frame is written by a single write, so that
// a crash leaves a torn frame at the end of the file and never a gap before intact records.
func AppendFrame(buffer []byte, records []Record) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerSize)...)
	for _, record := range records {
		buffer = record.encode(buffer)
	}
	payload := buffer[start+headerSize:]
	binary.LittleEndian.PutUint32(buffer[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[start+lengthSize:], checksum(payload))
	return buffer
}

// ReadFrames calls handle with each record of each intact frame, up to the first frame that is torn
// or damaged. It returns the total length of the intact frames, in bytes.
func ReadFrames(source io.Reader, handle func(Record)) int64 {
	length, _ := readFrames(source, handle)
	return length
}

// readFrames does the same as ReadFrames, and also returns why it ended: io.EOF if the last frame
// is intact.
func readFrames(source io.Reader, handle func(Record)) (int64, error) {
	reader := bufio.NewReaderSize(source, readBufferSize)
	length := int64(0)
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
		length += headerSize + int64(len(payload))
	}
}

// readFrame reads one frame and returns its payload.
func readFrame(reader io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(header[:lengthSize])
	if size == 0 || size > maxPayloadLength {
		return nil, errFrameLength
	}
	payload, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(payload) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if checksum(payload) != binary.LittleEndian.Uint32(header[lengthSize:]) {
		return nil, errFrameChecksum
	}
	return payload, nil
}

// containsFrame reports whether an intact frame begins at any position of content other than its
// start.
func containsFrame(content []byte) bool {
	for start := 1; start+headerSize < len(content); start++ {
		if beginsWithFrame(content[start:]) {
			return true
		}
	}
	return false
}

func beginsWithFrame(content []byte) bool {
	length := int(binary.LittleEndian.Uint32(content))
	if length == 0 || headerSize+length > len(content) {
		return false
	}
	payload := content[headerSize : headerSize+length]
	return checksum(payload) == binary.LittleEndian.Uint32(content[lengthSize:])
}

func checksum(payload []byte) uint32 {
	return crc32.Checksum(payload, castagnoliTable)
}
