// Package rendezvous computes scores of pairs of names for rendezvous hashing (Thaler and Ravishankar, 1998): a key
// is assigned to the candidate with the highest score. All daemons compute the same scores, so that assignments need
// no communication. When a candidate is added or removed, only the keys of that candidate are reassigned.
//
// The scores must never change, because daemons of different builds must compute the same ones.
package rendezvous

// The parameters of 64-bit FNV-1a.
const (
	offsetBasis = 0xcbf29ce484222325
	prime       = 0x100000001b3
)

// mixShift and mixMultiplier are the constants of MurmurHash3's 64-bit finalizer. With FNV-1a alone, the low bits
// change too little if only the last bytes of the names differ.
const (
	mixShift      = 33
	mixMultiplier = 0xff51afd7ed558ccd
)

// Hash is the hash of the first name of a pair. The scores of all pairs with that first name are computed from it.
type Hash uint64

// New returns the hash of the first name of a pair.
func New(name string) Hash { return Hash(offsetBasis).write(name).writeByte(0) }

// Score returns the score of the pair of h's name and the given second name.
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
