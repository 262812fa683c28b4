package compat

import (
	"reflect"
	"testing"
)

// The types of a build before an addition and of the build that makes it.
type (
	typeBefore struct {
		First  string
		Second []innerBefore
	}
	innerBefore struct{ Label string }

	typeAfter struct {
		First  string
		Second []innerAfter
		Third  map[string]addedType
		Fourth int
	}
	innerAfter struct {
		Label string
		Flag  bool
	}
	addedType struct{ Label string }
)

// withAddition makes the fields an addition until the test ends.
func withAddition(t *testing.T, fields map[reflect.Type][]string) addition {
	t.Helper()
	previous := additions
	t.Cleanup(func() { additions = previous })
	group := addition{name: "later", fields: fields}
	additions = []addition{group}
	return group
}

var addedFields = map[reflect.Type][]string{
	reflect.TypeFor[typeAfter]():  {"Third", "Fourth"},
	reflect.TypeFor[innerAfter](): {"Flag"},
}

func TestAdditions_AreDescribedOnlyIfSet(t *testing.T) {
	before := describeFilled(t, typeBefore{})
	if describeFilled(t, typeAfter{}) == before {
		t.Fatal("fields that are in no addition are not shown")
	}
	group := withAddition(t, addedFields)
	if after := describeFilled(t, typeAfter{}); after != before {
		t.Fatalf("unset fields of an addition are shown:\n%s", firstDifference(before, after))
	}
	for name, change := range map[string]func(*typeAfter){
		"an added map":             func(value *typeAfter) { value.Third = map[string]addedType{} },
		"an added number":          func(value *typeAfter) { value.Fourth = 1 },
		"an added field in a list": func(value *typeAfter) { value.Second[1].Flag = true },
		"a field of before":        func(value *typeAfter) { value.First = "other" },
	} {
		value := filled(typeAfter{}).(*typeAfter)
		change(value)
		data, err := EncodeGob(value)
		if err != nil {
			t.Fatal(err)
		}
		if described, err := DescribeGob(data); err != nil || described == before {
			t.Errorf("%s is not shown, %v", name, err)
		}
	}
	if !group.changes(reflect.TypeFor[[]*typeAfter]()) || group.changes(reflect.TypeFor[typeBefore]()) {
		t.Error("the types that an addition changes are not found")
	}
}

func TestAdditions_HaveSamplesOfTheirOwn(t *testing.T) {
	if samples := filledSamples("label", typeAfter{}, gobMessage); len(samples) != 1 {
		t.Errorf("%d samples without an addition", len(samples))
	}
	withAddition(t, addedFields)
	samples := filledSamples("label", typeAfter{}, gobMessage)
	if len(samples) != 2 || samples[0].Label != "label" || samples[1].Label != "label-later" {
		t.Fatalf("%d samples: %v", len(samples), samples)
	}
	if first := samples[0].Value.(*typeAfter); first.Third != nil || first.Fourth != 0 || first.Second[0].Flag {
		t.Errorf("the first sample has added fields: %+v", first)
	}
	if second := samples[1].Value.(*typeAfter); second.Third == nil || second.Fourth == 0 || !second.Second[0].Flag {
		t.Errorf("the second sample lacks added fields: %+v", second)
	}
	if samples := filledSamples("label", typeBefore{}, gobMessage); len(samples) != 1 {
		t.Errorf("%d samples of a type that was not changed", len(samples))
	}
}

// A field that is added in the middle, or is not declared at all, would be a mistake in the table.
func TestAdditions_AreDeclaredAfterOtherFields(t *testing.T) {
	for _, group := range additions {
		for structure, names := range group.fields {
			for _, name := range names {
				field, declared := structure.FieldByName(name)
				if !declared || len(field.Index) != 1 || field.Index[0] == 0 {
					t.Errorf("%s: %s has no field %s after others", group.name, structure, name)
				}
			}
		}
	}
}
