package maintenance_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/maintenance"
)

const second = clock.Second

func newWindow(revision uint64, phase maintenance.Phase) maintenance.Window {
	return maintenance.Window{Region: "north", StartsAfter: 10 * second, Duration: 20 * second, Revision: revision, Phase: phase}
}

func TestTracker_Phases(t *testing.T) {
	Convey("a window starts and ends at the announced times", t, func() {
		tracker := &maintenance.Tracker{}
		So(tracker.HasActive(), ShouldBeFalse)
		tracker.Update(100*second, []maintenance.Window{newWindow(3, maintenance.PhaseAnnounced)})
		So(tracker.HasStarted(110*second-1, "north"), ShouldBeFalse)
		So(tracker.HasStarted(110*second, "north"), ShouldBeTrue)
		So(tracker.HasStarted(200*second, "south"), ShouldBeFalse)
		So(tracker.Phase(130*second-1, "north"), ShouldEqual, maintenance.PhaseStarted)
		So(tracker.Phase(130*second, "north"), ShouldEqual, maintenance.PhaseEnded)
	})
}

func TestTracker_UpdateKeepsTimes(t *testing.T) {
	Convey("an update with the same window keeps its times, and a later window has its own times", t, func() {
		tracker := &maintenance.Tracker{}
		tracker.Update(100*second, []maintenance.Window{newWindow(3, maintenance.PhaseAnnounced)})
		tracker.Update(105*second, []maintenance.Window{newWindow(3, maintenance.PhaseAnnounced)})
		So(tracker.HasStarted(110*second, "north"), ShouldBeTrue)
		tracker.Update(106*second, []maintenance.Window{newWindow(4, maintenance.PhaseAnnounced)})
		So(tracker.HasStarted(110*second, "north"), ShouldBeFalse)
		So(tracker.HasStarted(116*second, "north"), ShouldBeTrue)
		tracker.Update(120*second, nil)
		So(tracker.HasStarted(120*second, "north"), ShouldBeFalse)
	})
}

func TestTracker_FollowsRecordedPhase(t *testing.T) {
	Convey("a daemon that learns of a window late has the most advanced recorded phase, in any order of updates", t, func() {
		phases := []maintenance.Phase{maintenance.PhaseAnnounced, maintenance.PhaseStarted, maintenance.PhaseEnded}
		orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
		for _, order := range orders {
			tracker := &maintenance.Tracker{}
			reached := maintenance.PhaseAnnounced
			for _, index := range order {
				tracker.Update(100*second, []maintenance.Window{newWindow(3, phases[index])})
				reached = max(reached, phases[index])
				So(tracker.Phase(100*second, "north"), ShouldEqual, reached)
			}
		}
	})
}

// closedForWork reports whether the region "north" is closed for the work.
func closedForWork(tracker *maintenance.Tracker, at clock.Microseconds, work maintenance.Work) bool {
	return tracker.ClosedRegions(at, work)["north"]
}

// countLeaving returns the number of sessions out of 1000 that must leave the region "north",
// and the number of names out of 1000 whose new work the region is closed for.
func countLeaving(tracker *maintenance.Tracker, at clock.Microseconds) (migrating, closed int) {
	for number := range 1000 {
		name := fmt.Sprint("flag-", number)
		if tracker.ShouldMigrate(at, "north", name) {
			migrating++
		}
		if closedForWork(tracker, at, maintenance.Work{Name: name, EndsBy: at + second, Movable: true}) {
			closed++
		}
	}
	return migrating, closed
}

func TestTracker_SpreadsMigrations(t *testing.T) {
	Convey("sessions leave one by one during the window, and new work stops gradually before it", t, func() {
		tracker := &maintenance.Tracker{}
		tracker.Update(100*second, []maintenance.Window{newWindow(3, maintenance.PhaseAnnounced)})
		migrating, closed := countLeaving(tracker, 104*second)
		So(migrating+closed, ShouldEqual, 0)
		migrating, closed = countLeaving(tracker, 107*second)
		So(migrating, ShouldEqual, 0)
		So(closed, ShouldBeBetween, 350, 600)
		migrating, closed = countLeaving(tracker, 110*second-maintenance.LeadTime)
		So(migrating, ShouldEqual, 0)
		So(closed, ShouldEqual, 1000)
		migrating, _ = countLeaving(tracker, 115*second)
		So(migrating, ShouldBeBetween, 200, 300)
		migrating, _ = countLeaving(tracker, 130*second)
		So(migrating, ShouldEqual, 1000)
	})
}

func TestTracker_ClosesForUnmovableWork(t *testing.T) {
	Convey("a region is closed for work that can't be moved and may run beyond the end of the window", t, func() {
		tracker := &maintenance.Tracker{}
		tracker.Update(100*second, []maintenance.Window{newWindow(3, maintenance.PhaseAnnounced)})
		fitting := maintenance.Work{Name: "note", EndsBy: 130 * second}
		So(closedForWork(tracker, 101*second, fitting), ShouldBeFalse)
		outlasting := maintenance.Work{Name: "note", EndsBy: 130*second + 1}
		So(closedForWork(tracker, 101*second, outlasting), ShouldBeTrue)
		movable := maintenance.Work{Name: "flag", EndsBy: 130*second + 1, Movable: true}
		So(closedForWork(tracker, 101*second, movable), ShouldBeFalse)
	})
}
