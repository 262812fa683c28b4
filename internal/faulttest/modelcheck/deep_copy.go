package modelcheck

import (
	"reflect"
	"sync"
	"unsafe"

	"coursepass/internal/consensus"
)

// copier makes deep copies of state machines, unexported fields included, so that the search
// needs nothing from the code under test but its exported steps. Pointers that are shared in the
// original are shared in the copy.
type copier struct {
	copies map[unsafe.Pointer]reflect.Value
}

// immutableTypes are types that never change once they are made; copies share them.
var immutableTypes = map[reflect.Type]bool{
	reflect.TypeFor[*version]():  true,
	reflect.TypeFor[*Options]():  true,
	reflect.TypeFor[*pathStep](): true,
	reflect.TypeFor[[]byte]():    true,
	// Messages, memberships and disk writes are made once and then only read.
	reflect.TypeFor[consensus.Message]():    true,
	reflect.TypeFor[consensus.Membership](): true,
	reflect.TypeFor[diskWrite]():            true,
}

// referenceCache keeps the answers of containsReferences by reflect.Type.
var referenceCache sync.Map

// containsReferences reports whether values of a type have anything that a plain copy would share.
func containsReferences(kind reflect.Type) bool {
	if immutableTypes[kind] {
		return false
	}
	if cached, contains := referenceCache.Load(kind); contains {
		return cached.(bool)
	}
	contains := false
	switch kind.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface:
		contains = true
	case reflect.Array:
		contains = containsReferences(kind.Elem())
	case reflect.Struct:
		for index := range kind.NumField() {
			contains = contains || containsReferences(kind.Field(index).Type)
		}
	default:
		// Numbers, strings, functions and channels are copied by value.
	}
	referenceCache.Store(kind, contains)
	return contains
}

// writableField returns a field of an addressable struct such that it can be set although it may
// be unexported.
func writableField(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// copyInPlace replaces all that a value, itself a plain copy, shares with its original by copies.
func (c *copier) copyInPlace(value reflect.Value) {
	if !containsReferences(value.Type()) {
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			value.Set(c.copyPointer(value))
		}
	case reflect.Interface:
		if !value.IsNil() {
			element := reflect.New(value.Elem().Type()).Elem()
			element.Set(value.Elem())
			c.copyInPlace(element)
			value.Set(element)
		}
	case reflect.Slice:
		c.copySlice(value)
	case reflect.Array:
		for index := range value.Len() {
			c.copyInPlace(value.Index(index))
		}
	case reflect.Map:
		c.copyMap(value)
	case reflect.Struct:
		for index := range value.NumField() {
			if containsReferences(value.Type().Field(index).Type) {
				c.copyInPlace(writableField(value.Field(index)))
			}
		}
	default:
		// Other kinds have no references, so the check above returned.
	}
}

func (c *copier) copySlice(value reflect.Value) {
	if value.IsNil() {
		return
	}
	copied := reflect.MakeSlice(value.Type(), value.Len(), value.Len())
	reflect.Copy(copied, value)
	if containsReferences(value.Type().Elem()) {
		for index := range copied.Len() {
			c.copyInPlace(copied.Index(index))
		}
	}
	value.Set(copied)
}

func (c *copier) copyPointer(value reflect.Value) reflect.Value {
	if copied, exists := c.copies[value.UnsafePointer()]; exists && copied.Type() == value.Type() {
		return copied
	}
	copied := reflect.New(value.Type().Elem())
	c.copies[value.UnsafePointer()] = copied
	copied.Elem().Set(value.Elem())
	c.copyInPlace(copied.Elem())
	return copied
}

func (c *copier) copyMap(value reflect.Value) {
	if value.IsNil() {
		return
	}
	copied := reflect.MakeMapWithSize(value.Type(), value.Len())
	for iterator := value.MapRange(); iterator.Next(); {
		element := reflect.New(value.Type().Elem()).Elem()
		element.Set(iterator.Value())
		c.copyInPlace(element)
		copied.SetMapIndex(iterator.Key(), element)
	}
	value.Set(copied)
}

// deepClone returns a deep copy of a value.
func deepClone[Value any](original *Value) *Value {
	copier := &copier{copies: map[unsafe.Pointer]reflect.Value{}}
	return copier.copyPointer(reflect.ValueOf(original)).Interface().(*Value)
}
