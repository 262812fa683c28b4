package modelcheck

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"reflect"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
)

// fingerprintSize is the length of a fingerprint in bytes.
const fingerprintSize = 16

// Fingerprint identifies a state. Times count relative to the present, so that two states that
// differ only by the time that has passed have the same fingerprint.
type Fingerprint [fingerprintSize]byte

// The encoding of times: two special values, and then relative times from encodedTimeBase.
const (
	encodedTimeZero  = 0
	encodedTimeNever = 1
	encodedTimeBase  = 2
)

// floatScale is the precision with which floating-point numbers are told apart.
const floatScale = 1e6

// maxAgeFactor times lease and margin is more than any time span that the code measures.
const maxAgeFactor = 4

// stateEncoder appends the canonical encoding of values to its buffer.
type stateEncoder struct {
	now clock.Microseconds
	// maxAge is the age from which on times count as equal.
	maxAge clock.Microseconds
	buffer []byte
	// visiting are the pointers that are being followed, so that cycles end.
	visiting map[uintptr]bool
}

var (
	timeType    = reflect.TypeFor[clock.Microseconds]()
	versionType = reflect.TypeFor[*version]()
	optionsType = reflect.TypeFor[*Options]()
	pathType    = reflect.TypeFor[*pathStep]()
)

// constantTypes are types whose values are the same in all states of a search.
var constantTypes = map[reflect.Type]bool{
	reflect.TypeFor[election.Config](): true,
	reflect.TypeFor[lease.Timing]():    true,
}

func (s *stateEncoder) encodeNumber(value uint64) {
	s.buffer = binary.AppendUvarint(s.buffer, value)
}

func (s *stateEncoder) encodeTime(value clock.Microseconds) {
	switch {
	case value == 0:
		s.encodeNumber(encodedTimeZero)
	case value >= clock.Never:
		s.encodeNumber(encodedTimeNever)
	default:
		// Times that lie further back than any span that is measured count as equal.
		age := max(value-s.now, -s.maxAge)
		s.encodeNumber(uint64(age+s.maxAge) + encodedTimeBase)
	}
}

func (s *stateEncoder) encode(value reflect.Value) {
	kind := value.Type()
	switch {
	case kind == timeType:
		s.encodeTime(clock.Microseconds(value.Int()))
		return
	case constantTypes[kind] || kind == optionsType || kind == pathType:
		return
	case kind == versionType:
		s.encodeNumber(uint64(value.Pointer()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			s.encodeNumber(1)
			return
		}
		s.encodeNumber(0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		s.encodeNumber(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		s.encodeNumber(value.Uint())
	case reflect.Float64:
		s.encodeNumber(uint64(value.Float() * floatScale))
	case reflect.String:
		s.encodeNumber(uint64(value.Len()))
		s.buffer = append(s.buffer, value.String()...)
	case reflect.Pointer:
		s.encodePointer(value)
	case reflect.Interface:
		if value.IsNil() {
			s.encodeNumber(0)
			return
		}
		s.encode(value.Elem())
	case reflect.Slice, reflect.Array:
		s.encodeElements(value)
	case reflect.Map:
		s.encodeMap(value)
	case reflect.Struct:
		for index := range value.NumField() {
			s.encode(value.Field(index))
		}
	default:
		// Channels and functions are no part of a state.
	}
}

func (s *stateEncoder) encodePointer(value reflect.Value) {
	if value.IsNil() || s.visiting[value.Pointer()] {
		s.encodeNumber(0)
		return
	}
	s.visiting[value.Pointer()] = true
	s.encodeNumber(1)
	s.encode(value.Elem())
	delete(s.visiting, value.Pointer())
}

func (s *stateEncoder) encodeElements(value reflect.Value) {
	s.encodeNumber(uint64(value.Len()))
	if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Uint8 {
		s.buffer = append(s.buffer, value.Bytes()...)
		return
	}
	for index := range value.Len() {
		s.encode(value.Index(index))
	}
}

// encodeMap encodes the pairs of a map in the order of their encodings.
func (s *stateEncoder) encodeMap(value reflect.Value) {
	start := len(s.buffer)
	pairs := make([][]byte, 0, value.Len())
	for iterator := value.MapRange(); iterator.Next(); {
		s.encode(iterator.Key())
		s.encode(iterator.Value())
		pairs = append(pairs, bytes.Clone(s.buffer[start:]))
		s.buffer = s.buffer[:start]
	}
	slices.SortFunc(pairs, bytes.Compare)
	s.encodeNumber(uint64(len(pairs)))
	for _, pair := range pairs {
		s.buffer = append(s.buffer, pair...)
	}
}

// Fingerprint returns the hash of all replicas, disks, messages in flight and invariant checkers.
func (s *State) Fingerprint() Fingerprint {
	encoder := stateEncoder{
		now:      s.Now,
		maxAge:   maxAgeFactor * (s.options.LeaseDuration + s.options.SafetyMargin),
		visiting: map[uintptr]bool{},
	}
	encoder.encode(reflect.ValueOf(s).Elem())
	digest := sha256.Sum256(encoder.buffer)
	return Fingerprint(digest[:fingerprintSize])
}
