package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
)

const (
	// MaxEnginesPerZone is the maximum value of Scaling.Max, the number of a service's engines in one
	// zone.
	MaxEnginesPerZone = 100_000
	// MaxStartUp is the maximum value of Scaling.StartUp: a new engine may take one day to start.
	MaxStartUp = 24 * 3600 * clock.Second
)

// Validate returns an error if the table can't be activated. The error has the code
// ConfigurationInvalid and names the route, service or tenant. Errors are replicated as outcomes
// of operations, so all replicas must return the same one: the checks run in a fixed order, and
// the error texts must stay byte for byte the same across builds. New checks come after those of
// earlier builds, so that a table that an earlier build rejects keeps the error text of that build.
func (t *Table) Validate() error {
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if name == "" || t.Services[name].Name != name {
			return errcode.New(errcode.ConfigurationInvalid, "services: name %q", name)
		}
	}
	if err := t.validateRoutes(); err != nil {
		return err
	}
	if err := ValidateScaling(t.Services); err != nil {
		return err
	}
	return credential.Validate(t.Tenants)
}

// ValidateScaling returns an error if the scaling bounds of a service are invalid. It takes only
// the services, so that an operation can also be checked before it is proposed. Members of
// earlier builds, which don't support scaling and would accept the operation, then never receive
// an operation that this build rejects for its scaling bounds.
func ValidateScaling(services map[string]Service) error {
	for _, name := range slices.Sorted(maps.Keys(services)) {
		scaling := services[name].Scaling
		if scaling == nil {
			continue
		}
		if reason := scaling.invalidReason(); reason != "" {
			return errcode.New(errcode.ConfigurationInvalid, "service %q: scaling: %s", name, reason)
		}
	}
	return nil
}

// invalidReason returns the reason why the bounds are invalid, or "" if they are valid.
func (s *Scaling) invalidReason() string {
	switch {
	case s.Min < 0 || s.Max < 0 || s.StartUp < 0:
		return "a number is below 0"
	case s.Min > s.Max:
		return fmt.Sprintf("the minimum of %d engines is above the maximum of %d", s.Min, s.Max)
	case s.Max > MaxEnginesPerZone:
		return fmt.Sprintf("%d engines in a zone are more than %d", s.Max, MaxEnginesPerZone)
	case s.StartUp > MaxStartUp:
		return "an engine takes longer than a day to start"
	}
	return ""
}

func (t *Table) validateRoutes() error {
	type location struct{ host, prefix string }
	routeByLocation := make(map[location]string, len(t.Routes))
	for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
		route := t.Routes[name]
		if name == "" || route.Name != name {
			return errcode.New(errcode.ConfigurationInvalid, "routes: name %q", name)
		}
		if err := route.Validate(); err != nil {
			return err
		}
		for _, weighted := range route.Services {
			if _, ok := t.Services[weighted.Service]; !ok {
				return errcode.New(errcode.ConfigurationInvalid, "route %q: unknown service %q", name, weighted.Service)
			}
		}
		routeLocation := location{route.Host, route.Prefix}
		if other, ok := routeByLocation[routeLocation]; ok {
			return errcode.New(errcode.ConfigurationInvalid, "routes %q and %q have the same host and prefix", other, name)
		}
		routeByLocation[routeLocation] = name
	}
	return nil
}

// Validate returns an error if the route is invalid. It doesn't check whether the route's services
// exist.
func (r *Route) Validate() error {
	invalid := func(reason string) error {
		return errcode.New(errcode.ConfigurationInvalid, "route %q: %s", r.Name, reason)
	}
	switch {
	case r.Name == "":
		return invalid("no name")
	case r.Host == "":
		return invalid("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("the prefix must begin and end with a slash")
	case r.Kind != KindRepeatable && r.Kind != KindOneShot && r.Kind != KindStream:
		return invalid("unknown kind")
	case r.TotalTimeout <= 0:
		return invalid("it is given up at once")
	case r.StartTimeout < 0 || r.EventTimeout < 0 || r.MaxAttempts < 0 || r.Priority < 0:
		return invalid("a number is below 0")
	}
	if slices.Contains(r.Regions, "") {
		return invalid("a home has no name")
	}
	return r.validateWeights(invalid)
}

func (r *Route) validateWeights(invalid func(reason string) error) error {
	sum := 0
	for _, weighted := range r.Services {
		if weighted.Weight < 0 {
			return invalid("a weight is below 0")
		}
		sum += weighted.Weight
	}
	if sum <= 0 {
		return invalid("the weights add up to 0")
	}
	return nil
}
