package compat

import (
	"fmt"
	"strings"
)

// gobKind says how values of a defined type are written.
type gobKind string

const (
	gobArray  gobKind = "array"
	gobSlice  gobKind = "slice"
	gobStruct gobKind = "struct"
	gobMap    gobKind = "map"
	// The types that encode themselves are written as plain bytes.
	gobEncoder         gobKind = "gob encoder"
	gobBinaryMarshaler gobKind = "binary marshaler"
	gobTextMarshaler   gobKind = "text marshaler"
)

// wireTypeKinds are the fields of encoding/gob's wireType, in its order: exactly one of
// them is set in each definition.
var wireTypeKinds = []gobKind{gobArray, gobSlice, gobStruct, gobMap, gobEncoder, gobBinaryMarshaler, gobTextMarshaler}

// The type ids that encoding/gob fixes.
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
	gobBool: "bool", gobInt: "int", gobUint: "uint", gobFloat: "float", gobBytes: "bytes", gobString: "string", gobComplex: "complex",
}

type gobField struct {
	name string
	kind int64
}

// gobType is one type definition of a stream, without the type's name.
type gobType struct {
	kind   gobKind
	key    int64
	elem   int64
	length int64
	fields []gobField
}

// readGobType reads a definition, which is a wireType struct value.
func readGobType(gc *gobCursor) gobType {
	var found gobType
	gc.fields(func(field int) {
		if field >= len(wireTypeKinds) || found.kind != "" {
			gc.fail(fmt.Errorf("field %d of a type definition is not known", field))
			return
		}
		found.kind = wireTypeKinds[field]
		gc.fields(func(field int) { found.readPart(gc, field) })
	})
	if found.kind == "" {
		gc.fail(fmt.Errorf("a type definition is empty"))
	}
	return found
}

// readPart reads one field of arrayType, sliceType, structType, mapType or gobEncoderType.
// All begin with the common type.
func (gt *gobType) readPart(gc *gobCursor, field int) {
	switch {
	case field == 0:
		skipCommonType(gc)
	case gt.kind == gobArray && field == 1, gt.kind == gobSlice && field == 1, gt.kind == gobMap && field == 2:
		gt.elem = gc.signed()
	case gt.kind == gobArray && field == 2:
		gt.length = gc.signed()
	case gt.kind == gobMap && field == 1:
		gt.key = gc.signed()
	case gt.kind == gobStruct && field == 1:
		count := gc.unsigned()
		for range count {
			if gc.err != nil {
				return
			}
			gt.fields = append(gt.fields, readGobField(gc))
		}
	default:
		gc.fail(fmt.Errorf("field %d of a %s definition is not known", field, gt.kind))
	}
}

// skipCommonType reads past the type's name and its id. The name is what reflection calls
// the type in the build that wrote the stream: no decoder looks at it, so renaming a type
// changes nothing for whoever reads. The id stands before the definition as well.
func skipCommonType(gc *gobCursor) {
	gc.fields(func(field int) {
		switch field {
		case 0:
			gc.text()
		case 1:
			gc.signed()
		default:
			gc.fail(fmt.Errorf("field %d of a common type is not known", field))
		}
	})
}

func readGobField(gc *gobCursor) gobField {
	var found gobField
	gc.fields(func(field int) {
		switch field {
		case 0:
			found.name = gc.text()
		case 1:
			found.kind = gc.signed()
		default:
			gc.fail(fmt.Errorf("field %d of a field definition is not known", field))
		}
	})
	return found
}

// describe writes a definition with other types under their names in the stream.
func (gt gobType) describe(nameOf func(id int64) string) string {
	switch gt.kind {
	case gobArray:
		return fmt.Sprintf("array of %d %s", gt.length, nameOf(gt.elem))
	case gobSlice:
		return "slice of " + nameOf(gt.elem)
	case gobMap:
		return fmt.Sprintf("map of %s to %s", nameOf(gt.key), nameOf(gt.elem))
	case gobStruct:
		fields := make([]string, 0, len(gt.fields))
		for _, each := range gt.fields {
			fields = append(fields, each.name+" "+nameOf(each.kind))
		}
		return "struct {" + strings.Join(fields, "; ") + "}"
	}
	return string(gt.kind)
}
