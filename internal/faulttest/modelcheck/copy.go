package explore

import (
	"reflect"
	"sync"
	"unsafe"

	"coursepass/internal/consensus"
)

// copier makes deep copies of the machines, unexported fields included, so that the
// search needs nothing from the code under test but its exported steps. Pointers that
// are shared in the original are shared in the copy.
type copier struct {
	made map[unsafe.Pointer]reflect.Value
}

// shared are types that never change once they are made; copies share them.
var shared = map[reflect.Type]bool{
	reflect.TypeFor[*version](): true,
	reflect.TypeFor[*Options](): true,
	reflect.TypeFor[*path]():    true,
	reflect.TypeFor[[]byte]():   true,
	// Messages, bindings and batches are made once and then only read.
	reflect.TypeFor[part.Message]():  true,
	reflect.TypeFor[part.Bindings](): true,
	reflect.TypeFor[write]():         true,
}

var referring sync.Map

// refers tells whether values of a type hold anything that a plain copy would share.
func refers(kind reflect.Type) bool {
	if shared[kind] {
		return false
	}
	if known, found := referring.Load(kind); found {
		return known.(bool)
	}
	found := false
	switch kind.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface:
		found = true
	case reflect.Array:
		found = refers(kind.Elem())
	case reflect.Struct:
		for place := range kind.NumField() {
			found = found || refers(kind.Field(place).Type)
		}
	}
	referring.Store(kind, found)
	return found
}

// open is a field of an addressable struct without the guard on unexported ones.
func open(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// deepen replaces what a plain copy shares with its original by copies.
func (c *copier) deepen(value reflect.Value) {
	if !refers(value.Type()) {
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			value.Set(c.pointed(value))
		}
	case reflect.Interface:
		if !value.IsNil() {
			inner := reflect.New(value.Elem().Type()).Elem()
			inner.Set(value.Elem())
			c.deepen(inner)
			value.Set(inner)
		}
	case reflect.Slice:
		if value.IsNil() {
			return
		}
		made := reflect.MakeSlice(value.Type(), value.Len(), value.Len())
		reflect.Copy(made, value)
		if refers(value.Type().Elem()) {
			for place := range made.Len() {
				c.deepen(made.Index(place))
			}
		}
		value.Set(made)
	case reflect.Array:
		for place := range value.Len() {
			c.deepen(value.Index(place))
		}
	case reflect.Map:
		c.mapped(value)
	case reflect.Struct:
		for place := range value.NumField() {
			if refers(value.Type().Field(place).Type) {
				c.deepen(open(value.Field(place)))
			}
		}
	}
}

func (c *copier) pointed(value reflect.Value) reflect.Value {
	if made, known := c.made[value.UnsafePointer()]; known && made.Type() == value.Type() {
		return made
	}
	made := reflect.New(value.Type().Elem())
	c.made[value.UnsafePointer()] = made
	made.Elem().Set(value.Elem())
	c.deepen(made.Elem())
	return made
}

func (c *copier) mapped(value reflect.Value) {
	if value.IsNil() {
		return
	}
	made := reflect.MakeMapWithSize(value.Type(), value.Len())
	for each := value.MapRange(); each.Next(); {
		inner := reflect.New(value.Type().Elem()).Elem()
		inner.Set(each.Value())
		c.deepen(inner)
		made.SetMapIndex(each.Key(), inner)
	}
	value.Set(made)
}

// duplicate is a deep copy of a value.
func duplicate[Value any](original *Value) *Value {
	copier := &copier{made: map[unsafe.Pointer]reflect.Value{}}
	return copier.pointed(reflect.ValueOf(original)).Interface().(*Value)
}
