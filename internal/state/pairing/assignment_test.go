package pairing_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

func TestRoleBalancer_FollowsLoadWithoutFlapping(t *testing.T) {
	Convey("a swing of the mix moves one engine each settling span, and back", t, func() {
		roleBalancer := &pairing.RoleBalancer{StabilizationWindow: 5 * clock.Second}
		prefillEngines, moves, now := 6, 0, clock.Second
		step := func(seconds int, fraction func(turn int) float64) {
			for turn := range seconds * 2 {
				now += clock.Second / 2
				next := roleBalancer.PrefillCount(now, 12, prefillEngines, fraction(turn))
				if next != prefillEngines {
					moves++
					So(next-prefillEngines, ShouldBeBetween, -2, 2)
				}
				prefillEngines = next
			}
		}
		step(60, func(int) float64 { return 0.9 })
		So(prefillEngines, ShouldBeGreaterThanOrEqualTo, 9)
		step(60, func(int) float64 { return 0.1 })
		So(prefillEngines, ShouldBeLessThanOrEqualTo, 3)
		So(prefillEngines, ShouldBeGreaterThanOrEqualTo, 1)
		moves = 0
		step(60, func(turn int) float64 { return 0.2 + 0.5*float64(turn%2) })
		So(moves, ShouldEqual, 0)
	})
	Convey("from four engines on, each part keeps two, so that a lost hall leaves one", t, func() {
		for count := 5; count <= 12; count++ {
			roleBalancer, prefillEngines := &pairing.RoleBalancer{}, count/2
			for turn := range 100 {
				prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(turn), count, prefillEngines, float64(turn/50))
				So(prefillEngines, ShouldBeBetweenOrEqual, 2, count-2)
			}
		}
	})
	Convey("each part keeps an engine", t, func() {
		roleBalancer := &pairing.RoleBalancer{}
		prefillEngines := 1
		for turn := range 50 {
			prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(turn), 3, prefillEngines, float64(turn/25))
			So(prefillEngines, ShouldBeBetween, 0, 3)
		}
	})
}

func TestAssignPairs_SameVersionPrefersSameZone(t *testing.T) {
	Convey("for every split of six engines", t, func() {
		for bits := range 1 << 6 {
			var candidates []pairing.Candidate
			for number := range 6 {
				role := pairing.RolePrefill
				if bits>>number&1 > 0 {
					role = pairing.RoleDecode
				}
				candidates = append(candidates, pairing.Candidate{Name: fmt.Sprint("e", number), Zone: fmt.Sprint("h", number%3), Version: fmt.Sprint("v", number/3), Role: role})
			}
			assignment := pairing.AssignPairs("s", "o", 4, candidates)
			for _, pair := range assignment.Pairs {
				prefillEngine, decodeEngine := pair.Prefill[1]-'0', pair.Decode[1]-'0'
				if prefillEngine/3 != decodeEngine/3 || bits>>prefillEngine&1 > 0 || bits>>decodeEngine&1 == 0 {
					t.Fatalf("bits %b: %+v", bits, pair)
				}
				if sameZone := prefillEngine%3 == decodeEngine%3; sameZone != (pair.Weight > 1) {
					t.Fatalf("bits %b: %+v", bits, pair)
				}
			}
		}
	})
}

// Prompts that crowd in never leave fewer than three token makers to a group of six or more:
// one may be lost while another is cold.
func TestRoleBalancer_KeepsThreeDecodeEngines(t *testing.T) {
	for count := 6; count <= 12; count++ {
		roleBalancer := &pairing.RoleBalancer{StabilizationWindow: clock.Second}
		prefillEngines := 2
		for turn := range 50 {
			prefillEngines = roleBalancer.PrefillCount(clock.Microseconds(turn)*2*clock.Second, count, prefillEngines, 1)
		}
		if decodeEngines := count - prefillEngines; decodeEngines != 3 {
			t.Errorf("%d of %d engines make tokens", decodeEngines, count)
		}
	}
}
