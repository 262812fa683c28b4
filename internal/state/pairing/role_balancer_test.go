package pairing_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

func TestRoleBalancer_FollowsLoadWithoutFlapping(t *testing.T) {
	Convey("a lasting load change moves one engine per stabilization window, an oscillating load moves none", t, func() {
		roleBalancer := &pairing.RoleBalancer{StabilizationWindow: 5 * clock.Second}
		prefillEngines, moves, now := 6, 0, clock.Second
		advance := func(seconds int, fraction func(step int) float64) {
			for step := range seconds * 2 {
				now += clock.Second / 2
				next := roleBalancer.PrefillCount(now, 12, prefillEngines, fraction(step))
				if next != prefillEngines {
					moves++
					So(next-prefillEngines, ShouldBeBetween, -2, 2)
				}
				prefillEngines = next
			}
		}
		advance(60, func(int) float64 { return 0.9 })
		So(prefillEngines, ShouldBeGreaterThanOrEqualTo, 9)
		advance(60, func(int) float64 { return 0.1 })
		So(prefillEngines, ShouldBeLessThanOrEqualTo, 3)
		So(prefillEngines, ShouldBeGreaterThanOrEqualTo, 1)
		moves = 0
		advance(60, func(step int) float64 { return 0.2 + 0.5*float64(step%2) })
		So(moves, ShouldEqual, 0)
	})
	Convey("from four engines on, each role keeps two engines, so that one is left after the loss of a zone", t, func() {
		for count := 5; count <= 12; count++ {
			roleBalancer := &pairing.RoleBalancer{}
			prefillEngines := count / 2
			for step := range 100 {
				prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(step), count, prefillEngines, float64(step/50))
				So(prefillEngines, ShouldBeBetweenOrEqual, 2, count-2)
			}
		}
	})
	Convey("each role keeps at least one engine", t, func() {
		roleBalancer := &pairing.RoleBalancer{}
		prefillEngines := 1
		for step := range 50 {
			prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(step), 3, prefillEngines, float64(step/25))
			So(prefillEngines, ShouldBeBetween, 0, 3)
		}
	})
}

// A group of six or more engines must keep three decode engines even if all its work is
// prefill, because one may be lost while another is still warming up.
func TestRoleBalancer_KeepsThreeDecodeEngines(t *testing.T) {
	for count := 6; count <= 12; count++ {
		roleBalancer := &pairing.RoleBalancer{StabilizationWindow: clock.Second}
		prefillEngines := 2
		for step := range 50 {
			prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(step)*2*clock.Second, count, prefillEngines, 1)
		}
		if decodeEngines := count - prefillEngines; decodeEngines != 3 {
			t.Errorf("%d of %d engines decode, want 3", decodeEngines, count)
		}
	}
}
