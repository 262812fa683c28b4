// Package policy compiles and evaluates the rules of tenant templates. A rule is a CEL
// expression that selects the engines for a request or decides whether a failed attempt is
// retried.
//
// [Compile] checks a rule when a configuration document is applied, and returns its errors.
// [Cached] returns the compiled rule on the request path; an empty text means that there is no
// rule. The length of a rule and the cost of each evaluation are limited.
package policy

import (
	"slices"
	"sync"

	"cel.dev/cel-go/cel"

	"coursepass/internal/errcode"
)

const (
	// maxLength is the maximum length of a rule, in bytes.
	maxLength = 1024
	// maxCost is the maximum cost of one evaluation, in CEL's cost units.
	maxCost = 1000
)

// RuleKind is the kind of decision that a rule makes. It determines the variables that the rule
// may use.
type RuleKind string

// The kinds of rules. The values are field names of the configuration document.
const (
	// KindMatch rules use variables of the request and of one engine, and decide whether the
	// engine may serve the request.
	KindMatch RuleKind = "match"
	// KindRetry rules use variables of the request and of a failed attempt, and decide whether
	// the request is retried.
	KindRetry RuleKind = "repeatWhen"
)

// The variables of rules. Their names and types are part of the document format.
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

// Variables holds the values of a rule's variables, by variable name.
type Variables map[string]any

// Compile compiles a rule. It fails with the code ConfigurationInvalid if the rule is too long,
// can't be parsed, uses variables that its kind doesn't have, or isn't boolean.
func Compile(kind RuleKind, text string) (*Rule, error) {
	if len(text) > maxLength {
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s has more than %d bytes", kind, maxLength)
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
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s must be a bool expression, but its type is %s", kind, checked.OutputType())
	}
	program, err := environment.Program(checked, cel.CostLimit(maxCost))
	return &Rule{program}, wrapInvalid(err, kind)
}

// newEnvironment returns the CEL environment for rules of a kind. The environment of an unknown
// kind has no variables.
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

// Evaluate returns the value of the rule. It returns false if the evaluation fails or exceeds
// the maximum cost.
func (r *Rule) Evaluate(values Variables) bool {
	result, _, err := r.program.Eval(map[string]any(values))
	if err != nil {
		return false
	}
	matched, ok := result.Value().(bool)
	return ok && matched
}

// compiledRules caches each compiled *Rule under its kind and text.
var compiledRules sync.Map

// Cached returns the compiled rule of a text that Compile accepted when the configuration was
// applied. It compiles each text once and caches the result. It returns nil for an empty text,
// which means that there is no rule, and for an invalid text.
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
