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

func (printer *printer) number(value uint64) {
	printer.buffer = binary.AppendUvarint(printer.buffer, value)
}

func (printer *printer) moment(value schedule.Microseconds) {
	switch {
	case value == 0:
		printer.number(0)
	case value >= schedule.Never:
		printer.number(1)
	default:
		// Moments that lie further back than any span that is measured count alike.
		printer.number(uint64(max(value-printer.now, -printer.oldest)+printer.oldest) + 2)
	}
}

func (printer *printer) print(value reflect.Value) {
	kind := value.Type()
	switch {
	case kind == momentType:
		printer.moment(schedule.Microseconds(value.Int()))
		return
	case constant[kind] || kind == optionsType || kind == pathType:
		return
	case kind == versionType:
		printer.number(uint64(value.Pointer()))
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			printer.number(1)
			return
		}
		printer.number(0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		printer.number(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		printer.number(value.Uint())
	case reflect.Float64:
		printer.number(uint64(value.Float() * 1e6))
	case reflect.String:
		printer.number(uint64(value.Len()))
		printer.buffer = append(printer.buffer, value.String()...)
	case reflect.Pointer:
		printer.pointer(value)
	case reflect.Interface:
		if value.IsNil() {
			printer.number(0)
			return
		}
		printer.print(value.Elem())
	case reflect.Slice, reflect.Array:
		printer.list(value)
	case reflect.Map:
		printer.mapped(value)
	case reflect.Struct:
		for place := range value.NumField() {
			printer.print(value.Field(place))
		}
	}
}

func (printer *printer) pointer(value reflect.Value) {
	if value.IsNil() || printer.inside[value.Pointer()] {
		printer.number(0)
		return
	}
	printer.inside[value.Pointer()] = true
	printer.number(1)
	printer.print(value.Elem())
	delete(printer.inside, value.Pointer())
}

func (printer *printer) list(value reflect.Value) {
	printer.number(uint64(value.Len()))
	if value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Uint8 {
		printer.buffer = append(printer.buffer, value.Bytes()...)
		return
	}
	for place := range value.Len() {
		printer.print(value.Index(place))
	}
}

// mapped prints a map's pairs in the order of their prints.
func (printer *printer) mapped(value reflect.Value) {
	start := len(printer.buffer)
	pairs := make([][]byte, 0, value.Len())
	for each := value.MapRange(); each.Next(); {
		printer.print(each.Key())
		printer.print(each.Value())
		pairs = append(pairs, bytes.Clone(printer.buffer[start:]))
		printer.buffer = printer.buffer[:start]
	}
	slices.SortFunc(pairs, bytes.Compare)
	printer.number(uint64(len(pairs)))
	for _, pair := range pairs {
		printer.buffer = append(printer.buffer, pair...)
	}
}

// Fingerprint is the hash of all machines, disks, messages under way and observers.
func (world *World) Fingerprint() Fingerprint {
	printer := printer{now: world.Now, oldest: 4 * (world.options.Lease + world.options.Margin), inside: map[uintptr]bool{}}
	printer.print(reflect.ValueOf(world).Elem())
	whole := sha256.Sum256(printer.buffer)
	return Fingerprint(whole[:16])
}
