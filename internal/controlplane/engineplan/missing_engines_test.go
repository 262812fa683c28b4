package engineplan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

func TestMissingEngines_OneListingRemovesNothing(t *testing.T) {
	Convey("an engine is dropped once two successive listings lack it", t, func() {
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
		// The removal was not committed: the engine is still proved gone.
		So(reconcile(partialList), ShouldEqual, 1)
		So(reconcile(completeList), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 2)
		So(reconcile(nil), ShouldEqual, 0)
	})
	Convey("two listings of one moment count as one", t, func() {
		engines := listedEngines("r")
		missing, now := MissingEngines{}, clock.Second
		for range 3 {
			So(missing.Reconcile(now, nil, enginesByName(engines)), ShouldHaveLength, 1)
			now += minMissingInterval / 3
		}
		So(missing.Reconcile(now, nil, enginesByName(engines)), ShouldBeEmpty)
	})
}
