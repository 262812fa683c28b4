package compat

import (
	"reflect"
	"testing"
)

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

func TestFillLeavesNothingZeroAndGivesDifferentValues(t *testing.T) {
	var value fillable
	Fill(&value)
	fields := reflect.ValueOf(value)
	for place := range fields.NumField() {
		if field := fields.Type().Field(place); field.IsExported() == fields.Field(place).IsZero() {
			t.Errorf("%s: %v", field.Name, fields.Field(place))
		}
	}
	seen := map[any]bool{}
	for _, each := range []any{value.Number, *value.Pointer, int(value.Small), int(value.Bytes[0]), int(value.Bytes[1]), int(value.Fixed[0]), int(value.Fixed[1]), int(value.Nested.Inner), value.Text, value.List[0], value.List[1]} {
		if seen[each] {
			t.Errorf("%v is given twice", each)
		}
		seen[each] = true
	}
	if value.hidden != 0 {
		t.Error("a field that does not travel is filled")
	}
}

func TestFillIsTheSameEachTime(t *testing.T) {
	if first, second := filled(fillable{}), filled(fillable{}); !reflect.DeepEqual(first, second) {
		t.Errorf("%+v\n%+v", first, second)
	}
}
