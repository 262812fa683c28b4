package rendezvous

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// referenceScore computes the score of a pair of names with the standard library's FNV-1a.
func referenceScore(first, second string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(first + "\x00" + second))
	value := hash.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	return value ^ value>>33
}

func TestScore(t *testing.T) {
	names := []string{"", "a", "router-1", "router-12", "i-7f3a91c2", "ä\x00b"}
	for _, first := range names {
		for _, second := range names {
			if score := Score(first, second); score != referenceScore(first, second) {
				t.Errorf("score of %q and %q is %#x, want that of the reference implementation", first, second, score)
			}
		}
	}
	if score := Score("router-1", "i-7f3a91c2"); score != 0xc89d976be5605803 {
		t.Errorf("the score of a fixed pair is %#x, which differs from the score in other builds", score)
	}
}

func TestScore_SpreadsKeys(t *testing.T) {
	const candidates, keys = 8, 4000
	counts := make([]int, candidates)
	for key := range keys {
		best := 0
		for candidate := range candidates {
			name := fmt.Sprint("key-", key)
			if Score(fmt.Sprint("n", candidate), name) > Score(fmt.Sprint("n", best), name) {
				best = candidate
			}
		}
		counts[best]++
	}
	for candidate, count := range counts {
		if count < keys/candidates*8/10 || count > keys/candidates*12/10 {
			t.Errorf("candidate %d has %d of %d keys", candidate, count, keys)
		}
	}
}
