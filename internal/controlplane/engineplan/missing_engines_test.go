package engineplan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

func TestMissingEngines_OneListingRemovesNothing(t *testing.T) {
	Convey("an engine is removed once two successive listings lack it", t, func() {
		engines := listedEngines("rw")
		registered, completeList, partialList := enginesByName(engines), engines, engines[:1]
		missing, now := MissingEngines{}, clock.Second
		reconcile := func(listed []registry.Engine) int {
			now += clock.Second
			return len(missing.Reconcile(now, listed, registered))
		}
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 2)
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 2)
		So(reconcile(partialList), ShouldEqual, 1)
		// The engine is still registered because its removal was not committed. It still counts as gone.
		So(reconcile(partialList), ShouldEqual, 1)
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 0)
	})
	Convey("listings that lack an engine for less than minMissingInterval do not remove it", t, func() {
		engines := listedEngines("r")
		missing, now := MissingEngines{}, clock.Second
		for range 3 {
			So(missing.Reconcile(now, nil, enginesByName(engines)), ShouldHaveLength, 1)
			now += minMissingInterval / 3
		}
		So(missing.Reconcile(now, nil, enginesByName(engines)), ShouldBeEmpty)
	})
}
