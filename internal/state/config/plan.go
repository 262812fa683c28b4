package config

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/policy"
)

// Prefix is a prompt prefix that requests share and whose KV cache engines can keep.
type Prefix struct {
	Tokens int `json:"tokens"`
}

// Service is a service of the document that serves a model.
type Service struct {
	// Versions are the model versions that may serve requests.
	Versions []string          `json:"versions"`
	Prefixes map[string]Prefix `json:"prefixes"`
	// Queue is the maximum number of requests that wait for an engine of the service at one
	// router. The default is 256.
	Queue int `json:"queue"`
}

// Template holds the service, the timeouts and the rules of one kind of request of a tenant.
type Template struct {
	Service string `json:"service"`
	Prefix  string `json:"prefix"`
	// StartMilliseconds is the timeout of the first token, 500 by default, and
	// TotalMilliseconds that of the whole response.
	StartMilliseconds int64 `json:"startMilliseconds"`
	TotalMilliseconds int64 `json:"abandonMilliseconds"`
	Priority          int   `json:"priority"`
	// Repeat allows that a request runs more than once.
	Repeat bool `json:"repeat"`
	// MaxTokens is the maximum number of tokens of a response. The default is 64.
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
	// RetryPercent is the ratio of the retry budget in percent, 20 by default, and
	// RetryAllowance its burst, 5 by default.
	RetryPercent   *int                `json:"repeatPercent"`
	RetryAllowance *int                `json:"repeatAllowance"`
	Kinds          map[string]Template `json:"kinds"`
	// Credentials are the digests of the tenant's API keys. A request must carry any one of
	// the keys; if there are no credentials, it needs no key.
	Credentials []credential.Digest `json:"credentials,omitempty"`
}

// Authenticate returns an error with code Unauthenticated if the tenant has credentials and the
// request carries none of their keys. It accepts an unknown tenant, which Template rejects.
func (p *Plan) Authenticate(tenant string, presented credential.Presented) error {
	digests := p.Tenants[tenant].Credentials
	if len(digests) == 0 || presented.MatchesAny(digests) {
		return nil
	}
	return presented.Rejection()
}

// RetryBudget returns the tenant's retry ratio in percent and its burst. A nil pointer
// means zero here: setDefaults replaced the missing values, and gob omits a pointer to
// zero, so that a zero is decoded as nil.
func (t Tenant) RetryBudget() (percent, allowance int) {
	if t.RetryPercent != nil {
		percent = *t.RetryPercent
	}
	if t.RetryAllowance != nil {
		allowance = *t.RetryAllowance
	}
	return percent, allowance
}

// Plan is an expanded document, in which all parameters and defaults are filled in.
type Plan struct {
	Zones    []string           `json:"halls"`
	Services map[string]Service `json:"services"`
	Tenants  map[string]Tenant  `json:"tenants"`
}

// Template returns the template of one kind of request of a tenant, or an error with code
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

// HasZone reports whether the plan contains a zone.
func (p *Plan) HasZone(name string) bool { return slices.Contains(p.Zones, name) }

// The defaults of fields that a document omits. The schema has none, so that the document's
// parameters can have defaults: CUE doesn't resolve two different defaults of one field.
const (
	defaultQueueLimit        = 256
	defaultStartMilliseconds = 500
	defaultPriority          = 5
	defaultMaxTokens         = 64
	defaultRetryPercent      = 20
	defaultRetryAllowance    = 5
)

// setDefault sets a zero target to a value.
func setDefault[Value comparable](target *Value, value Value) {
	var zero Value
	if *target == zero {
		*target = value
	}
}

// setDefaults fills in the fields that the document omits.
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
// document, the digests of credentials, and the rules and timeouts of templates.
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

// validateTemplate checks the references, the rules and the timeouts of a template. path is
// the template's path in the document, for the error.
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
