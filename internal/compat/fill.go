package compat

import (
	"fmt"
	"reflect"
)

// elements is how many elements each slice is filled with. Maps get one entry, since the
// order of more is random.
const elements = 2

// filler gives out values that differ from each other.
type filler struct{ last int64 }

// Fill sets every exported field below a pointer, in the order of the fields, to values
// that are not zero and differ as far as their kinds allow: the same type is always
// filled alike, whatever it is called.
func Fill(target any) {
	value := reflect.ValueOf(target)
	if value.Kind() != reflect.Pointer {
		panic(fmt.Sprintf("%T is no pointer", target))
	}
	(&filler{}).fill(value.Elem())
}

// filled is a pointer to a filled value of the prototype's type.
func filled(prototype any) any {
	made := reflect.New(reflect.TypeOf(prototype))
	Fill(made.Interface())
	return made.Interface()
}

func (fl *filler) next() int64 {
	fl.last++
	return fl.last
}

// small is the next value in 1 to 127, which every integer kind holds.
func (fl *filler) small() int64 { return (fl.next()-1)%127 + 1 }

func (fl *filler) fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int8:
		value.SetInt(fl.small())
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(fl.next())
	case reflect.Uint8:
		value.SetUint(uint64(fl.small()))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(fl.next()))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(fl.next()) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("value-%d", fl.next()))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fl.fill(value.Elem())
	case reflect.Struct:
		fl.fillStruct(value)
	case reflect.Array:
		fl.fillElements(value)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), elements, elements))
		fl.fillElements(value)
	case reflect.Map:
		fl.fillMap(value)
	default:
		panic(fmt.Sprintf("values of type %s are not filled", value.Type()))
	}
}

func (fl *filler) fillStruct(value reflect.Value) {
	for place := range value.NumField() {
		if value.Type().Field(place).IsExported() {
			fl.fill(value.Field(place))
		}
	}
}

func (fl *filler) fillElements(value reflect.Value) {
	for place := range value.Len() {
		fl.fill(value.Index(place))
	}
}

func (fl *filler) fillMap(value reflect.Value) {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	fl.fill(key)
	fl.fill(element)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}
