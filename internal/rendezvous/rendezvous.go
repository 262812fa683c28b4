// Package rendezvous scores pairs of names for rendezvous hashing (Thaler and Ravishankar, 1998): of several
// candidates, a key belongs to the one with the highest score. All daemons compute the same scores, so that none has
// to be told, and when a candidate comes or goes only the keys that it has change hands.
//
// The scores are part of what daemons of several builds must agree on: they never change.
package rendezvous

// The parameters of 64-bit FNV-1a.
const (
	offsetBasis = 0xcbf29ce484222325
	prime       = 0x100000001b3
)

// mixShift and mixMultiplier are those of the 64-bit finalizer of MurmurHash3. FNV-1a alone changes the low bits too
// little when only the last bytes differ.
const (
	mixShift      = 33
	mixMultiplier = 0xff51afd7ed558ccd
)

// Hash is the hash of a pair's first name, from which the scores of its pairs are computed.
type Hash uint64

// New returns the hash of a first name.
func New(name string) Hash { return Hash(offsetBasis).write(name).writeByte(0) }

// Score returns the score of the pair with a second name.
func (h Hash) Score(name string) uint64 {
	value := uint64(h.write(name))
	value ^= value >> mixShift
	value *= mixMultiplier
	return value ^ value>>mixShift
}

// Score returns the score of a pair of names.
func Score(first, second string) uint64 { return New(first).Score(second) }

func (h Hash) write(text string) Hash {
	for index := range len(text) {
		h = h.writeByte(text[index])
	}
	return h
}

func (h Hash) writeByte(value byte) Hash { return (h ^ Hash(value)) * prime }
