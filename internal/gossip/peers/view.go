package peers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/node"
)

// ShuffleMessage offers a few nodes of the sender's view. It is both the request and the response of a shuffle.
type ShuffleMessage struct {
	From  node.Node
	Offer []node.Node
	// WallClock is the time of the sender's wall clock, in microseconds since the Unix epoch. It is set in responses
	// only. It is 0 in requests and in responses of builds that predate the field.
	WallClock clock.Microseconds
}

// viewEntry is a peer with its age, which is the number of shuffles that the view has begun since the entry was added
// or refreshed.
type viewEntry struct {
	node.Node
	age int
}

// View is a daemon's partial view of the fleet: a bounded set of peers from all zones. Its methods are safe for
// concurrent use. The random choices are determined by the seed and the sequence of calls.
type View struct {
	Self        node.Node
	capacity    int
	shuffleSize int

	// lock guards the fields below.
	lock    sync.Mutex
	random  *rand.Rand
	entries map[string]viewEntry
}

// NewView returns an empty view of at most capacity peers. A shuffle message offers at most shuffleSize nodes, where a
// request counts its sender as one of them.
func NewView(self node.Node, capacity, shuffleSize int, seed uint64) *View {
	return &View{
		Self:        self,
		capacity:    capacity,
		shuffleSize: shuffleSize,
		entries:     map[string]viewEntry{},
		random:      rand.New(rand.NewPCG(seed, seed+1)),
	}
}

// Members returns all peers in random order.
func (v *View) Members() []node.Node {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.sampleRandom(len(v.entries), "")
}

// Sample returns at most count random peers. Peers in the daemon's own zone come first, but the last peer is from
// another zone if the view contains such a peer, so that updates reach other zones.
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

// zoneDistance returns 0 for a peer in the daemon's own zone and 1 for any other peer.
func (v *View) zoneDistance(peer node.Node) int {
	if peer.Zone == v.Self.Zone {
		return 0
	}
	return 1
}

// sampleRandom returns at most count peers in random order, without the peer that is named excluded. The lock must be
// held.
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

// BeginShuffle increments the age of all entries and returns the oldest peer and the message to send to it. It returns
// false if the view is empty; the message is then to be sent to a seed.
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

// oldestEntry returns the entry with the greatest age. It returns false if the view is empty. Ties are broken at
// random: breaking them by name would keep the same few daemons in all views. The lock must be held.
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

// AnswerShuffle merges a peer's message into the view and returns the response.
func (v *View) AnswerShuffle(message ShuffleMessage) ShuffleMessage {
	v.lock.Lock()
	defer v.lock.Unlock()
	response := ShuffleMessage{From: v.Self, Offer: v.sampleRandom(v.shuffleSize, message.From.Name)}
	v.merge(message)
	return response
}

// FinishShuffle merges the response to a shuffle into the view.
func (v *View) FinishShuffle(message ShuffleMessage) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.merge(message)
}

// Remove removes a peer, for example one that did not respond.
func (v *View) Remove(name string) {
	v.lock.Lock()
	defer v.lock.Unlock()
	delete(v.entries, name)
}

// entryOrigin is the source from which a view received a node's entry.
type entryOrigin int

const (
	// originSelf is the node itself.
	originSelf entryOrigin = iota
	// originPeer is another node.
	originPeer
)

// merge inserts the sender of a message and the nodes that the message offers. The lock must be held.
func (v *View) merge(message ShuffleMessage) {
	v.insert(message.From, originSelf)
	for _, offered := range message.Offer {
		v.insert(offered, originPeer)
	}
}

// insert adds a peer or refreshes its entry. If the peer is new and the view is full, insert evicts the oldest peer. A
// later incarnation refreshes an entry from any origin; the same incarnation refreshes it only if the entry comes from
// the peer itself. The lock must be held.
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
