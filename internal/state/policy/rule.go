// Package rule reads the small CEL expressions of tenant templates: which engines may
// serve a request, and when a try may be repeated.
package rule

import (
	"sync"

	"cel.dev/cel-go/cel"

	"coursepass/internal/errcode"
)

const (
	longest  = 1024
	costMost = 1000
)

// Kind says what a rule is about, and so which names it may use.
type Kind string

// The kinds of rules.
const (
	// Match rules see the request and one engine.
	Match Kind = "match"
	// Repeat rules see the request and the try that came to nothing.
	Repeat Kind = "repeatWhen"
)

var names = map[Kind][]cel.EnvOption{
	Match: {
		cel.Variable("tokens", cel.IntType), cel.Variable("promptBytes", cel.IntType), cel.Variable("hall", cel.StringType),
		cel.Variable("engineName", cel.StringType), cel.Variable("engineHall", cel.StringType), cel.Variable("engineVersion", cel.StringType),
	},
	Repeat: {
		cel.Variable("tokens", cel.IntType), cel.Variable("promptBytes", cel.IntType), cel.Variable("hall", cel.StringType),
		cel.Variable("tries", cel.IntType), cel.Variable("proved", cel.BoolType), cel.Variable("leftMilliseconds", cel.IntType),
	},
}

// Rule is a checked expression that gives true or false at a bounded cost.
type Rule struct{ program cel.Program }

// Names are the values a rule sees.
type Names map[string]any

// Read checks an expression of a kind. It may use only the kind's names, must give
// true or false, and is bounded in length and in cost.
func Read(kind Kind, text string) (*Rule, error) {
	if len(text) > longest {
		return nil, mishap.New(mishap.ConfigurationInvalid, "%s has more than %d characters", kind, longest)
	}
	environment, err := cel.NewEnv(names[kind]...)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.ConfigurationInvalid, string(kind))
	}
	tree, issues := environment.Compile(text)
	if issues.Err() != nil {
		return nil, mishap.Wrap(issues.Err(), mishap.ConfigurationInvalid, string(kind))
	}
	if tree.OutputType() != cel.BoolType {
		return nil, mishap.New(mishap.ConfigurationInvalid, "%s gives %s, not true or false", kind, tree.OutputType())
	}
	program, err := environment.Program(tree, cel.CostLimit(costMost))
	return &Rule{program}, mishap.Wrap(err, mishap.ConfigurationInvalid, string(kind))
}

// Holds evaluates the rule. One that fails or costs too much does not hold.
func (r *Rule) Holds(values Names) bool {
	result, _, err := r.program.Eval(map[string]any(values))
	if err != nil {
		return false
	}
	holds, yes := result.Value().(bool)
	return yes && holds
}

var read sync.Map

// Known gives the rule of a text that was checked when it was put in force, and reads
// each text once. An empty text is no rule: nil.
func Known(kind Kind, text string) *Rule {
	if text == "" {
		return nil
	}
	key := string(kind) + ":" + text
	if found, known := read.Load(key); known {
		return found.(*Rule)
	}
	rule, err := Read(kind, text)
	if err != nil {
		return nil
	}
	found, _ := read.LoadOrStore(key, rule)
	return found.(*Rule)
}
