package layering

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// keptNamesHeading precedes the glossary's table of names that stay for compatibility.
const keptNamesHeading = "## Names that stay for compatibility"

// minKeptNameRows is a lower bound on the rows of that table, so that a table that is not found
// does not pass.
const minKeptNameRows = 17

// fieldsByType are the field names of each struct type, embedded types by their names.
type fieldsByType map[string]map[string]bool

// declaredFields returns the struct types that the files of a folder declare.
func declaredFields(t *testing.T, folder string) fieldsByType {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	declared := fieldsByType{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if spec, isType := node.(*ast.TypeSpec); isType {
				declared[spec.Name.Name] = fieldNames(spec)
			}
			return true
		})
	}
	return declared
}

// fieldNames returns the names of a type's fields; it is empty if the type is no struct.
func fieldNames(spec *ast.TypeSpec) map[string]bool {
	names := map[string]bool{}
	structure, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return names
	}
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			names[name.Name] = true
		}
		if len(field.Names) == 0 {
			names[embeddedName(field.Type)] = true
		}
	}
	return names
}

// embeddedName returns the field name of an embedded type.
func embeddedName(embedded ast.Expr) string {
	switch expression := embedded.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	case *ast.StarExpr:
		return embeddedName(expression.X)
	}
	return ""
}

// keptNameRows returns the cells of the table's rows, without its head.
func keptNameRows(t *testing.T) [][]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "glossary.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), keptNamesHeading)
	if !found {
		t.Fatalf("the glossary has no heading %q", keptNamesHeading)
	}
	var rows [][]string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.Split(strings.Trim(line, "| \n"), "|"))
		}
	}
	return rows
}

// A row names a type, or a field as Type.Field; ".Field" belongs to the type named before it.
func TestGlossary_KeptNamesAreDeclared(t *testing.T) {
	rows := keptNameRows(t)
	if len(rows) < minKeptNameRows {
		t.Fatalf("%d rows found, at least %d expected", len(rows), minKeptNameRows)
	}
	for _, row := range rows {
		folder := codeSpanPattern.FindStringSubmatch(row[1])[1]
		declared := declaredFields(t, folder)
		var typeName string
		for _, span := range codeSpanPattern.FindAllStringSubmatch(row[0], -1) {
			before, field, hasField := strings.Cut(span[1], ".")
			if before != "" {
				typeName = before
			}
			if fields, known := declared[typeName]; !known {
				t.Errorf("%s: no type %s in %s", span[1], typeName, folder)
			} else if hasField && !fields[field] {
				t.Errorf("%s: %s has no field %s in %s", span[1], typeName, field, folder)
			}
		}
	}
}
