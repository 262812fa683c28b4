package compat

import (
	"errors"
	"fmt"
	"strings"
)

// gobKind is the kind of a defined type, which determines how its values are encoded.
type gobKind string

const (
	gobArray  gobKind = "array"
	gobSlice  gobKind = "slice"
	gobStruct gobKind = "struct"
	gobMap    gobKind = "map"
	// The types that encode themselves are encoded as plain bytes.
	gobEncoder         gobKind = "gob encoder"
	gobBinaryMarshaler gobKind = "binary marshaler"
	gobTextMarshaler   gobKind = "text marshaler"
)

// wireTypeKinds are the fields of encoding/gob's wireType, in its order. Exactly one of them is
// set in each definition.
var wireTypeKinds = []gobKind{
	gobArray,
	gobSlice,
	gobStruct,
	gobMap,
	gobEncoder,
	gobBinaryMarshaler,
	gobTextMarshaler,
}

// The type ids of basic types, which encoding/gob fixes.
const (
	gobBool    = 1
	gobInt     = 2
	gobUint    = 3
	gobFloat   = 4
	gobBytes   = 5
	gobString  = 6
	gobComplex = 7
)

var basicTypes = map[int64]string{
	gobBool:    "bool",
	gobInt:     "int",
	gobUint:    "uint",
	gobFloat:   "float",
	gobBytes:   "bytes",
	gobString:  "string",
	gobComplex: "complex",
}

// gobField is a field of a struct with the id of its type.
type gobField struct {
	name   string
	typeID int64
	// omitted says that the field is left out of the description.
	omitted bool
}

// gobType is a type definition of a stream, without the type's name.
type gobType struct {
	kind      gobKind
	keyID     int64
	elementID int64
	length    int64
	fields    []gobField
}

// readGobType reads a definition, which is a wireType struct value.
func readGobType(cursor *gobCursor) gobType {
	var definition gobType
	cursor.fields(func(field int) {
		if field >= len(wireTypeKinds) || definition.kind != "" {
			cursor.fail(fmt.Errorf("field %d of a type definition is not known", field))
			return
		}
		definition.kind = wireTypeKinds[field]
		cursor.fields(func(field int) { definition.readDefinitionField(cursor, field) })
	})
	if definition.kind == "" {
		cursor.fail(errors.New("a type definition is empty"))
	}
	return definition
}

// readDefinitionField reads one field of encoding/gob's arrayType, sliceType, structType, mapType
// or gobEncoderType. Field 0 is the common type in all of them.
func (t *gobType) readDefinitionField(cursor *gobCursor, field int) {
	switch {
	case field == 0:
		skipCommonType(cursor)
	case t.kind == gobArray && field == 1, t.kind == gobSlice && field == 1, t.kind == gobMap && field == 2:
		t.elementID = cursor.signed()
	case t.kind == gobArray && field == 2:
		t.length = cursor.signed()
	case t.kind == gobMap && field == 1:
		t.keyID = cursor.signed()
	case t.kind == gobStruct && field == 1:
		count := cursor.unsigned()
		for range count {
			if cursor.err != nil {
				return
			}
			t.fields = append(t.fields, readGobField(cursor))
		}
	default:
		cursor.fail(fmt.Errorf("field %d of a %s definition is not known", field, t.kind))
	}
}

// skipCommonType skips the type's name and its id. The name is that of the Go type in the build
// that wrote the stream: no decoder looks at it, so that types may be renamed. The id also
// stands before the definition.
func skipCommonType(cursor *gobCursor) {
	cursor.fields(func(field int) {
		switch field {
		case 0:
			cursor.text()
		case 1:
			cursor.signed()
		default:
			cursor.fail(fmt.Errorf("field %d of a common type is not known", field))
		}
	})
}

func readGobField(cursor *gobCursor) gobField {
	var definition gobField
	cursor.fields(func(field int) {
		switch field {
		case 0:
			definition.name = cursor.text()
		case 1:
			definition.typeID = cursor.signed()
		default:
			cursor.fail(fmt.Errorf("field %d of a field definition is not known", field))
		}
	})
	return definition
}

// describe returns a definition with other types under their names in the stream.
func (t gobType) describe(nameOf func(id int64) string) string {
	switch t.kind {
	case gobArray:
		return fmt.Sprintf("array of %d %s", t.length, nameOf(t.elementID))
	case gobSlice:
		return "slice of " + nameOf(t.elementID)
	case gobMap:
		return fmt.Sprintf("map of %s to %s", nameOf(t.keyID), nameOf(t.elementID))
	case gobStruct:
		fields := make([]string, 0, len(t.fields))
		for _, field := range t.fields {
			if !field.omitted {
				fields = append(fields, field.name+" "+nameOf(field.typeID))
			}
		}
		return "struct {" + strings.Join(fields, "; ") + "}"
	default:
		return string(t.kind)
	}
}
