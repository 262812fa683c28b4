package route_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/route"
)

func newTable() *route.Table {
	return &route.Table{
		Routes: map[string]route.Route{
			"a": {
				Name:         "a",
				Host:         "h",
				Prefix:       "/",
				Kind:         route.KindRepeatable,
				Services:     []route.WeightedService{{"s", 1}},
				TotalTimeout: clock.Second,
			},
			"b": {
				Name:         "b",
				Host:         "h",
				Prefix:       "/b/",
				Kind:         route.KindStream,
				Services:     []route.WeightedService{{"s", 0}, {"t", 3}},
				TotalTimeout: clock.Second,
			},
		},
		Services: map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
	}
}

func TestTable_Validate(t *testing.T) {
	Convey("a valid table and an empty one pass", t, func() {
		So(newTable().Validate(), ShouldBeNil)
		So(new(route.Table).Validate(), ShouldBeNil)
	})
	mutations := map[string]func(*route.Route){
		"unknown service":          func(candidate *route.Route) { candidate.Services[1].Service = "u" },
		"same prefix":              func(candidate *route.Route) { candidate.Prefix = "/" },
		"weights that add up to 0": func(candidate *route.Route) { candidate.Services[1].Weight = 0 },
		"a weight below 0":         func(candidate *route.Route) { candidate.Services[0].Weight = -1 },
		"no service":               func(candidate *route.Route) { candidate.Services = nil },
		"timeout of 0":             func(candidate *route.Route) { candidate.TotalTimeout = 0 },
		"timeout below 0":          func(candidate *route.Route) { candidate.TotalTimeout = -1 },
		"no leading slash":         func(candidate *route.Route) { candidate.Prefix = "b/" },
		"no trailing slash":        func(candidate *route.Route) { candidate.Prefix = "/b" },
		"no prefix":                func(candidate *route.Route) { candidate.Prefix = "" },
		"no host":                  func(candidate *route.Route) { candidate.Host = "" },
		"no name":                  func(candidate *route.Route) { candidate.Name = "" },
		"name of another route":    func(candidate *route.Route) { candidate.Name = "a" },
		"unknown kind":             func(candidate *route.Route) { candidate.Kind = "" },
		"a start timeout below 0":  func(candidate *route.Route) { candidate.StartTimeout = -1 },
		"an event timeout below 0": func(candidate *route.Route) { candidate.EventTimeout = -1 },
		"maximum attempts below 0": func(candidate *route.Route) { candidate.MaxAttempts = -1 },
		"a priority below 0":       func(candidate *route.Route) { candidate.Priority = -1 },
	}
	for name, mutate := range mutations {
		Convey(name+" is rejected", t, func() {
			table := newTable()
			candidate := table.Routes["b"]
			mutate(&candidate)
			table.Routes["b"] = candidate
			So(errcode.CodeOf(table.Validate(), 0), ShouldEqual, errcode.ConfigurationInvalid)
		})
	}
	Convey("a service whose name differs from its key is rejected", t, func() {
		table := newTable()
		table.Services["u"] = route.Service{}
		So(errcode.CodeOf(table.Validate(), 0), ShouldEqual, errcode.ConfigurationInvalid)
	})
	Convey("of several errors the same one is always returned", t, func() {
		table := newTable()
		for _, name := range []string{"x", "y", "z"} {
			table.Routes[name] = route.Route{Name: name}
		}
		for range 50 {
			So(errcode.Text(table.Validate()), ShouldContainSubstring, `"x"`)
		}
	})
}
