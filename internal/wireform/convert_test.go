package wireform

import (
	"slices"
	"testing"
)

func double(number *int) int64 { return 2 * int64(*number) }

func TestConvertSlice(t *testing.T) {
	if converted := ConvertSlice([]int{1, 2}, double); !slices.Equal(converted, []int64{2, 4}) {
		t.Errorf("converted to %v", converted)
	}
	if converted := ConvertSlice(nil, double); converted != nil {
		t.Errorf("a nil slice is converted to %v", converted)
	}
	if converted := ConvertSlice([]int{}, double); converted == nil {
		t.Error("an empty slice is converted to nil")
	}
}

func TestAssert_RejectsOtherTypes(t *testing.T) {
	number := 1
	if form, err := Assert[int](&number); err != nil || form != &number {
		t.Errorf("%v, %v", form, err)
	}
	if _, err := Assert[string](&number); err == nil {
		t.Error("a pointer to another type is accepted")
	}
}
