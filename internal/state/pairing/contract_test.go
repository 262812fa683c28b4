package contract_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
)

func TestShareFollowsTheMixWithoutFlapping(test *testing.T) {
	Convey("a swing of the mix moves one engine each settling span, and back", test, func() {
		share := &contract.Share{Settle: 5 * schedule.Second}
		readers, moves, now := 6, 0, schedule.Second
		step := func(seconds int, fraction func(turn int) float64) {
			for turn := range seconds * 2 {
				now += schedule.Second / 2
				next := share.Readers(now, 12, readers, fraction(turn))
				if next != readers {
					moves++
					So(next-readers, ShouldBeBetween, -2, 2)
				}
				readers = next
			}
		}
		step(60, func(int) float64 { return 0.9 })
		So(readers, ShouldBeGreaterThanOrEqualTo, 9)
		step(60, func(int) float64 { return 0.1 })
		So(readers, ShouldBeLessThanOrEqualTo, 3)
		So(readers, ShouldBeGreaterThanOrEqualTo, 1)
		moves = 0
		step(60, func(turn int) float64 { return 0.2 + 0.5*float64(turn%2) })
		So(moves, ShouldEqual, 0)
	})
	Convey("from four engines on, each part keeps two, so that a lost hall leaves one", test, func() {
		for count := 5; count <= 12; count++ {
			share, readers := &contract.Share{}, count/2
			for turn := range 100 {
				readers = share.Readers(schedule.Microseconds(turn), count, readers, float64(turn/50))
				So(readers, ShouldBeBetweenOrEqual, 2, count-2)
			}
		}
	})
	Convey("each part keeps an engine", test, func() {
		share := &contract.Share{}
		readers := 1
		for turn := range 50 {
			readers = share.Readers(schedule.Microseconds(turn), 3, readers, float64(turn/25))
			So(readers, ShouldBeBetween, 0, 3)
		}
	})
}

func TestDrawPairsOneModelVersionAndPrefersOneHall(test *testing.T) {
	Convey("for every split of six engines", test, func() {
		for bits := range 1 << 6 {
			var candidates []contract.Candidate
			for number := range 6 {
				part := contract.Prefill
				if bits>>number&1 > 0 {
					part = contract.Decode
				}
				candidates = append(candidates, contract.Candidate{Name: fmt.Sprint("e", number), Hall: fmt.Sprint("h", number%3), Version: fmt.Sprint("v", number/3), Part: part})
			}
			drawn := contract.Draw("s", "o", 4, candidates)
			for _, pair := range drawn.Pairs {
				reader, writer := pair.Prefill[1]-'0', pair.Decode[1]-'0'
				if reader/3 != writer/3 || bits>>reader&1 > 0 || bits>>writer&1 == 0 {
					test.Fatalf("bits %b: %+v", bits, pair)
				}
				if near := reader%3 == writer%3; near != (pair.Weight > 1) {
					test.Fatalf("bits %b: %+v", bits, pair)
				}
			}
		}
	})
}

// Prompts that crowd in never leave fewer than three token makers to a group of six or more:
// one may be lost while another is cold.
func TestThreeTokenMakersStay(test *testing.T) {
	for count := 6; count <= 12; count++ {
		share := &contract.Share{Settle: schedule.Second}
		readers := 2
		for turn := range 50 {
			readers = share.Readers(schedule.Microseconds(turn)*2*schedule.Second, count, readers, 1)
		}
		if makers := count - readers; makers != 3 {
			test.Errorf("%d of %d engines make tokens", makers, count)
		}
	}
}
