package compat

import "errors"

var errShortGob = errors.New("the gob stream ends within a value")

// gobCursor reads the primitive forms of a gob stream. After the first error it reads
// only zero values.
type gobCursor struct {
	data     []byte
	position int
	err      error
}

func (gc *gobCursor) fail(err error) {
	if gc.err == nil {
		gc.err = err
	}
	gc.position = len(gc.data)
}

func (gc *gobCursor) done() bool { return gc.position >= len(gc.data) }

// take is the next bytes, as many as asked for.
func (gc *gobCursor) take(count uint64) []byte {
	if count > uint64(len(gc.data)-gc.position) {
		gc.fail(errShortGob)
		return nil
	}
	start := gc.position
	gc.position += int(count)
	return gc.data[start:gc.position]
}

// unsigned reads an unsigned integer: one byte below 128, else the negated count of the
// big-endian bytes that follow.
func (gc *gobCursor) unsigned() uint64 {
	first := gc.take(1)
	if len(first) == 0 {
		return 0
	}
	if first[0] < 0x80 {
		return uint64(first[0])
	}
	width := -int(int8(first[0]))
	if width > 8 {
		gc.fail(errors.New("an integer of the gob stream is wider than 64 bits"))
		return 0
	}
	number := uint64(0)
	for _, each := range gc.take(uint64(width)) {
		number = number<<8 | uint64(each)
	}
	return number
}

// signed reads a signed integer, whose lowest bit says that the others are complemented.
func (gc *gobCursor) signed() int64 {
	number := gc.unsigned()
	if number&1 != 0 {
		return ^int64(number >> 1)
	}
	return int64(number >> 1)
}

// text reads a string.
func (gc *gobCursor) text() string { return string(gc.take(gc.unsigned())) }

// fields reads a struct: the handler reads the value of each field that was sent, which
// it is given by its number from zero.
func (gc *gobCursor) fields(handle func(field int)) {
	field := -1
	for gc.err == nil {
		delta := gc.unsigned()
		if delta == 0 {
			return
		}
		if delta > uint64(len(gc.data)) {
			gc.fail(errors.New("a field number of the gob stream is out of bounds"))
			return
		}
		field += int(delta)
		handle(field)
	}
}
