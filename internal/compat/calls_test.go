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

// sourceFolder is where the packages of the product stand, from this one.
const sourceFolder = ".."

// TestEveryProcedureOfTheSourceHasSamples finds all functions that serve a call between
// daemons by their form, whatever the packages are called, and looks for samples of their
// requests and answers.
func TestEveryProcedureOfTheSourceHasSamples(t *testing.T) {
	sampled := map[string]bool{}
	for _, sample := range callSamples() {
		if sample.Value != nil {
			sampled[reflect.TypeOf(sample.Value).Elem().String()] = true
		}
	}
	served := servedTypes(t)
	if len(served) == 0 {
		t.Fatal("no procedure is found: has the way in which they are served changed?")
	}
	for name, place := range served {
		if !sampled[name] {
			t.Errorf("%s travels and has no sample: %s", name, place)
		}
	}
	for name := range sampled {
		if _, found := served[name]; !found {
			t.Errorf("%s has a sample, and no procedure carries it", name)
		}
	}
}

// servedTypes are the requests and answers of all procedures, each with a place in the
// source.
func servedTypes(tb testing.TB) map[string]string {
	tb.Helper()
	found, files := map[string]string{}, token.NewFileSet()
	err := filepath.WalkDir(sourceFolder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, yes := node.(*ast.CallExpr); yes {
				for _, name := range procedureTypes(call, file.Name.Name) {
					found[name] = files.Position(call.Pos()).String()
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		tb.Fatal(err)
	}
	return found
}

// procedureTypes are the request and the answer of a call whose last argument is a
// func(context.Context, *Request) (*Answer, error); none if it has no such argument.
func procedureTypes(call *ast.CallExpr, packageName string) []string {
	const contextAndRequest, answerAndError = 2, 2
	if len(call.Args) == 0 {
		return nil
	}
	handler, yes := call.Args[len(call.Args)-1].(*ast.FuncLit)
	if !yes || handler.Type.Results == nil || len(handler.Type.Params.List) != contextAndRequest || len(handler.Type.Results.List) != answerAndError {
		return nil
	}
	request := pointedType(handler.Type.Params.List[1].Type, packageName)
	answer := pointedType(handler.Type.Results.List[0].Type, packageName)
	if request == "" || answer == "" || typeName(handler.Type.Params.List[0].Type, packageName) != "context.Context" {
		return nil
	}
	return []string{request, answer}
}

// pointedType is the name of the type that a pointer type points at, else empty.
func pointedType(expression ast.Expr, packageName string) string {
	pointer, yes := expression.(*ast.StarExpr)
	if !yes {
		return ""
	}
	return typeName(pointer.X, packageName)
}

// typeName is a type's name as reflection tells it; empty for generic types.
func typeName(expression ast.Expr, packageName string) string {
	switch named := expression.(type) {
	case *ast.Ident:
		return packageName + "." + named.Name
	case *ast.SelectorExpr:
		if from, yes := named.X.(*ast.Ident); yes {
			return from.Name + "." + named.Sel.Name
		}
	}
	return ""
}
