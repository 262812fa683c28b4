package route

import (
	"maps"
	"slices"
	"strings"

	"coursepass/internal/errcode"
)

// Check declines a book that can't be put in force, naming the place. Of several faults
// it always names the same one.
func (book *Book) Check() error {
	for _, name := range slices.Sorted(maps.Keys(book.Services)) {
		if name == "" || book.Services[name].Name != name {
			return mishap.New(mishap.ConfigurationInvalid, "services: name %q", name)
		}
	}
	type place struct{ host, prefix string }
	taken := make(map[place]string, len(book.Routes))
	for _, name := range slices.Sorted(maps.Keys(book.Routes)) {
		route := book.Routes[name]
		if name == "" || route.Name != name {
			return mishap.New(mishap.ConfigurationInvalid, "routes: name %q", name)
		}
		if err := route.Check(); err != nil {
			return err
		}
		for _, share := range route.Shares {
			if _, known := book.Services[share.Service]; !known {
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
func (route *Route) Check() error {
	bad := func(reason string) error {
		return mishap.New(mishap.ConfigurationInvalid, "route %q: %s", route.Name, reason)
	}
	switch {
	case route.Name == "":
		return bad("no name")
	case route.Host == "":
		return bad("no host")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return bad("the prefix must begin and end with a slash")
	case route.Kind != Repeatable && route.Kind != OneShot && route.Kind != Stream:
		return bad("unknown kind")
	case route.GiveUp <= 0:
		return bad("it is given up at once")
	case route.Start < 0 || route.Gap < 0 || route.Tries < 0 || route.Priority < 0:
		return bad("a number is below 0")
	}
	if slices.Contains(route.Homes, "") {
		return bad("a home has no name")
	}
	sum := 0
	for _, share := range route.Shares {
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
