package explore

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

// Fingerprint tells states apart. Moments count relative to the present one, so that
// two states that differ only by the time that has passed are one.
type Fingerprint [16]byte

type printer struct {
	now    schedule.Microseconds
	oldest schedule.Microseconds
	buffer []byte
	inside map[uintptr]bool
}

var (
	momentType  = reflect.TypeFor[schedule.Microseconds]()
	versionType = reflect.TypeFor[*version]()
	optionsType = reflect.TypeFor[*Options]()
	pathType    = reflect.TypeFor[*path]()
)

// constant are types whose values are the same in all states of a search.
var constant = map[reflect.Type]bool{
	reflect.TypeFor[election.Place](): true,
	reflect.TypeFor[grant.Terms]():    true,
}

func (s *printer) number(value uint64) {
	s.buffer = binary.AppendUvarint(s.buffer, value)
}

func (s *printer) moment(value schedule.Microseconds) {
	switch {
	case value == 0:
		s.number(0)
	case value >= schedule.Never:
		s.number(1)
	default:
		// Moments that lie further back than any span that is measured count alike.
		s.number(uint64(max(value-s.now, -s.oldest)+s.oldest) + 2)
	}
}

func (s *printer) print(value reflect.Value) {
	kind := value.Type()
	switch {
	case kind == momentType:
		s.moment(schedule.Microseconds(value.Int()))
		return
	case constant[kind] || kind == optionsType || kind == pathType:
		return
	case kind == versionType:
		s.number(uint64(value.Pointer()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			s.number(1)
			return
		}
		s.number(0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		s.number(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		s.number(value.Uint())
	case reflect.Float64:
		s.number(uint64(value.Float() * 1e6))
	case reflect.String:
		s.number(uint64(value.Len()))
		s.buffer = append(s.buffer, value.String()...)
	case reflect.Pointer:
		s.pointer(value)
	case reflect.Interface:
		if value.IsNil() {
			s.number(0)
			return
		}
		s.print(value.Elem())
	case reflect.Slice, reflect.Array:
		s.list(value)
	case reflect.Map:
		s.mapped(value)
	case reflect.Struct:
		for place := range value.NumField() {
			s.print(value.Field(place))
		}
	}
}

func (s *printer) pointer(value reflect.Value) {
	if value.IsNil() || s.inside[value.Pointer()] {
		s.number(0)
		return
	}
	s.inside[value.Pointer()] = true
	s.number(1)
	s.print(value.Elem())
	delete(s.inside, value.Pointer())
}

func (s *printer) list(value reflect.Value) {
	s.number(uint64(value.Len()))
	if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Uint8 {
		s.buffer = append(s.buffer, value.Bytes()...)
		return
	}
	for place := range value.Len() {
		s.print(value.Index(place))
	}
}

// mapped prints a map's pairs in the order of their prints.
func (s *printer) mapped(value reflect.Value) {
	start := len(s.buffer)
	pairs := make([][]byte, 0, value.Len())
	for each := value.MapRange(); each.Next(); {
		s.print(each.Key())
		s.print(each.Value())
		pairs = append(pairs, bytes.Clone(s.buffer[start:]))
		s.buffer = s.buffer[:start]
	}
	slices.SortFunc(pairs, bytes.Compare)
	s.number(uint64(len(pairs)))
	for _, pair := range pairs {
		s.buffer = append(s.buffer, pair...)
	}
}

// Fingerprint is the hash of all machines, disks, messages under way and observers.
func (s *World) Fingerprint() Fingerprint {
	printer := printer{now: s.Now, oldest: 4 * (s.options.Lease + s.options.Margin), inside: map[uintptr]bool{}}
	printer.print(reflect.ValueOf(s).Elem())
	whole := sha256.Sum256(printer.buffer)
	return Fingerprint(whole[:16])
}
