package route_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/route"
)

func book() *route.Book {
	return &route.Book{
		Routes: map[string]route.Route{
			"a": {Name: "a", Host: "h", Prefix: "/", Kind: route.Repeatable, Shares: []route.Share{{"s", 1}}, GiveUp: schedule.Second},
			"b": {Name: "b", Host: "h", Prefix: "/b/", Kind: route.Stream, Shares: []route.Share{{"s", 0}, {"t", 3}}, GiveUp: schedule.Second},
		},
		Services: map[string]route.Service{"s": {Name: "s"}, "t": {Name: "t"}},
	}
}

func TestBooksAreChecked(test *testing.T) {
	Convey("a good book and an empty one pass", test, func() {
		So(book().Check(), ShouldBeNil)
		So(new(route.Book).Check(), ShouldBeNil)
	})
	faults := map[string]func(*route.Route){
		"unknown service":    func(each *route.Route) { each.Shares[1].Service = "u" },
		"same place":         func(each *route.Route) { each.Prefix = "/" },
		"weights of 0":       func(each *route.Route) { each.Shares[1].Weight = 0 },
		"a weight below 0":   func(each *route.Route) { each.Shares[0].Weight = -1 },
		"no service":         func(each *route.Route) { each.Shares = nil },
		"given up at once":   func(each *route.Route) { each.GiveUp = 0 },
		"given up before":    func(each *route.Route) { each.GiveUp = -1 },
		"no slash at first":  func(each *route.Route) { each.Prefix = "b/" },
		"no slash at last":   func(each *route.Route) { each.Prefix = "/b" },
		"no prefix":          func(each *route.Route) { each.Prefix = "" },
		"no host":            func(each *route.Route) { each.Host = "" },
		"no name":            func(each *route.Route) { each.Name = "" },
		"another's name":     func(each *route.Route) { each.Name = "a" },
		"unknown kind":       func(each *route.Route) { each.Kind = "" },
		"a start below 0":    func(each *route.Route) { each.Start = -1 },
		"a pause below 0":    func(each *route.Route) { each.Gap = -1 },
		"tries below 0":      func(each *route.Route) { each.Tries = -1 },
		"a priority below 0": func(each *route.Route) { each.Priority = -1 },
	}
	for name, spoil := range faults {
		Convey(name+" is declined", test, func() {
			spoiled := book()
			each := spoiled.Routes["b"]
			spoil(&each)
			spoiled.Routes["b"] = each
			So(mishap.CodeOf(spoiled.Check(), 0), ShouldEqual, mishap.ConfigurationInvalid)
		})
	}
	Convey("a service without its name is declined", test, func() {
		spoiled := book()
		spoiled.Services["u"] = route.Service{}
		So(mishap.CodeOf(spoiled.Check(), 0), ShouldEqual, mishap.ConfigurationInvalid)
	})
	Convey("of several faults the same one is named each time", test, func() {
		spoiled := book()
		for _, name := range []string{"x", "y", "z"} {
			spoiled.Routes[name] = route.Route{Name: name}
		}
		for range 50 {
			So(mishap.Text(spoiled.Check()), ShouldContainSubstring, `"x"`)
		}
	})
}
