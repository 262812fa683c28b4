package peers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/node"
)

// ShuffleMessage offers a few nodes of the sender's view. A shuffle and its response have the same form.
type ShuffleMessage struct {
	From  node.Node
	Offer []node.Node
	// WallClock is what the wall clock of the sender's machine shows, since the start of 1970. Only a response has
	// one; it is 0 in a request, and in what earlier builds send.
	WallClock clock.Microseconds
}

// viewEntry is a peer and the number of shuffles that were begun since it was last heard of.
type viewEntry struct {
	node.Node
	age int
}

// View is a daemon's partial view: a few peers of all zones. Its methods may be called from several
// goroutines. The random choices depend on the seed and the calls alone.
type View struct {
	Self        node.Node
	capacity    int
	shuffleSize int

	// lock guards what follows.
	lock    sync.Mutex
	random  *rand.Rand
	entries map[string]viewEntry
}

// NewView returns an empty view for so many peers, of which a shuffle offers shuffleSize at most.
func NewView(self node.Node, capacity, shuffleSize int, seed uint64) *View {
	return &View{
		Self:        self,
		capacity:    capacity,
		shuffleSize: shuffleSize,
		entries:     map[string]viewEntry{},
		random:      rand.New(rand.NewPCG(seed, seed+1)),
	}
}

// Members returns all peers, in random order.
func (v *View) Members() []node.Node {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.sampleRandom(len(v.entries), "")
}

// Sample returns a few peers: those of the own zone first, but the last one is of another zone if there is
// any, so that updates cross zones.
func (v *View) Sample(count int) []node.Node {
	members := v.Members()
	slices.SortStableFunc(members, func(left, right node.Node) int {
		return v.zoneDistance(left) - v.zoneDistance(right)
	})
	if len(members) <= count {
		return members
	}
	farthest := members[len(members)-1]
	return append(members[:count-1:count-1], farthest)
}

func (v *View) zoneDistance(peer node.Node) int {
	if peer.Zone == v.Self.Zone {
		return 0
	}
	return 1
}

// sampleRandom returns peers in random order, without the excluded name. The lock must be held.
func (v *View) sampleRandom(count int, excluded string) []node.Node {
	names := make([]string, 0, len(v.entries))
	for name := range v.entries {
		if name != excluded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	v.random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	picked := make([]node.Node, 0, count)
	for _, name := range names[:min(count, len(names))] {
		picked = append(picked, v.entries[name].Node)
	}
	return picked
}

// BeginShuffle ages the view and returns its oldest peer with the message for it; false while the view is
// empty, so that the message is for a seed.
func (v *View) BeginShuffle() (node.Node, ShuffleMessage, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	for name, entry := range v.entries {
		entry.age++
		v.entries[name] = entry
	}
	oldest, hasPeer := v.oldestEntry()
	offer := v.sampleRandom(v.shuffleSize-1, oldest.Name)
	return oldest.Node, ShuffleMessage{From: v.Self, Offer: offer}, hasPeer
}

// oldestEntry returns the entry with the greatest age, a random one of several; false if there is none. A choice
// by name would keep the same few daemons in all views. The lock must be held.
func (v *View) oldestEntry() (viewEntry, bool) {
	var oldest []string
	greatestAge := -1
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		age := v.entries[name].age
		if age > greatestAge {
			oldest, greatestAge = nil, age
		}
		if age == greatestAge {
			oldest = append(oldest, name)
		}
	}
	if len(oldest) == 0 {
		return viewEntry{}, false
	}
	return v.entries[oldest[v.random.IntN(len(oldest))]], true
}

// AnswerShuffle takes over what a peer offers, and returns an offer for it.
func (v *View) AnswerShuffle(message ShuffleMessage) ShuffleMessage {
	v.lock.Lock()
	defer v.lock.Unlock()
	response := ShuffleMessage{From: v.Self, Offer: v.sampleRandom(v.shuffleSize, message.From.Name)}
	v.merge(message)
	return response
}

// FinishShuffle takes over what the response to a shuffle offers.
func (v *View) FinishShuffle(message ShuffleMessage) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.merge(message)
}

// Remove removes a peer that did not respond.
func (v *View) Remove(name string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	delete(v.entries, name)
}

// entryOrigin says from whom a view has learned of a node.
type entryOrigin int

const (
	originSelf entryOrigin = iota
	originPeer
)

func (v *View) merge(message ShuffleMessage) {
	v.insert(message.From, originSelf)
	for _, offered := range message.Offer {
		v.insert(offered, originPeer)
	}
}

// insert adds or refreshes a peer, and evicts another one from a full view. Of one incarnation only the peer
// itself refreshes the entry. The lock must be held.
func (v *View) insert(candidate node.Node, origin entryOrigin) {
	if candidate.Name == v.Self.Name || candidate.Name == "" || candidate.InternalAddress == "" {
		return
	}
	existing, exists := v.entries[candidate.Name]
	switch {
	case exists && candidate.Incarnation < existing.Incarnation:
		return
	case exists && candidate.Incarnation == existing.Incarnation && origin != originSelf:
		return
	case !exists && len(v.entries) >= v.capacity:
		v.evict()
	}
	v.entries[candidate.Name] = viewEntry{Node: candidate}
}

// evict removes the oldest peer. The lock must be held.
func (v *View) evict() {
	oldest, _ := v.oldestEntry()
	delete(v.entries, oldest.Name)
}
