package wireform_test

import (
	"reflect"
	"strconv"
	"testing"

	"coursepass/internal/wireform"
)

func TestSlice_KeepsNilAndEmpty(t *testing.T) {
	for _, test := range []struct {
		numbers []int
		want    []string
	}{
		{nil, nil},
		{[]int{}, []string{}},
		{[]int{1, 2}, []string{"1", "2"}},
	} {
		if got := wireform.Slice(test.numbers, strconv.Itoa); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%#v, want %#v", got, test.want)
		}
	}
}

func TestMap_KeepsNilAndEmpty(t *testing.T) {
	for _, test := range []struct {
		numbers map[string]int
		want    map[string]string
	}{
		{nil, nil},
		{map[string]int{}, map[string]string{}},
		{map[string]int{"a": 1, "b": 2}, map[string]string{"a": "1", "b": "2"}},
	} {
		if got := wireform.Map(test.numbers, strconv.Itoa); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%#v, want %#v", got, test.want)
		}
	}
}

func TestPointer_KeepsNil(t *testing.T) {
	if wireform.Pointer(nil, strconv.Itoa) != nil {
		t.Error("a nil pointer was converted to a non-nil pointer")
	}
	number := 3
	if got := wireform.Pointer(&number, strconv.Itoa); got == nil || *got != "3" {
		t.Errorf("%v, want a pointer to 3", got)
	}
}
