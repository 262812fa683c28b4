package core

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// A core listens before its parts have begun: an order that comes then is not proposed.
func TestAnOrderBeforeThePartsHaveBegun(test *testing.T) {
	Convey("it ends as not proposed", test, func() {
		each, err := New(Settings{
			Place: setting.Place{Name: "core-0", Hall: "norte", Fleet: "early", Public: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"}},
			Inner: setting.Inner{Inner: "127.0.0.1:2", Parts: 2}, Lengths: setting.Lengths{Delta: 100, Lease: 1000}, Rewrite: 16, Data: test.TempDir(),
		}, setting.Incarnation(), circuit.System)
		So(err, ShouldBeNil)
		request := doorRequest(5, 0, 1)
		_, err = each.operate(context.Background(), &Errand{Configure: &request})
		So(mishap.CodeOf(err, mishap.OutcomeUnknown), ShouldEqual, mishap.NotOwner)
		_, err = each.operate(context.Background(), &Errand{Read: true})
		So(mishap.CodeOf(err, mishap.OutcomeUnknown), ShouldEqual, mishap.NotOwner)
	})
}
