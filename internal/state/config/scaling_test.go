package config_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// scalingRequest returns a request that sets a service with these scaling bounds, and that builds
// on label 5.
func scalingRequest(kind config.OperationKind, scaling route.Scaling) config.Request {
	service := route.Service{Name: "s", Scaling: &scaling}
	return config.Request{Kind: kind, Routing: &config.Routing{
		Label:       6,
		ParentLabel: 5,
		Digest:      "scaling",
		Services:    map[string]route.Service{"s": service},
	}}
}

func TestState_Scaling(t *testing.T) {
	invalid := route.Scaling{Min: 5, Max: 4}
	kinds := []config.OperationKind{config.OperationReplaceRoutes, config.OperationPatchRoutes}
	Convey("invalid bounds are rejected by Apply and change nothing", t, func() {
		for _, kind := range kinds {
			state := config.NewState()
			So(applyRequest(state, replaceRoutesRequest(5, 0)).Code, ShouldEqual, errcode.OK)
			outcome := applyRequest(state, scalingRequest(kind, invalid))
			So(outcome.Code, ShouldEqual, errcode.ConfigurationInvalid)
			So(outcome.Text, ShouldEqual, `4000 configuration-invalid: service "s": scaling: the minimum of 5 engines is above the maximum of 4`)
			So(state.View().Label, ShouldEqual, 5)
		}
	})
	Convey("Draft rejects invalid bounds too, since replicas of an earlier build would accept them in Apply", t, func() {
		for _, kind := range kinds {
			view := config.NewState().View()
			_, err := view.Draft(scalingRequest(kind, invalid))
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.ConfigurationInvalid)
		}
	})
	Convey("snapshots keep valid bounds, also if all of them are 0", t, func() {
		for _, scaling := range []route.Scaling{{}, {Min: 17, Max: 40, StartUp: 8 * clock.Second}} {
			state, restored := config.NewState(), config.NewState()
			applyRequest(state, replaceRoutesRequest(5, 0))
			So(applyRequest(state, scalingRequest(config.OperationPatchRoutes, scaling)).Code, ShouldEqual, errcode.OK)
			restored.Restore(state.Snapshot())
			So(restored.View().RouteTable.Services["s"].Scaling, ShouldResemble, &scaling)
		}
	})
}
