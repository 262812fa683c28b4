// Package configuration owns what operators put in force: the catalogue of
// capabilities, tenant templates and their parameters, written in CUE.
package configuration

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

// Largest is the largest document that is read, in bytes.
const Largest = 8 << 20

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

// Start is the budget until the first token.
func (t Template) Start() schedule.Microseconds {
	return schedule.Microseconds(t.StartMilliseconds) * schedule.Millisecond
}

// Abandon is the budget of the whole answer.
func (t Template) Abandon() schedule.Microseconds {
	return schedule.Microseconds(t.AbandonMilliseconds) * schedule.Millisecond
}

// Tenant is one of those who call.
type Tenant struct {
	RepeatPercent   *int                `json:"repeatPercent"`
	RepeatAllowance *int                `json:"repeatAllowance"`
	Kinds           map[string]Template `json:"kinds"`
}

// Share is the tenant's percentage and allowance of repeats. A zero is lost on its
// way through gob, and comes back as none.
func (t Tenant) Share() (percent, allowance int) {
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
	found, known := p.Tenants[tenant]
	if !known {
		return Template{}, mishap.New(mishap.UnknownTenant, "tenant %q", tenant)
	}
	template, known := found.Kinds[kind]
	if !known {
		return Template{}, mishap.New(mishap.UnknownKind, "tenant %q, kind %q", tenant, kind)
	}
	return template, nil
}

// Expand reads a document, fills in the changed parameters and checks all of it.
// Changes map a path below parameters to a value in JSON; they are read together with
// the document, since each evaluation costs.
func Expand(document string, changes map[string]string) (Plan, error) {
	if len(document) > Largest {
		return Plan{}, mishap.New(mishap.ConfigurationInvalid, "the document has more than %d bytes", Largest)
	}
	file, err := parser.ParseFile("configuration.cue", document)
	if err != nil {
		return Plan{}, declined(err)
	}
	if spent := cost(file); spent > mostCost {
		return Plan{}, mishap.New(mishap.ConfigurationCostly, "cost %d of at most %d, by the squares of the fields of each struct", spent, int64(mostCost))
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
	shapes := context.CompileString(schema, cue.Filename("schema.cue"))
	value := context.CompileString(source, cue.Filename("configuration.cue"), cue.Scope(shapes))
	if err := value.Err(); err != nil {
		return Plan{}, declined(err)
	}
	value = value.Unify(shapes.LookupPath(cue.ParsePath("#Configuration")))
	if err := value.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return Plan{}, declined(err)
	}
	var plan Plan
	if err := value.Decode(&plan); err != nil {
		return Plan{}, declined(err)
	}
	plan.fill()
	return plan, plan.check()
}

// mostCost is what some 25 000 fields in one struct cost: about five seconds.
const mostCost = 25_000 * 25_000

// cost is how much a document takes to evaluate: the square of each struct's fields.
func cost(file *ast.File) int64 {
	spent := int64(0)
	ast.Walk(file, func(node ast.Node) bool {
		if inner, yes := node.(*ast.StructLit); yes {
			spent += int64(len(inner.Elts)) * int64(len(inner.Elts))
		}
		return true
	}, nil)
	return spent
}

// change is the line that gives a parameter its value, if the document declares it.
func change(file *ast.File, path, text string) (string, error) {
	names := strings.Split(path, ".")
	if !json.Valid([]byte(text)) {
		return "", mishap.New(mishap.ConfigurationInvalid, "the value of %s is not JSON", path)
	}
	if !declares(file.Decls, append([]string{"parameters"}, names...)) {
		return "", mishap.New(mishap.ConfigurationInvalid, "the document has no parameter %q", path)
	}
	line := "parameters: "
	for _, name := range names {
		line += strconv.Quote(name) + ": "
	}
	return line + text + "\n", nil
}

func declares(declarations []ast.Decl, names []string) bool {
	for _, declaration := range declarations {
		field, yes := declaration.(*ast.Field)
		if !yes {
			continue
		}
		if name, _, err := ast.LabelName(field.Label); err != nil || name != names[0] {
			continue
		}
		if len(names) == 1 {
			return true
		}
		if inner, yes := field.Value.(*ast.StructLit); yes && declares(inner.Elts, names[1:]) {
			return true
		}
	}
	return false
}

// What a document leaves out. The schema has no defaults of its own, so that a
// document's parameters can have them.
const (
	defaultQueue     = 256
	defaultStart     = 500
	defaultPriority  = 5
	defaultTokens    = 64
	defaultPercent   = 20
	defaultAllowance = 5
)

func fill[Number comparable](into *Number, value Number) {
	var absent Number
	if *into == absent {
		*into = value
	}
}

func (p *Plan) fill() {
	for name, service := range p.Services {
		fill(&service.Queue, defaultQueue)
		p.Services[name] = service
	}
	for name, tenant := range p.Tenants {
		percent, allowance := defaultPercent, defaultAllowance
		fill(&tenant.RepeatPercent, &percent)
		fill(&tenant.RepeatAllowance, &allowance)
		for kind, template := range tenant.Kinds {
			fill(&template.StartMilliseconds, defaultStart)
			fill(&template.Priority, defaultPriority)
			fill(&template.MostTokens, defaultTokens)
			tenant.Kinds[kind] = template
		}
		p.Tenants[name] = tenant
	}
}

func declined(err error) error {
	lines := strings.TrimSpace(cueerrors.Details(err, nil))
	return mishap.New(mishap.ConfigurationInvalid, "%s", lines)
}

func (p *Plan) check() error {
	for tenant, each := range p.Tenants {
		for kind, template := range each.Kinds {
			place := "tenants." + tenant + ".kinds." + kind
			service, known := p.Services[template.Service]
			if !known {
				return mishap.New(mishap.ConfigurationInvalid, "%s.service: no service %q", place, template.Service)
			}
			if _, held := service.Prefixes[template.Prefix]; template.Prefix != "" && !held {
				return mishap.New(mishap.ConfigurationInvalid, "%s.prefix: service %q has no prefix %q", place, template.Service, template.Prefix)
			}
			for kind, text := range map[rule.Kind]string{rule.Match: template.Match, rule.Repeat: template.RepeatWhen} {
				if _, err := rule.Read(kind, text); text != "" && err != nil {
					return mishap.Wrap(err, mishap.ConfigurationInvalid, place)
				}
			}
			if template.StartMilliseconds > template.AbandonMilliseconds {
				return mishap.New(mishap.ConfigurationInvalid, "%s.startMilliseconds is above abandonMilliseconds", place)
			}
		}
	}
	return nil
}

// HasHall tells whether the plan knows the hall.
func (p *Plan) HasHall(name string) bool { return slices.Contains(p.Halls, name) }
