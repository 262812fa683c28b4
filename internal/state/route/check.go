package route

import (
	"maps"
	"slices"
	"strings"

	"coursepass/internal/errcode"
)

// Check declines a book that can't be put in force, naming the place. Of several faults
// it always names the same one.
func (t *Book) Check() error {
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if name == "" || t.Services[name].Name != name {
			return mishap.New(mishap.ConfigurationInvalid, "services: name %q", name)
		}
	}
	type place struct{ host, prefix string }
	taken := make(map[place]string, len(t.Routes))
	for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
		route := t.Routes[name]
		if name == "" || route.Name != name {
			return mishap.New(mishap.ConfigurationInvalid, "routes: name %q", name)
		}
		if err := route.Check(); err != nil {
			return err
		}
		for _, share := range route.Shares {
			if _, known := t.Services[share.Service]; !known {
				return mishap.New(mishap.ConfigurationInvalid, "route %q: unknown service %q", name, share.Service)
			}
		}
		at := place{route.Host, route.Prefix}
		if other, known := taken[at]; known {
			return mishap.New(mishap.ConfigurationInvalid, "routes %q and %q have the same host and prefix", other, name)
		}
		taken[at] = name
	}
	return nil
}

// Check declines a route that can't be put in force with whatever services.
func (r *Route) Check() error {
	bad := func(reason string) error {
		return mishap.New(mishap.ConfigurationInvalid, "route %q: %s", r.Name, reason)
	}
	switch {
	case r.Name == "":
		return bad("no name")
	case r.Host == "":
		return bad("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return bad("the prefix must begin and end with a slash")
	case r.Kind != Repeatable && r.Kind != OneShot && r.Kind != Stream:
		return bad("unknown kind")
	case r.GiveUp <= 0:
		return bad("it is given up at once")
	case r.Start < 0 || r.Gap < 0 || r.Tries < 0 || r.Priority < 0:
		return bad("a number is below 0")
	}
	if slices.Contains(r.Homes, "") {
		return bad("a home has no name")
	}
	sum := 0
	for _, share := range r.Shares {
		if share.Weight < 0 {
			return bad("a weight is below 0")
		}
		sum += share.Weight
	}
	if sum <= 0 {
		return bad("the weights add up to 0")
	}
	return nil
}
