// Package config owns what operators put in force: the catalogue of
// capabilities, tenant templates and their parameters, written in CUE.
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

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/policy"
)

//go:embed schema.cue
var schema string

// MaxDocumentBytes is the largest document that is read, in bytes.
const MaxDocumentBytes = 8 << 20

// Prefix is a shared prefix that engines may hold.
type Prefix struct {
	Tokens int `json:"tokens"`
}

// Service is one model service.
type Service struct {
	Versions []string          `json:"versions"`
	Prefixes map[string]Prefix `json:"prefixes"`
	Queue    int               `json:"queue"`
}

// Template is what a tenant asks of one kind of request.
type Template struct {
	Service             string `json:"service"`
	Prefix              string `json:"prefix"`
	StartMilliseconds   int64  `json:"startMilliseconds"`
	AbandonMilliseconds int64  `json:"abandonMilliseconds"`
	Priority            int    `json:"priority"`
	Repeat              bool   `json:"repeat"`
	MostTokens          int    `json:"mostTokens"`
	Match               string `json:"match"`
	RepeatWhen          string `json:"repeatWhen"`
}

// OneShot tells whether a request must never be run a second time.
func (t Template) OneShot() bool { return !t.Repeat }

// StartTimeout is the budget until the first token.
func (t Template) StartTimeout() clock.Microseconds {
	return clock.Microseconds(t.StartMilliseconds) * clock.Millisecond
}

// TotalTimeout is the budget of the whole answer.
func (t Template) TotalTimeout() clock.Microseconds {
	return clock.Microseconds(t.AbandonMilliseconds) * clock.Millisecond
}

// Tenant is one of those who call.
type Tenant struct {
	RepeatPercent   *int                `json:"repeatPercent"`
	RepeatAllowance *int                `json:"repeatAllowance"`
	Kinds           map[string]Template `json:"kinds"`
}

// RetryBudget is the tenant's percentage and allowance of repeats. A zero is lost on its
// way through gob, and comes back as none.
func (t Tenant) RetryBudget() (percent, allowance int) {
	if t.RepeatPercent != nil {
		percent = *t.RepeatPercent
	}
	if t.RepeatAllowance != nil {
		allowance = *t.RepeatAllowance
	}
	return percent, allowance
}

// Plan is a configuration after all templates are expanded.
type Plan struct {
	Halls    []string           `json:"halls"`
	Services map[string]Service `json:"services"`
	Tenants  map[string]Tenant  `json:"tenants"`
}

// Template finds the template of a tenant's kind of request.
func (p *Plan) Template(tenant, kind string) (Template, error) {
	tenantPlan, known := p.Tenants[tenant]
	if !known {
		return Template{}, errcode.New(errcode.UnknownTenant, "tenant %q", tenant)
	}
	template, known := tenantPlan.Kinds[kind]
	if !known {
		return Template{}, errcode.New(errcode.UnknownRequestKind, "tenant %q, kind %q", tenant, kind)
	}
	return template, nil
}

// Expand reads a document, fills in the changed parameters and checks all of it.
// Changes map a path below parameters to a value in JSON; they are read together with
// the document, since each evaluation costs.
func Expand(document string, changes map[string]string) (Plan, error) {
	if len(document) > MaxDocumentBytes {
		return Plan{}, errcode.New(errcode.ConfigurationInvalid, "the document has more than %d bytes", MaxDocumentBytes)
	}
	file, err := parser.ParseFile("configuration.cue", document)
	if err != nil {
		return Plan{}, newInvalidError(err)
	}
	if cost := evaluationCost(file); cost > maxEvaluationCost {
		return Plan{}, errcode.New(errcode.ConfigurationTooCostly, "cost %d of at most %d, by the squares of the fields of each struct", cost, int64(maxEvaluationCost))
	}
	source := document + "\n"
	for path, text := range changes {
		added, err := change(file, path, text)
		if err != nil {
			return Plan{}, err
		}
		source += added
	}
	context := cuecontext.New()
	schemaValue := context.CompileString(schema, cue.Filename("schema.cue"))
	value := context.CompileString(source, cue.Filename("configuration.cue"), cue.Scope(schemaValue))
	if err := value.Err(); err != nil {
		return Plan{}, newInvalidError(err)
	}
	value = value.Unify(schemaValue.LookupPath(cue.ParsePath("#Configuration")))
	if err := value.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return Plan{}, newInvalidError(err)
	}
	var plan Plan
	if err := value.Decode(&plan); err != nil {
		return Plan{}, newInvalidError(err)
	}
	plan.setDefaults()
	return plan, plan.validate()
}

// maxEvaluationCost is what some 25 000 fields in one struct cost: about five seconds.
const maxEvaluationCost = 25_000 * 25_000

// evaluationCost is how much a document takes to evaluate: the square of each struct's fields.
func evaluationCost(file *ast.File) int64 {
	cost := int64(0)
	ast.Walk(file, func(node ast.Node) bool {
		if inner, ok := node.(*ast.StructLit); ok {
			cost += int64(len(inner.Elts)) * int64(len(inner.Elts))
		}
		return true
	}, nil)
	return cost
}

// change is the line that gives a parameter its value, if the document declares it.
func change(file *ast.File, path, text string) (string, error) {
	names := strings.Split(path, ".")
	if !json.Valid([]byte(text)) {
		return "", errcode.New(errcode.ConfigurationInvalid, "the value of %s is not JSON", path)
	}
	if !declaresPath(file.Decls, append([]string{"parameters"}, names...)) {
		return "", errcode.New(errcode.ConfigurationInvalid, "the document has no parameter %q", path)
	}
	line := "parameters: "
	for _, name := range names {
		line += strconv.Quote(name) + ": "
	}
	return line + text + "\n", nil
}

func declaresPath(declarations []ast.Decl, names []string) bool {
	for _, declaration := range declarations {
		field, ok := declaration.(*ast.Field)
		if !ok {
			continue
		}
		if name, _, err := ast.LabelName(field.Label); err != nil || name != names[0] {
			continue
		}
		if len(names) == 1 {
			return true
		}
		if inner, ok := field.Value.(*ast.StructLit); ok && declaresPath(inner.Elts, names[1:]) {
			return true
		}
	}
	return false
}

// What a document leaves out. The schema has no defaults of its own, so that a
// document's parameters can have them.
const (
	defaultQueueLimit        = 256
	defaultStartMilliseconds = 500
	defaultPriority          = 5
	defaultMaxTokens         = 64
	defaultRetryPercent      = 20
	defaultRetryAllowance    = 5
)

func setDefault[Number comparable](target *Number, value Number) {
	var zero Number
	if *target == zero {
		*target = value
	}
}

func (p *Plan) setDefaults() {
	for name, service := range p.Services {
		setDefault(&service.Queue, defaultQueueLimit)
		p.Services[name] = service
	}
	for name, tenant := range p.Tenants {
		percent, allowance := defaultRetryPercent, defaultRetryAllowance
		setDefault(&tenant.RepeatPercent, &percent)
		setDefault(&tenant.RepeatAllowance, &allowance)
		for kind, template := range tenant.Kinds {
			setDefault(&template.StartMilliseconds, defaultStartMilliseconds)
			setDefault(&template.Priority, defaultPriority)
			setDefault(&template.MostTokens, defaultMaxTokens)
			tenant.Kinds[kind] = template
		}
		p.Tenants[name] = tenant
	}
}

func newInvalidError(err error) error {
	lines := strings.TrimSpace(cueerrors.Details(err, nil))
	return errcode.New(errcode.ConfigurationInvalid, "%s", lines)
}

func (p *Plan) validate() error {
	for tenantName, tenant := range p.Tenants {
		for kind, template := range tenant.Kinds {
			path := "tenants." + tenantName + ".kinds." + kind
			service, known := p.Services[template.Service]
			if !known {
				return errcode.New(errcode.ConfigurationInvalid, "%s.service: no service %q", path, template.Service)
			}
			if _, exists := service.Prefixes[template.Prefix]; template.Prefix != "" && !exists {
				return errcode.New(errcode.ConfigurationInvalid, "%s.prefix: service %q has no prefix %q", path, template.Service, template.Prefix)
			}
			for kind, text := range map[policy.RuleKind]string{policy.KindMatch: template.Match, policy.KindRetry: template.RepeatWhen} {
				if _, err := policy.Compile(kind, text); text != "" && err != nil {
					return errcode.Wrap(err, errcode.ConfigurationInvalid, path)
				}
			}
			if template.StartMilliseconds > template.AbandonMilliseconds {
				return errcode.New(errcode.ConfigurationInvalid, "%s.startMilliseconds is above abandonMilliseconds", path)
			}
		}
	}
	return nil
}

// HasZone tells whether the plan knows the hall.
func (p *Plan) HasZone(name string) bool { return slices.Contains(p.Halls, name) }
