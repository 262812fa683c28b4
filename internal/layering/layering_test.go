package layering

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// root is the root of the module, seen from this folder.
const root = "../.."

// imports are the packages that one source file imports from the project.
type imports struct {
	file    string
	folder  string
	imports []string
}

// projectImports reads the import clauses of all Go files below the root.
func projectImports(t *testing.T) []imports {
	t.Helper()
	var all []imports
	for _, top := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(file string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") {
				return err
			}
			all = append(all, readImports(t, file))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func readImports(t *testing.T, file string) imports {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	relative, err := filepath.Rel(root, file)
	if err != nil {
		t.Fatal(err)
	}
	found := imports{file: relative, folder: module + "/" + path.Dir(filepath.ToSlash(relative))}
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(imported, module+"/") {
			found.imports = append(found.imports, imported)
		}
	}
	return found
}

func TestImportsPointDownward(t *testing.T) {
	depthOf := depths(Layers())
	for _, source := range projectImports(t) {
		// A test may drive its package by tools of higher layers.
		if strings.HasSuffix(source.file, "_test.go") {
			continue
		}
		for _, imported := range source.imports {
			if depthOf[imported] > depthOf[source.folder] {
				t.Errorf("%s imports %s, which is of a higher layer", source.file, imported)
			}
		}
	}
}

func TestEachPackageHasALayer(t *testing.T) {
	depthOf := depths(Layers())
	present := map[string]bool{}
	for _, source := range projectImports(t) {
		present[source.folder] = true
		if _, known := depthOf[source.folder]; !known {
			t.Errorf("%s stands in no layer", source.folder)
			depthOf[source.folder] = len(depthOf)
		}
	}
	for folder := range depthOf {
		if !present[folder] {
			t.Errorf("%s stands in a layer, but has no source", folder)
		}
	}
}

func TestOnlyProgramsImportThePlatform(t *testing.T) {
	for _, source := range projectImports(t) {
		for _, imported := range source.imports {
			if imported != module+"/platform" || strings.HasPrefix(source.file, "cmd/") || strings.HasPrefix(source.file, "platform/") {
				continue
			}
			t.Errorf("%s imports %s, which only programs may", source.file, imported)
		}
	}
}
