package compat

import (
	"strings"
	"testing"
)

// The types below differ from base in what their names say. Fill gives all of them the same
// values, so that nothing but that difference can show.
type (
	base struct {
		First  string
		Second int
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	inner struct {
		Label string
		Count uint64
	}

	renamedType struct {
		First  string
		Second int
		Third  []renamedInner
		Fourth map[string]renamedInner
		Fifth  *renamedInner
		Sixth  [2]uint8
	}
	renamedInner struct {
		Label string
		Count uint64
	}
	renamedField struct {
		First  string
		Other  int
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	renamedInnerField struct {
		First  string
		Second int
		Third  []otherInner
		Fourth map[string]otherInner
		Fifth  *otherInner
		Sixth  [2]uint8
	}
	otherInner struct {
		Label string
		Other uint64
	}
	droppedField struct {
		First  string
		Second int
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
	}
	addedField struct {
		First   string
		Second  int
		Third   []inner
		Fourth  map[string]inner
		Fifth   *inner
		Sixth   [2]uint8
		Seventh bool
	}
	reorderedFields struct {
		Second int
		First  string
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	reorderedAlike struct {
		Count uint64
		Other uint64
	}
	orderedAlike struct {
		Other uint64
		Count uint64
	}
	signedKind struct {
		First  string
		Second uint
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	listKind struct {
		First  string
		Second int
		Third  [2]inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	keyKind struct {
		First  string
		Second int
		Third  []inner
		Fourth map[int]inner
		Fifth  *inner
		Sixth  [2]uint8
	}
	lengthKind struct {
		First  string
		Second int
		Third  []inner
		Fourth map[string]inner
		Fifth  *inner
		Sixth  [3]uint8
	}
	Embedded        struct{ Count int }
	RenamedEmbedded struct{ Count int }
	embedding       struct{ Embedded }
	embeddingOther  struct{ RenamedEmbedded }
)

// describeFilled describes the gob stream of a filled value.
func describeFilled(tb testing.TB, prototype any) string {
	tb.Helper()
	data, err := EncodeGob(filled(prototype))
	if err != nil {
		tb.Fatal(err)
	}
	described, err := DescribeGob(data)
	if err != nil {
		tb.Fatal(err)
	}
	return described
}

func TestDescribeGob_IgnoresTypeNamesAndIDs(t *testing.T) {
	first, second := describeFilled(t, base{}), describeFilled(t, renamedType{})
	if first != second {
		t.Fatalf("the descriptions differ:\n%s", firstDifference(first, second))
	}
	left, _ := EncodeGob(filled(base{}))
	right, _ := EncodeGob(filled(renamedType{}))
	if string(left) == string(right) {
		t.Fatal("the streams are equal, so that the test shows nothing")
	}
	for _, name := range []string{"base", "inner", "renamed"} {
		if strings.Contains(first, name) {
			t.Errorf("the description names the type %q", name)
		}
	}
}

func TestDescribeGob_ShowsTypeDifferences(t *testing.T) {
	original := describeFilled(t, base{})
	for label, changed := range map[string]any{
		"renamed field":                    renamedField{},
		"renamed field of a nested struct": renamedInnerField{},
		"dropped field":                    droppedField{},
		"added field":                      addedField{},
		"reordered fields":                 reorderedFields{},
		"signed to unsigned":               signedKind{},
		"slice to array":                   listKind{},
		"type of a map's key":              keyKind{},
		"length of an array":               lengthKind{},
	} {
		if describeFilled(t, changed) == original {
			t.Errorf("%s: not shown", label)
		}
	}
	if describeFilled(t, orderedAlike{}) == describeFilled(t, reorderedAlike{}) {
		t.Error("reordered fields of one kind: not shown")
	}
	if describeFilled(t, embedding{}) == describeFilled(t, embeddingOther{}) {
		t.Error("an embedded type's name, which is a field's name: not shown")
	}
}

func TestDescribeGob_ShowsValueDifferences(t *testing.T) {
	original := describeFilled(t, base{})
	for label, change := range map[string]func(*base){
		"text":         func(value *base) { value.First += "x" },
		"number":       func(value *base) { value.Second = -value.Second },
		"zero":         func(value *base) { value.Second = 0 },
		"element":      func(value *base) { value.Third[1].Count++ },
		"fewer":        func(value *base) { value.Third = value.Third[:1] },
		"map's key":    func(value *base) { value.Fourth = map[string]inner{"x": {}} },
		"map's value":  func(value *base) { clear(value.Fourth) },
		"target":       func(value *base) { value.Fifth.Count++ },
		"pointer":      func(value *base) { value.Fifth = nil },
		"array's byte": func(value *base) { value.Sixth[1]++ },
	} {
		value := filled(base{}).(*base)
		change(value)
		data, err := EncodeGob(value)
		if err != nil {
			t.Fatal(err)
		}
		if described, err := DescribeGob(data); err != nil || described == original {
			t.Errorf("%s: not shown, %v", label, err)
		}
	}
}

func TestDescribeGob_IgnoresMapOrder(t *testing.T) {
	value := base{Fourth: map[string]inner{}}
	for length := range 40 {
		value.Fourth[strings.Repeat("k", length)] = inner{Count: uint64(length)}
	}
	streams, descriptions := map[string]bool{}, map[string]bool{}
	for range 20 {
		data, err := EncodeGob(&value)
		if err != nil {
			t.Fatal(err)
		}
		described, err := DescribeGob(data)
		if err != nil {
			t.Fatal(err)
		}
		streams[string(data)], descriptions[described] = true, true
	}
	if len(streams) < 2 || len(descriptions) != 1 {
		t.Fatalf("%d streams, %d descriptions", len(streams), len(descriptions))
	}
}

func TestDescribeGob_RejectsBrokenStreams(t *testing.T) {
	data, err := EncodeGob(filled(base{}))
	if err != nil {
		t.Fatal(err)
	}
	for length := range data {
		if _, err := DescribeGob(data[:length]); err == nil {
			t.Fatalf("the first %d of %d bytes are described", length, len(data))
		}
	}
	if _, err := DescribeGob(append(data, 0x7f)); err == nil {
		t.Fatal("a stream with trailing bytes is described")
	}
	for index := range data {
		changed := append([]byte(nil), data...)
		changed[index] ^= 0xff
		// It must return without a panic; a change may go unnoticed.
		_, _ = DescribeGob(changed)
	}
}

func FuzzDescribeGob(f *testing.F) {
	data, _ := EncodeGob(filled(base{}))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DescribeGob(data) })
}
