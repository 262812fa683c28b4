// Package policy reads the small CEL expressions of tenant templates: which engines may
// serve a request, and when a try may be repeated.
package policy

import (
	"sync"

	"cel.dev/cel-go/cel"

	"coursepass/internal/errcode"
)

const (
	maxLength = 1024
	maxCost   = 1000
)

// RuleKind says what a rule is about, and so which names it may use.
type RuleKind string

// The kinds of rules.
const (
	// KindMatch rules see the request and one engine.
	KindMatch RuleKind = "match"
	// KindRetry rules see the request and the try that came to nothing.
	KindRetry RuleKind = "repeatWhen"
)

var variables = map[RuleKind][]cel.EnvOption{
	KindMatch: {
		cel.Variable("tokens", cel.IntType), cel.Variable("promptBytes", cel.IntType), cel.Variable("hall", cel.StringType),
		cel.Variable("engineName", cel.StringType), cel.Variable("engineHall", cel.StringType), cel.Variable("engineVersion", cel.StringType),
	},
	KindRetry: {
		cel.Variable("tokens", cel.IntType), cel.Variable("promptBytes", cel.IntType), cel.Variable("hall", cel.StringType),
		cel.Variable("tries", cel.IntType), cel.Variable("proved", cel.BoolType), cel.Variable("leftMilliseconds", cel.IntType),
	},
}

// Rule is a checked expression that gives true or false at a bounded cost.
type Rule struct{ program cel.Program }

// Variables are the values a rule sees.
type Variables map[string]any

// Compile checks an expression of a kind. It may use only the kind's names, must give
// true or false, and is bounded in length and in cost.
func Compile(kind RuleKind, text string) (*Rule, error) {
	if len(text) > maxLength {
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s has more than %d characters", kind, maxLength)
	}
	environment, err := cel.NewEnv(variables[kind]...)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConfigurationInvalid, string(kind))
	}
	checked, issues := environment.Compile(text)
	if issues.Err() != nil {
		return nil, errcode.Wrap(issues.Err(), errcode.ConfigurationInvalid, string(kind))
	}
	if checked.OutputType() != cel.BoolType {
		return nil, errcode.New(errcode.ConfigurationInvalid, "%s gives %s, not true or false", kind, checked.OutputType())
	}
	program, err := environment.Program(checked, cel.CostLimit(maxCost))
	return &Rule{program}, errcode.Wrap(err, errcode.ConfigurationInvalid, string(kind))
}

// Evaluate evaluates the rule. One that fails or costs too much does not hold.
func (r *Rule) Evaluate(values Variables) bool {
	result, _, err := r.program.Eval(map[string]any(values))
	if err != nil {
		return false
	}
	matched, ok := result.Value().(bool)
	return ok && matched
}

var compiledRules sync.Map

// Cached gives the rule of a text that was checked when it was put in force, and reads
// each text once. An empty text is no rule: nil.
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
