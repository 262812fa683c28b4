package compat

import (
	"fmt"
	"math"
	"reflect"
)

// sliceLength is the number of elements of a filled slice. A filled map has one entry, since
// the order of more is random.
const sliceLength = 2

// filler generates distinct values.
type filler struct {
	last int64
	// skips reports whether a field of a struct stays zero.
	skips func(structure reflect.Type, field string) bool
}

// Fill sets every exported field of the struct that target points to, in the order of the
// fields and recursively, to values that aren't zero and differ as far as their kinds allow.
// Types that differ only in their names are filled alike. Fill panics on a kind that it
// doesn't know.
func Fill(target any) {
	fillUnless(target, func(reflect.Type, string) bool { return false })
}

// fillUnless is Fill without the fields that are to be skipped.
func fillUnless(target any, skips func(structure reflect.Type, field string) bool) {
	value := reflect.ValueOf(target)
	if value.Kind() != reflect.Pointer {
		panic(fmt.Sprintf("%T is no pointer", target))
	}
	(&filler{skips: skips}).fill(value.Elem())
}

// filled returns a pointer to a filled value of the prototype's type, without the fields that
// were added later.
func filled(prototype any) any { return filledUnless(prototype, isAdded) }

// filledUnless is filled with a choice of the fields that are skipped.
func filledUnless(prototype any, skips func(structure reflect.Type, field string) bool) any {
	result := reflect.New(reflect.TypeOf(prototype))
	fillUnless(result.Interface(), skips)
	return result.Interface()
}

// fraction makes a filled float differ from an integer.
const fraction = 0.5

func (f *filler) next() int64 {
	f.last++
	return f.last
}

// small returns the next value in the range that every integer kind holds.
func (f *filler) small() int64 { return (f.next()-1)%math.MaxInt8 + 1 }

func (f *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int8:
		value.SetInt(f.small())
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(f.next())
	case reflect.Uint8:
		value.SetUint(uint64(f.small()))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.next()) + fraction)
	case reflect.String:
		value.SetString(fmt.Sprintf("value-%d", f.next()))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Struct:
		f.fillStruct(value)
	case reflect.Array:
		f.fillElements(value)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), sliceLength, sliceLength))
		f.fillElements(value)
	case reflect.Map:
		f.fillMap(value)
	default:
		panic(fmt.Sprintf("values of type %s are not filled", value.Type()))
	}
}

func (f *filler) fillStruct(value reflect.Value) {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if field.IsExported() && !f.skips(value.Type(), field.Name) {
			f.fill(value.Field(index))
		}
	}
}

func (f *filler) fillElements(value reflect.Value) {
	for index := range value.Len() {
		f.fill(value.Index(index))
	}
}

func (f *filler) fillMap(value reflect.Value) {
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}
