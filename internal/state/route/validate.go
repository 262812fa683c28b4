package route

import (
	"maps"
	"slices"
	"strings"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
)

// Validate rejects a table that can't be put in force. Its errors have the code
// ConfigurationInvalid and name the route, service or tenant. They are replicated as outcomes of
// operations: of several faults the same one is always reported, and the texts are kept byte
// for byte from build to build.
func (t *Table) Validate() error {
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if name == "" || t.Services[name].Name != name {
			return errcode.New(errcode.ConfigurationInvalid, "services: name %q", name)
		}
	}
	if err := t.validateRoutes(); err != nil {
		return err
	}
	return credential.Validate(t.Tenants)
}

func (t *Table) validateRoutes() error {
	type location struct{ host, prefix string }
	owners := make(map[location]string, len(t.Routes))
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
		target := location{route.Host, route.Prefix}
		if other, ok := owners[target]; ok {
			return errcode.New(errcode.ConfigurationInvalid, "routes %q and %q have the same host and prefix", other, name)
		}
		owners[target] = name
	}
	return nil
}

// Validate rejects a route that is invalid by itself, whatever the services are.
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
