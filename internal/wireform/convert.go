// Package wireform provides helpers that convert values to and from their wire forms.
//
// encoding/gob matches fields by name, so the names of fields that are sent or stored are part of
// the format. A type whose Go fields have different names is encoded in its wire form: a struct with
// the names, order and types of the format's fields. Conversions preserve the difference between nil
// and empty slices and maps, because gob encodes a nil map differently from an empty one.
package wireform

import "fmt"

// ConvertSlice converts the elements of a slice. It passes each element to convert by pointer, because messages
// are large. A nil slice stays nil.
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

// Assert returns the decoded value as a *Form. It returns an error if the value has another type.
func Assert[Form any](decoded any) (*Form, error) {
	form, ok := decoded.(*Form)
	if !ok {
		return nil, fmt.Errorf("unexpected wire form %T", decoded)
	}
	return form, nil
}
