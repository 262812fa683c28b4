package pairing_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/state/pairing"
)

// splitCandidates returns six engines in three zones with two versions. The engines whose bit
// in decodeBits is set decode, and the others prefill.
func splitCandidates(decodeBits int) []pairing.Candidate {
	var candidates []pairing.Candidate
	for number := range 6 {
		role := pairing.RolePrefill
		if decodeBits>>number&1 > 0 {
			role = pairing.RoleDecode
		}
		candidates = append(candidates, pairing.Candidate{
			Name:    fmt.Sprint("e", number),
			Zone:    fmt.Sprint("h", number%3),
			Version: fmt.Sprint("v", number/3),
			Role:    role,
		})
	}
	return candidates
}

func TestAssignPairs_SameVersionPrefersSameZone(t *testing.T) {
	Convey("pairs have one version, and pairs in the same zone a higher weight, for every split of six engines", t, func() {
		for bits := range 1 << 6 {
			assignment := pairing.AssignPairs("s", "o", 4, splitCandidates(bits))
			for _, pair := range assignment.Pairs {
				prefillEngine, decodeEngine := pair.Prefill[1]-'0', pair.Decode[1]-'0'
				sameVersion := prefillEngine/3 == decodeEngine/3
				if !sameVersion || bits>>prefillEngine&1 > 0 || bits>>decodeEngine&1 == 0 {
					t.Fatalf("decode bits %b: pair %+v has different versions or wrong roles", bits, pair)
				}
				sameZone := prefillEngine%3 == decodeEngine%3
				if sameZone != (pair.Weight > 1) {
					t.Fatalf("decode bits %b: the weight of pair %+v doesn't match its zones", bits, pair)
				}
			}
		}
	})
}
