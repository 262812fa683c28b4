package compat

import "errors"

var errShortGob = errors.New("the gob stream ends within a value")

// The encoding of unsigned integers.
const (
	// singleByteLimit is the first value that takes more than one byte.
	singleByteLimit = 0x80
	// maxIntegerBytes is the size of the widest integer.
	maxIntegerBytes = 8
	bitsPerByte     = 8
)

// gobCursor reads the primitive values of a gob stream. After the first error, err, it reads
// only zero values.
type gobCursor struct {
	data     []byte
	position int
	err      error
}

func (c *gobCursor) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	c.position = len(c.data)
}

func (c *gobCursor) done() bool { return c.position >= len(c.data) }

// take returns the next count bytes.
func (c *gobCursor) take(count uint64) []byte {
	if count > uint64(len(c.data)-c.position) {
		c.fail(errShortGob)
		return nil
	}
	start := c.position
	c.position += int(count)
	return c.data[start:c.position]
}

// unsigned reads an unsigned integer: one byte if it is below singleByteLimit, else the negated
// number of the big-endian bytes that follow.
func (c *gobCursor) unsigned() uint64 {
	prefix := c.take(1)
	if len(prefix) == 0 {
		return 0
	}
	if prefix[0] < singleByteLimit {
		return uint64(prefix[0])
	}
	width := -int(int8(prefix[0]))
	if width > maxIntegerBytes {
		c.fail(errors.New("an integer of the gob stream is wider than 64 bits"))
		return 0
	}
	number := uint64(0)
	for _, octet := range c.take(uint64(width)) {
		number = number<<bitsPerByte | uint64(octet)
	}
	return number
}

// signed reads a signed integer, whose lowest bit tells whether the others are complemented.
func (c *gobCursor) signed() int64 {
	number := c.unsigned()
	if number&1 != 0 {
		return ^int64(number >> 1)
	}
	return int64(number >> 1)
}

// text reads a string.
func (c *gobCursor) text() string { return string(c.take(c.unsigned())) }

// fields reads a struct: the handler must read the value of each field that was sent, and is
// given the number of the field, from zero.
func (c *gobCursor) fields(handle func(field int)) {
	field := -1
	for c.err == nil {
		delta := c.unsigned()
		if delta == 0 {
			return
		}
		if delta > uint64(len(c.data)) {
			c.fail(errors.New("a field number of the gob stream is out of bounds"))
			return
		}
		field += int(delta)
		handle(field)
	}
}
