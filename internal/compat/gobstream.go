package compat

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// gobStream is a gob stream split into its type definitions and values.
//
// A stream is a sequence of messages, each with its length before it and a type id in
// front. A negative id says that the message defines the type of the id without its sign,
// a positive one that it is a value of that type.
type gobStream struct {
	types map[int64]gobType
	// order are the ids in the order in which they are defined.
	order  []int64
	values []gobValue
}

type gobValue struct {
	kind int64
	data []byte
}

// DescribeGob writes a gob stream as text that is equal for two streams if any decoder
// reads the same from both. Two things are left out, since they change without harm:
//
//   - the names of types, which decoders ignore;
//   - the type ids, which a process numbers by the order in which it first uses its types.
//     Each type goes by the place of its definition in the stream instead.
//
// The entries of maps, which are written in random order, are sorted. All else stands as
// it was sent: kinds, names and order of fields, and the bytes of each value.
func DescribeGob(data []byte) (string, error) {
	stream, err := readGobStream(data)
	if err != nil {
		return "", err
	}
	var lines []string
	for place, id := range stream.order {
		lines = append(lines, fmt.Sprintf("type %d is %s", place, stream.types[id].describe(stream.nameOf)))
	}
	for _, each := range stream.values {
		canonical, err := stream.canonical(each)
		if err != nil {
			return "", err
		}
		lines = append(lines, fmt.Sprintf("value of %s: %s", stream.nameOf(each.kind), hex.EncodeToString(canonical)))
	}
	return strings.Join(lines, "\n") + "\n", nil
}

func readGobStream(data []byte) (*gobStream, error) {
	stream := &gobStream{types: map[int64]gobType{}}
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
		return nil, fmt.Errorf("a gob stream without a value")
	}
	return stream, nil
}

func (gs *gobStream) readMessage(message *gobCursor) {
	id := message.signed()
	if id >= 0 {
		rest := message.data[message.position:]
		gs.values = append(gs.values, gobValue{kind: id, data: rest})
		return
	}
	defined := readGobType(message)
	if !message.done() {
		message.fail(fmt.Errorf("bytes follow a type definition"))
		return
	}
	if _, known := gs.types[-id]; known {
		message.fail(fmt.Errorf("type %d is defined twice", -id))
		return
	}
	gs.types[-id] = defined
	gs.order = append(gs.order, -id)
}

// nameOf is the fixed name of a basic type, or the place of a definition.
func (gs *gobStream) nameOf(id int64) string {
	if name, basic := basicTypes[id]; basic {
		return name
	}
	if place := slices.Index(gs.order, id); place >= 0 {
		return fmt.Sprintf("type %d", place)
	}
	return "a type that is not defined"
}

// canonical is a value as it was sent, with the entries of maps sorted.
func (gs *gobStream) canonical(value gobValue) ([]byte, error) {
	gc := &gobCursor{data: value.data}
	if gs.types[value.kind].kind != gobStruct && gc.unsigned() != 0 {
		gc.fail(fmt.Errorf("a value that is no struct does not begin with a zero"))
	}
	made := gs.value(gc, value.kind)
	if gc.err == nil && !gc.done() {
		gc.fail(fmt.Errorf("bytes follow a value"))
	}
	return made, gc.err
}

// value reads past one value of a type and returns its canonical bytes.
func (gs *gobStream) value(gc *gobCursor, id int64) []byte {
	start := gc.position
	raw := func() []byte { return gc.data[start:gc.position] }
	switch id {
	case gobBool, gobInt, gobUint, gobFloat:
		gc.unsigned()
		return raw()
	case gobComplex:
		gc.unsigned()
		gc.unsigned()
		return raw()
	case gobBytes, gobString:
		gc.text()
		return raw()
	}
	defined, known := gs.types[id]
	if !known {
		gc.fail(fmt.Errorf("a value is of type %d, which the stream does not define", id))
		return nil
	}
	switch defined.kind {
	case gobStruct:
		return gs.structValue(gc, defined)
	case gobArray, gobSlice:
		return gs.listValue(gc, defined)
	case gobMap:
		return gs.mapValue(gc, defined)
	}
	gc.text()
	return raw()
}

func (gs *gobStream) structValue(gc *gobCursor, defined gobType) []byte {
	var made []byte
	last := -1
	gc.fields(func(field int) {
		if field >= len(defined.fields) {
			gc.fail(fmt.Errorf("a value has field %d of a struct of %d", field, len(defined.fields)))
			return
		}
		made = binary.AppendUvarint(made, uint64(field-last))
		made = append(made, gs.value(gc, defined.fields[field].kind)...)
		last = field
	})
	return append(made, 0)
}

func (gs *gobStream) listValue(gc *gobCursor, defined gobType) []byte {
	start := gc.position
	count := gc.unsigned()
	made := slices.Clone(gc.data[start:gc.position])
	for range count {
		if gc.err != nil {
			return nil
		}
		made = append(made, gs.value(gc, defined.elem)...)
	}
	return made
}

func (gs *gobStream) mapValue(gc *gobCursor, defined gobType) []byte {
	start := gc.position
	count := gc.unsigned()
	made := slices.Clone(gc.data[start:gc.position])
	var entries [][]byte
	for range count {
		if gc.err != nil {
			return nil
		}
		entry := slices.Clone(gs.value(gc, defined.key))
		entries = append(entries, append(entry, gs.value(gc, defined.elem)...))
	}
	slices.SortFunc(entries, bytes.Compare)
	return append(made, bytes.Join(entries, nil)...)
}
