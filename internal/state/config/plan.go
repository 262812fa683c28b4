package config

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/policy"
)

// Prefix is a shared prompt prefix that engines can keep in their cache.
type Prefix struct {
	Tokens int `json:"tokens"`
}

// Service is a model service of the document.
type Service struct {
	// Versions are the model versions that may serve requests.
	Versions []string          `json:"versions"`
	Prefixes map[string]Prefix `json:"prefixes"`
	// Queue is the most requests that wait for an engine of the service at one router.
	Queue int `json:"queue"`
}

// Template holds the terms of one kind of request of a tenant.
type Template struct {
	Service string `json:"service"`
	Prefix  string `json:"prefix"`
	// StartMilliseconds is the deadline of the first token, TotalMilliseconds that of
	// the whole response.
	StartMilliseconds int64 `json:"startMilliseconds"`
	TotalMilliseconds int64 `json:"abandonMilliseconds"`
	Priority          int   `json:"priority"`
	// Repeat allows a request to run more than once.
	Repeat bool `json:"repeat"`
	// MaxTokens is the most tokens that a response may have.
	MaxTokens int `json:"mostTokens"`
	// Match and RetryWhen are rules of the kinds policy.KindMatch and policy.KindRetry.
	Match     string `json:"match"`
	RetryWhen string `json:"repeatWhen"`
}

// OneShot reports whether a request must never run a second time.
func (t Template) OneShot() bool { return !t.Repeat }

// StartTimeout returns the timeout of the first token.
func (t Template) StartTimeout() clock.Microseconds {
	return clock.Microseconds(t.StartMilliseconds) * clock.Millisecond
}

// TotalTimeout returns the timeout of the whole response.
func (t Template) TotalTimeout() clock.Microseconds {
	return clock.Microseconds(t.TotalMilliseconds) * clock.Millisecond
}

// Tenant is a caller of the fleet with the kinds of requests it may send.
type Tenant struct {
	// RetryPercent and RetryAllowance are the ratio and the burst of the retry budget.
	RetryPercent   *int                `json:"repeatPercent"`
	RetryAllowance *int                `json:"repeatAllowance"`
	Kinds          map[string]Template `json:"kinds"`
	// Credentials are the digests of the tenant's API keys, any of which may be used. Without
	// any, the tenant's requests need no key.
	Credentials []credential.Digest `json:"credentials,omitempty"`
}

// Authenticate rejects a request of a tenant, with the code Unauthenticated, if the document gives
// the tenant credentials and the request carries none of them. A tenant that is not known is left
// to Template.
func (p *Plan) Authenticate(tenant string, presented credential.Presented) error {
	digests := p.Tenants[tenant].Credentials
	if len(digests) == 0 || presented.MatchesAny(digests) {
		return nil
	}
	return presented.Rejection()
}

// RetryBudget returns the tenant's retry ratio in percent and its burst. gob leaves
// out a pointer to zero, so that a nil pointer stands for zero here.
func (t Tenant) RetryBudget() (percent, allowance int) {
	if t.RetryPercent != nil {
		percent = *t.RetryPercent
	}
	if t.RetryAllowance != nil {
		allowance = *t.RetryAllowance
	}
	return percent, allowance
}

// Plan is an expanded document: all parameters and defaults are filled in.
type Plan struct {
	Zones    []string           `json:"halls"`
	Services map[string]Service `json:"services"`
	Tenants  map[string]Tenant  `json:"tenants"`
}

// Template returns the template of a tenant's kind of request, or an error with code
// UnknownTenant or UnknownRequestKind.
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

// HasZone reports whether the plan names a zone.
func (p *Plan) HasZone(name string) bool { return slices.Contains(p.Zones, name) }

// The values of fields that a document leaves out. The schema has no defaults of its
// own, so that a document's parameters can have them.
const (
	defaultQueueLimit        = 256
	defaultStartMilliseconds = 500
	defaultPriority          = 5
	defaultMaxTokens         = 64
	defaultRetryPercent      = 20
	defaultRetryAllowance    = 5
)

func setDefault[Value comparable](target *Value, value Value) {
	var zero Value
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
		setDefault(&tenant.RetryPercent, &percent)
		setDefault(&tenant.RetryAllowance, &allowance)
		for kind, template := range tenant.Kinds {
			setDefault(&template.StartMilliseconds, defaultStartMilliseconds)
			setDefault(&template.Priority, defaultPriority)
			setDefault(&template.MaxTokens, defaultMaxTokens)
			tenant.Kinds[kind] = template
		}
		p.Tenants[name] = tenant
	}
}

// validate checks what the schema can't express: references between the parts of the
// document, and the rules of templates.
func (p *Plan) validate() error {
	keyOwners := map[credential.Digest]string{}
	for _, tenantName := range slices.Sorted(maps.Keys(p.Tenants)) {
		tenant := p.Tenants[tenantName]
		if err := credential.ValidateDigests(tenantName, tenant.Credentials, keyOwners); err != nil {
			return err
		}
		for kind, template := range tenant.Kinds {
			path := "tenants." + tenantName + ".kinds." + kind
			if err := p.validateTemplate(path, template); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Plan) validateTemplate(path string, template Template) error {
	service, known := p.Services[template.Service]
	if !known {
		return errcode.New(errcode.ConfigurationInvalid, "%s.service: no service %q", path, template.Service)
	}
	if _, exists := service.Prefixes[template.Prefix]; template.Prefix != "" && !exists {
		return errcode.New(
			errcode.ConfigurationInvalid, "%s.prefix: service %q has no prefix %q", path, template.Service, template.Prefix,
		)
	}
	rules := map[policy.RuleKind]string{policy.KindMatch: template.Match, policy.KindRetry: template.RetryWhen}
	for ruleKind, text := range rules {
		if _, err := policy.Compile(ruleKind, text); text != "" && err != nil {
			return errcode.Wrap(err, errcode.ConfigurationInvalid, path)
		}
	}
	if template.StartMilliseconds > template.TotalMilliseconds {
		return errcode.New(errcode.ConfigurationInvalid, "%s.startMilliseconds is above abandonMilliseconds", path)
	}
	return nil
}
