package compat

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// gobStream is a gob stream split into its type definitions and values.
//
// A stream is a sequence of messages, each one after its length, and each one begins with a type
// id. A message with a negative id defines the type of the id without its sign; one with a
// positive id is a value of that type.
type gobStream struct {
	types map[int64]gobType
	// order holds the ids in the order of their definitions.
	order  []int64
	values []gobValue
	// set holds the fields that any value has, by the id of their struct and their number.
	set map[fieldNumber]bool
}

// fieldNumber is a field of a struct type of a stream.
type fieldNumber struct {
	structID int64
	field    int
}

// gobValue is an encoded value with the id of its type.
type gobValue struct {
	typeID int64
	data   []byte
}

// DescribeGob returns a description of a gob stream that is equal for two streams if any decoder
// reads the same from both. It leaves out what may change between builds:
//
//   - the names of types, which decoders ignore;
//   - the ids of types, which a process assigns in the order in which it first uses the types;
//     the position of a type's definition in the stream stands in their place.
//
// The entries of maps, which gob encodes in random order, are sorted. A field of one of the
// additions is left out if no value has it, as a decoder that knows it reads the same without it.
// All else is described as it was sent: kinds, names and order of fields, and the bytes of each
// value.
func DescribeGob(data []byte) (string, error) {
	stream, err := readGobStream(data)
	if err != nil {
		return "", err
	}
	if err := stream.omitUnsetAdditions(); err != nil {
		return "", err
	}
	var lines []string
	for position, id := range stream.order {
		lines = append(lines, fmt.Sprintf("type %d is %s", position, stream.types[id].describe(stream.nameOf)))
	}
	for _, value := range stream.values {
		canonical, err := stream.canonical(value)
		if err != nil {
			return "", err
		}
		line := fmt.Sprintf("value of %s: %s", stream.nameOf(value.typeID), hex.EncodeToString(canonical))
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n") + "\n", nil
}

func readGobStream(data []byte) (*gobStream, error) {
	stream := &gobStream{types: map[int64]gobType{}, set: map[fieldNumber]bool{}}
	messages := &gobCursor{data: data}
	for !messages.done() {
		message := &gobCursor{data: messages.take(messages.unsigned())}
		if messages.err != nil {
			return nil, messages.err
		}
		stream.readMessage(message)
		if message.err != nil {
			return nil, message.err
		}
	}
	if len(stream.values) == 0 {
		return nil, errors.New("a gob stream without a value")
	}
	return stream, nil
}

func (s *gobStream) readMessage(message *gobCursor) {
	id := message.signed()
	if id >= 0 {
		rest := message.data[message.position:]
		s.values = append(s.values, gobValue{typeID: id, data: rest})
		return
	}
	defined := readGobType(message)
	if !message.done() {
		message.fail(errors.New("bytes follow a type definition"))
		return
	}
	if _, known := s.types[-id]; known {
		message.fail(fmt.Errorf("type %d is defined twice", -id))
		return
	}
	s.types[-id] = defined
	s.order = append(s.order, -id)
}

// omitUnsetAdditions marks the fields of additions that no value has as omitted, and takes the
// types that are of no other use out of the order.
func (s *gobStream) omitUnsetAdditions() error {
	for _, value := range s.values {
		if _, err := s.canonical(value); err != nil {
			return err
		}
	}
	added := addedPositions()
	for id, defined := range s.types {
		for number := 1; number < len(defined.fields); number++ {
			position := addedPosition{defined.fields[number-1].name, defined.fields[number].name}
			defined.fields[number].omitted = added[position] && !s.set[fieldNumber{id, number}]
		}
	}
	used := map[int64]bool{}
	for _, value := range s.values {
		s.markUsed(value.typeID, used)
	}
	s.order = slices.DeleteFunc(s.order, func(id int64) bool { return !used[id] })
	return nil
}

// markUsed marks a type and all that it consists of.
func (s *gobStream) markUsed(id int64, used map[int64]bool) {
	defined, known := s.types[id]
	if !known || used[id] {
		return
	}
	used[id] = true
	s.markUsed(defined.keyID, used)
	s.markUsed(defined.elementID, used)
	for _, field := range defined.fields {
		if !field.omitted {
			s.markUsed(field.typeID, used)
		}
	}
}

// nameOf returns the fixed name of a basic type, or the position of a definition.
func (s *gobStream) nameOf(id int64) string {
	if name, basic := basicTypes[id]; basic {
		return name
	}
	if position := slices.Index(s.order, id); position >= 0 {
		return fmt.Sprintf("type %d", position)
	}
	return "a type that is not defined"
}

// canonical returns the bytes of a value with the entries of maps sorted.
func (s *gobStream) canonical(value gobValue) ([]byte, error) {
	cursor := &gobCursor{data: value.data}
	if s.types[value.typeID].kind != gobStruct && cursor.unsigned() != 0 {
		cursor.fail(errors.New("a value that is no struct does not begin with a zero"))
	}
	result := s.readValue(cursor, value.typeID)
	if cursor.err == nil && !cursor.done() {
		cursor.fail(errors.New("bytes follow a value"))
	}
	return result, cursor.err
}

// readValue reads one value of a type and returns its canonical bytes.
func (s *gobStream) readValue(cursor *gobCursor, id int64) []byte {
	start := cursor.position
	raw := func() []byte { return cursor.data[start:cursor.position] }
	switch id {
	case gobBool, gobInt, gobUint, gobFloat:
		cursor.unsigned()
		return raw()
	case gobComplex:
		cursor.unsigned()
		cursor.unsigned()
		return raw()
	case gobBytes, gobString:
		cursor.text()
		return raw()
	}
	defined, known := s.types[id]
	if !known {
		cursor.fail(fmt.Errorf("a value is of type %d, which the stream does not define", id))
		return nil
	}
	switch defined.kind {
	case gobStruct:
		return s.readStruct(cursor, id)
	case gobArray, gobSlice:
		return s.readList(cursor, defined)
	case gobMap:
		return s.readMap(cursor, defined)
	default:
		// The types that encode themselves are written as bytes.
		cursor.text()
		return raw()
	}
}

func (s *gobStream) readStruct(cursor *gobCursor, id int64) []byte {
	var result []byte
	defined := s.types[id]
	last := -1
	cursor.fields(func(field int) {
		if field >= len(defined.fields) {
			cursor.fail(fmt.Errorf("a value has field %d of a struct of %d", field, len(defined.fields)))
			return
		}
		s.set[fieldNumber{id, field}] = true
		delta := 1
		for _, skipped := range defined.fields[last+1 : field] {
			if !skipped.omitted {
				delta++
			}
		}
		result = binary.AppendUvarint(result, uint64(delta))
		result = append(result, s.readValue(cursor, defined.fields[field].typeID)...)
		last = field
	})
	return append(result, 0)
}

func (s *gobStream) readList(cursor *gobCursor, defined gobType) []byte {
	start := cursor.position
	count := cursor.unsigned()
	result := slices.Clone(cursor.data[start:cursor.position])
	for range count {
		if cursor.err != nil {
			return nil
		}
		result = append(result, s.readValue(cursor, defined.elementID)...)
	}
	return result
}

func (s *gobStream) readMap(cursor *gobCursor, defined gobType) []byte {
	start := cursor.position
	count := cursor.unsigned()
	result := slices.Clone(cursor.data[start:cursor.position])
	var entries [][]byte
	for range count {
		if cursor.err != nil {
			return nil
		}
		entry := slices.Clone(s.readValue(cursor, defined.keyID))
		entries = append(entries, append(entry, s.readValue(cursor, defined.elementID)...))
	}
	slices.SortFunc(entries, bytes.Compare)
	return append(result, bytes.Join(entries, nil)...)
}
