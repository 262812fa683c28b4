package wireform

import (
	"slices"
	"testing"
)

func double(number *int) int64 { return 2 * int64(*number) }

func TestConvertSlice(t *testing.T) {
	if converted := ConvertSlice([]int{1, 2}, double); !slices.Equal(converted, []int64{2, 4}) {
		t.Errorf("[1 2] was converted to %v, want [2 4]", converted)
	}
	if converted := ConvertSlice(nil, double); converted != nil {
		t.Errorf("a nil slice was converted to %v, want nil", converted)
	}
	if converted := ConvertSlice([]int{}, double); converted == nil {
		t.Error("an empty slice was converted to nil")
	}
}

func TestAssert_RejectsOtherTypes(t *testing.T) {
	number := 1
	if form, err := Assert[int](&number); err != nil || form != &number {
		t.Errorf("got %v and error %v, want the pointer itself and no error", form, err)
	}
	if _, err := Assert[string](&number); err == nil {
		t.Error("a pointer to another type was accepted")
	}
}
