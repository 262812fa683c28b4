package compat

import (
	"reflect"
	"testing"
)

// fillable has a field of each kind that Fill supports.
type fillable struct {
	Flag    bool
	Number  int
	Small   uint8
	Text    string
	Share   float64
	Pointer *int
	List    []string
	Table   map[string]int
	Bytes   []byte
	Fixed   [2]int8
	Nested  struct{ Inner uint16 }
	hidden  int
}

func TestFill_SetsDistinctNonZeroValues(t *testing.T) {
	var value fillable
	Fill(&value)
	fields := reflect.ValueOf(value)
	for index := range fields.NumField() {
		field := fields.Type().Field(index)
		if field.IsExported() == fields.Field(index).IsZero() {
			t.Errorf("%s: %v", field.Name, fields.Field(index))
		}
	}
	values := map[any]bool{}
	filledValues := []any{
		value.Number,
		*value.Pointer,
		int(value.Small),
		int(value.Bytes[0]),
		int(value.Bytes[1]),
		int(value.Fixed[0]),
		int(value.Fixed[1]),
		int(value.Nested.Inner),
		value.Text,
		value.List[0],
		value.List[1],
	}
	for _, filledValue := range filledValues {
		if values[filledValue] {
			t.Errorf("%v is used twice", filledValue)
		}
		values[filledValue] = true
	}
	if value.hidden != 0 {
		t.Error("an unexported field is filled")
	}
}

func TestFill_IsDeterministic(t *testing.T) {
	first, second := filled(fillable{}), filled(fillable{})
	if !reflect.DeepEqual(first, second) {
		t.Errorf("%+v\n%+v", first, second)
	}
}
