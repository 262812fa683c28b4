// Package wireform has helpers for the conversion of values to and from their wire forms.
//
// encoding/gob matches fields by their names, so the names of fields that are sent or stored are
// part of a format. A type whose Go fields have other names is encoded in its wire form: a struct
// with the names, order and types of the format's fields. Conversions keep nil and empty slices and maps
// apart, since gob tells a nil map from an empty one.
package wireform

import "fmt"

// ConvertSlice converts the elements of a slice, which it passes by pointer since messages are large. A nil
// slice stays nil.
func ConvertSlice[From, To any](elements []From, convert func(*From) To) []To {
	if elements == nil {
		return nil
	}
	converted := make([]To, len(elements))
	for index := range elements {
		converted[index] = convert(&elements[index])
	}
	return converted
}

// Assert returns a decoded wire form as a pointer to its type.
func Assert[Form any](decoded any) (*Form, error) {
	form, ok := decoded.(*Form)
	if !ok {
		return nil, fmt.Errorf("unexpected wire form %T", decoded)
	}
	return form, nil
}
