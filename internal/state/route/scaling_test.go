package route_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/route"
)

// textPrefix is the prefix of the error texts.
const textPrefix = "4000 configuration-invalid: "

func TestTable_ValidatesScaling(t *testing.T) {
	validate := func(scaling route.Scaling) error {
		table := newTable()
		table.Services["t"] = route.Service{Name: "t", Scaling: &scaling}
		return table.Validate()
	}
	Convey("valid bounds pass", t, func() {
		for _, scaling := range []route.Scaling{
			{},
			{Min: 17, Max: 40, StartUp: 8 * clock.Second},
			{Min: 5, Max: 5},
			{Max: route.MaxEnginesPerZone, StartUp: route.MaxStartUp},
		} {
			So(validate(scaling), ShouldBeNil)
		}
	})
	Convey("invalid bounds are rejected with a reason", t, func() {
		for reason, scaling := range map[string]route.Scaling{
			"a number is below 0":                                {Min: -1, Max: 4},
			"the minimum of 5 engines is above the maximum of 4": {Min: 5, Max: 4},
			"100001 engines in a zone are more than 100000":      {Max: route.MaxEnginesPerZone + 1},
			"an engine takes longer than a day to start":         {Max: 1, StartUp: route.MaxStartUp + 1},
		} {
			err := validate(scaling)
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
			So(errcode.Text(err), ShouldEqual, textPrefix+`service "t": scaling: `+reason)
		}
		for _, scaling := range []route.Scaling{{Max: -1}, {StartUp: -1}, {Min: -3, Max: -2}} {
			So(errcode.Text(validate(scaling)), ShouldEqual, textPrefix+`service "t": scaling: a number is below 0`)
		}
	})
	Convey("a table that earlier builds reject keeps their error text", t, func() {
		table := newTable()
		table.Services["s"] = route.Service{Name: "s", Scaling: &route.Scaling{Min: 1}}
		table.Routes["c"] = route.Route{Name: "c"}
		So(errcode.Text(table.Validate()), ShouldEqual, textPrefix+`route "c": no host`)
		delete(table.Routes, "c")
		So(errcode.Text(table.Validate()), ShouldStartWith, textPrefix+`service "s": scaling: `)
	})
}
