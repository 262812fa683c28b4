// Package policy compiles and evaluates the rules of tenant templates: CEL expressions that
// select the engines for a request, or decide whether a failed attempt is retried.
//
// [Compile] checks a rule when a document is put in force; it reports errors. [Cached] then
// returns the compiled rule on the request path, where an empty text is no rule. Both the
// length of a rule and the cost of each evaluation are bounded.
package policy

import (
	"slices"
	"sync"

	"cel.dev/cel-go/cel"

	"coursepass/internal/errcode"
)

const (
	// maxLength is the length of the longest rule, in bytes.
	maxLength = 1024
	// maxCost bounds one evaluation, in CEL's cost units.
	maxCost = 1000
)

// RuleKind is what a rule decides, which determines the variables that it may use.
type RuleKind string

// The kinds of rules. The values are the document's field names.
const (
	// KindMatch rules see the request and one engine, and tell whether the engine may serve it.
	KindMatch RuleKind = "match"
	// KindRetry rules see the request and a failed attempt, and tell whether to retry it.
	KindRetry RuleKind = "repeatWhen"
)

// The variables are part of the document format.
var (
	requestVariables = []cel.EnvOption{
		cel.Variable("tokens", cel.IntType),
		cel.Variable("promptBytes", cel.IntType),
		cel.Variable("hall", cel.StringType),
	}
	variables = map[RuleKind][]cel.EnvOption{
		KindMatch: {
			cel.Variable("engineName", cel.StringType),
			cel.Variable("engineHall", cel.StringType),
			cel.Variable("engineVersion", cel.StringType),
		},
		KindRetry: {
			cel.Variable("tries", cel.IntType),
			cel.Variable("proved", cel.BoolType),
			cel.Variable("leftMilliseconds", cel.IntType),
		},
	}
)

// Rule is a compiled boolean expression. It is safe for concurrent use.
type Rule struct{ program cel.Program }

// Variables are the values that a rule sees, by variable name.
type Variables map[string]any

// Compile compiles a rule. It fails with the code ConfigurationInvalid if the rule is too
// long, uses other variables than those of its kind, or isn't boolean.
func Compile(kind RuleKind, text string) (*Rule, error) {
	if len(text) > maxLength {
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s has more than %d characters", kind, maxLength)
	}
	environment, err := newEnvironment(kind)
	if err != nil {
		return nil, wrapInvalid(err, kind)
	}
	checked, issues := environment.Compile(text)
	if issues.Err() != nil {
		return nil, wrapInvalid(issues.Err(), kind)
	}
	if checked.OutputType() != cel.BoolType {
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s gives %s, not true or false", kind, checked.OutputType())
	}
	program, err := environment.Program(checked, cel.CostLimit(maxCost))
	return &Rule{program}, wrapInvalid(err, kind)
}

// newEnvironment returns the CEL environment of a kind of rules; an unknown kind has no
// variables at all.
func newEnvironment(kind RuleKind) (*cel.Env, error) {
	kindVariables, known := variables[kind]
	if !known {
		return cel.NewEnv()
	}
	return cel.NewEnv(slices.Concat(requestVariables, kindVariables)...)
}

func wrapInvalid(err error, kind RuleKind) error {
	return errcode.Wrap(err, errcode.ConfigurationInvalid, string(kind))
}

// Evaluate returns the rule's value. An evaluation that fails or costs too much is false.
func (r *Rule) Evaluate(values Variables) bool {
	result, _, err := r.program.Eval(map[string]any(values))
	if err != nil {
		return false
	}
	matched, ok := result.Value().(bool)
	return ok && matched
}

// compiledRules holds each *Rule by kind and text.
var compiledRules sync.Map

// Cached returns the rule of a text that was checked when it was put in force, and compiles
// each text once. It returns nil for an empty text, which is no rule, and for an invalid one.
func Cached(kind RuleKind, text string) *Rule {
	if text == "" {
		return nil
	}
	key := string(kind) + ":" + text
	if cached, ok := compiledRules.Load(key); ok {
		return cached.(*Rule)
	}
	compiled, err := Compile(kind, text)
	if err != nil {
		return nil
	}
	cached, _ := compiledRules.LoadOrStore(key, compiled)
	return cached.(*Rule)
}
