package compat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// sourceDirectory holds the packages of the product, relative to this one.
const sourceDirectory = ".."

// TestCallSamples_CoverEveryProcedure finds all functions that serve a remote procedure by their
// signature, in any package, and checks that there are samples of their requests and responses.
func TestCallSamples_CoverEveryProcedure(t *testing.T) {
	sampled := map[string]bool{}
	for _, sample := range callSamples() {
		if sample.Value != nil {
			sampled[reflect.TypeOf(sample.Value).Elem().String()] = true
		}
	}
	served := servedTypes(t)
	if len(served) == 0 {
		t.Fatal("no procedure is found: has their signature changed?")
	}
	for name, position := range served {
		if !sampled[name] {
			t.Errorf("%s is sent and has no sample: %s", name, position)
		}
	}
	for name := range sampled {
		if _, found := served[name]; !found {
			t.Errorf("%s has a sample, and no procedure sends it", name)
		}
	}
}

// servedTypes returns the requests and responses of all procedures, each with a position in the
// source.
func servedTypes(tb testing.TB) map[string]string {
	tb.Helper()
	types := map[string]string{}
	files := token.NewFileSet()
	err := filepath.WalkDir(sourceDirectory, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				for _, name := range procedureTypes(call, file.Name.Name) {
					types[name] = files.Position(call.Pos()).String()
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		tb.Fatal(err)
	}
	return types
}

// procedureTypes returns the request and the response of a call whose last argument is a
// func(context.Context, *Request) (*Response, error), and none if it has no such argument.
func procedureTypes(call *ast.CallExpr, packageName string) []string {
	if len(call.Args) == 0 {
		return nil
	}
	handler, ok := call.Args[len(call.Args)-1].(*ast.FuncLit)
	if !ok || handler.Type.Results == nil {
		return nil
	}
	parameters, results := handler.Type.Params.List, handler.Type.Results.List
	if len(parameters) != 2 || len(results) != 2 {
		return nil
	}
	request := pointedType(parameters[1].Type, packageName)
	response := pointedType(results[0].Type, packageName)
	takesContext := typeName(parameters[0].Type, packageName) == "context.Context"
	if request == "" || response == "" || !takesContext {
		return nil
	}
	return []string{request, response}
}

// pointedType returns the name of the type that a pointer type points to, else an empty string.
func pointedType(expression ast.Expr, packageName string) string {
	pointer, ok := expression.(*ast.StarExpr)
	if !ok {
		return ""
	}
	return typeName(pointer.X, packageName)
}

// typeName returns the name of a type as reflection has it, and an empty string for a generic type.
func typeName(expression ast.Expr, packageName string) string {
	switch named := expression.(type) {
	case *ast.Ident:
		return packageName + "." + named.Name
	case *ast.SelectorExpr:
		if packageIdentifier, ok := named.X.(*ast.Ident); ok {
			return packageIdentifier.Name + "." + named.Sel.Name
		}
	}
	return ""
}
