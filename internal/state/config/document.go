package config

import (
	_ "embed"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/parser"

	"coursepass/internal/errcode"
)

//go:embed schema.cue
var schema string

const (
	// MaxDocumentBytes is the maximum size of a document, in bytes. Expand rejects larger ones.
	MaxDocumentBytes = 8 << 20
	// maxFieldsInStruct scales maxEvaluationCost. Evaluating this many fields of a single struct
	// takes about five seconds.
	maxFieldsInStruct = 25_000
	// maxEvaluationCost is the maximum evaluationCost of a document. Documents above it are
	// rejected before they are evaluated.
	maxEvaluationCost = maxFieldsInStruct * maxFieldsInStruct

	documentFilename = "configuration.cue"
	schemaFilename   = "schema.cue"
	schemaDefinition = "#Configuration"
	parametersField  = "parameters"
	credentialsField = "credentials"
)

// Expand evaluates a document with its changed parameters and validates the result
// against the schema. changes maps the path of a parameter, relative to the document's
// field "parameters", to a JSON value. The changes are compiled together with the
// document, since each evaluation is expensive.
func Expand(document string, changes map[string]string) (Plan, error) {
	if len(document) > MaxDocumentBytes {
		return Plan{}, errcode.New(errcode.ConfigurationInvalid, "the document has more than %d bytes", MaxDocumentBytes)
	}
	source, err := applyChanges(document, changes)
	if err != nil {
		return Plan{}, err
	}
	plan, err := evaluate(source)
	if err != nil {
		return Plan{}, newInvalidError(err)
	}
	plan.setDefaults()
	return plan, plan.validate()
}

// applyChanges returns the CUE source of a document with the changed parameters appended.
// It rejects a document that is too costly to evaluate.
func applyChanges(document string, changes map[string]string) (string, error) {
	file, err := parser.ParseFile(documentFilename, document)
	if err != nil {
		return "", newInvalidError(err)
	}
	if cost := evaluationCost(file); cost > maxEvaluationCost {
		return "", errcode.New(
			errcode.ConfigurationTooCostly,
			"cost %d of at most %d, by the squares of the fields of each struct",
			cost, int64(maxEvaluationCost),
		)
	}
	source := document + "\n"
	for path, value := range changes {
		line, err := parameterLine(file, path, value)
		if err != nil {
			return "", err
		}
		source += line
	}
	return source, nil
}

// evaluate compiles a CUE source, validates it against the schema and decodes it into a plan.
func evaluate(source string) (Plan, error) {
	context := cuecontext.New()
	schemaValue := context.CompileString(schema, cue.Filename(schemaFilename))
	value := context.CompileString(source, cue.Filename(documentFilename), cue.Scope(schemaValue))
	if err := value.Err(); err != nil {
		return Plan{}, err
	}
	value = value.Unify(schemaValue.LookupPath(cue.ParsePath(schemaDefinition)))
	if err := value.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return Plan{}, err
	}
	var plan Plan
	if err := value.Decode(&plan); err != nil {
		return Plan{}, err
	}
	return plan, nil
}

// evaluationCost estimates the cost of evaluating a document: the sum, over all structs, of
// the square of the number of fields.
func evaluationCost(file *ast.File) int64 {
	cost := int64(0)
	ast.Walk(file, func(node ast.Node) bool {
		if structLit, ok := node.(*ast.StructLit); ok {
			fields := int64(len(structLit.Elts))
			cost += fields * fields
		}
		return true
	}, nil)
	return cost
}

// parameterLine returns the line of CUE that sets a parameter. It rejects a value that is
// not JSON and a parameter that the document doesn't declare.
func parameterLine(file *ast.File, path, value string) (string, error) {
	names := strings.Split(path, ".")
	if !json.Valid([]byte(value)) {
		return "", errcode.New(errcode.ConfigurationInvalid, "the value of %s is not JSON", path)
	}
	if !declaresPath(file.Decls, append([]string{parametersField}, names...)) {
		return "", errcode.New(errcode.ConfigurationInvalid, "the document has no parameter %q", path)
	}
	line := parametersField + ": "
	for _, name := range names {
		line += strconv.Quote(name) + ": "
	}
	return line + value + "\n", nil
}

// declaresPath reports whether the declarations contain the nested field of this path.
func declaresPath(declarations []ast.Decl, path []string) bool {
	for _, declaration := range declarations {
		field, ok := declaration.(*ast.Field)
		if !ok {
			continue
		}
		if name, _, err := ast.LabelName(field.Label); err != nil || name != path[0] {
			continue
		}
		if len(path) == 1 {
			return true
		}
		if structLit, ok := field.Value.(*ast.StructLit); ok && declaresPath(structLit.Elts, path[1:]) {
			return true
		}
	}
	return false
}

// newInvalidError returns the error of an invalid document, with the details of CUE's error.
func newInvalidError(err error) error {
	return errcode.New(errcode.ConfigurationInvalid, "%s", strings.TrimSpace(errorDetails(err)))
}

// errorDetails returns the details of an error in a document. For an error in a tenant's
// credentials it returns only the path and a fixed text, since CUE's details repeat the value,
// which may be a key in clear that was written in place of its digest.
func errorDetails(err error) string {
	isCredentialError := func(cause cueerrors.Error) bool { return slices.Contains(cause.Path(), credentialsField) }
	causes := cueerrors.Errors(err)
	if !slices.ContainsFunc(causes, isCredentialError) {
		return cueerrors.Details(err, nil)
	}
	var details strings.Builder
	for _, cause := range causes {
		if isCredentialError(cause) {
			details.WriteString(strings.Join(cause.Path(), ".") + ": not digests as \"coursepass credential\" prints them\n")
			continue
		}
		details.WriteString(cueerrors.Details(cause, nil))
	}
	return details.String()
}
