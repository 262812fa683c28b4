package peers

import (
	"fmt"
	"testing"

	"coursepass/internal/node"
)

func testNode(name, zone string) node.Node {
	return node.Node{Name: name, Zone: zone, InternalAddress: "address of " + name, Incarnation: 2}
}

func newTestView(capacity int) *View { return NewView(testNode("self", "norte"), capacity, 4, 1) }

func TestView_BoundedByCapacity(t *testing.T) {
	view := newTestView(3)
	for number := range 10 {
		view.FinishShuffle(ShuffleMessage{From: testNode(fmt.Sprint("peer-", number), "norte")})
		if count := len(view.Members()); count != min(number+1, 3) {
			t.Fatalf("the view has %d peers after %d shuffles", count, number+1)
		}
	}
}

func TestView_EvictsOldestPeer(t *testing.T) {
	view := newTestView(2)
	view.FinishShuffle(ShuffleMessage{From: testNode("old", "norte")})
	view.BeginShuffle()
	view.FinishShuffle(ShuffleMessage{From: testNode("young", "norte")})
	if oldest, _, _ := view.BeginShuffle(); oldest.Name != "old" {
		t.Errorf("the shuffle is with %q, want the oldest peer \"old\"", oldest.Name)
	}
	view.FinishShuffle(ShuffleMessage{From: testNode("new", "norte")})
	for _, member := range view.Members() {
		if member.Name == "old" {
			t.Error("the oldest peer is still in the view")
		}
	}
}

func TestView_RejectsItselfAndIncompleteNodes(t *testing.T) {
	view := newTestView(8)
	view.FinishShuffle(ShuffleMessage{
		From:  view.Self,
		Offer: []node.Node{{Name: "without-address"}, {InternalAddress: "without name"}},
	})
	if members := view.Members(); len(members) != 0 {
		t.Errorf("members %v, want none", members)
	}
}

func TestView_RefreshesPeers(t *testing.T) {
	earlier, later, moved := testNode("peer", "sur"), testNode("peer", "sur"), testNode("peer", "este")
	earlier.Incarnation, later.Incarnation = 1, 3
	other := testNode("other", "norte")
	for _, testCase := range []struct {
		name    string
		message ShuffleMessage
		want    node.Node
	}{
		{"an earlier incarnation", ShuffleMessage{From: earlier}, testNode("peer", "norte")},
		{"a later incarnation", ShuffleMessage{From: other, Offer: []node.Node{later}}, later},
		{"the same incarnation from the peer itself", ShuffleMessage{From: moved}, moved},
		{
			"the same incarnation from another peer",
			ShuffleMessage{From: other, Offer: []node.Node{moved}}, testNode("peer", "norte"),
		},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			view := newTestView(8)
			view.FinishShuffle(ShuffleMessage{From: testNode("peer", "norte")})
			view.FinishShuffle(testCase.message)
			if got := view.entries["peer"].Node; got != testCase.want {
				t.Errorf("the entry is %+v, want %+v", got, testCase.want)
			}
		})
	}
}

func TestView_SampleCrossesZones(t *testing.T) {
	view := newTestView(8)
	for number := range 5 {
		view.FinishShuffle(ShuffleMessage{From: testNode(fmt.Sprint("near-", number), "norte")})
	}
	view.FinishShuffle(ShuffleMessage{From: testNode("far", "sur")})
	for range 20 {
		sample := view.Sample(2)
		if len(sample) != 2 || sample[0].Zone != "norte" || sample[1].Name != "far" {
			t.Fatalf("sample %v, want one peer of each zone", sample)
		}
	}
}

func TestView_ShuffleOffersOthers(t *testing.T) {
	view := newTestView(8)
	if _, _, hasPeer := view.BeginShuffle(); hasPeer {
		t.Error("BeginShuffle returned a peer for an empty view")
	}
	for number := range 6 {
		view.FinishShuffle(ShuffleMessage{From: testNode(fmt.Sprint("peer-", number), "norte")})
	}
	peer, message, _ := view.BeginShuffle()
	if len(message.Offer) != 3 {
		t.Errorf("the request offers %d nodes, want 3 besides the sender", len(message.Offer))
	}
	response := view.AnswerShuffle(ShuffleMessage{From: peer})
	if len(response.Offer) != 4 {
		t.Errorf("the response offers %d nodes, want 4", len(response.Offer))
	}
	for _, offered := range append(message.Offer, response.Offer...) {
		if offered.Name == peer.Name {
			t.Error("a peer is offered its own entry")
		}
	}
}

// Two of three comparisons must be with a peer in the daemon's own zone if the view contains one.
func TestGossip_ComparesMostlyInsideZone(t *testing.T) {
	service := &Gossip{View: newTestView(8)}
	if _, exists := service.selectComparisonPeer(1); exists {
		t.Error("a peer was selected from an empty view")
	}
	service.FinishShuffle(ShuffleMessage{From: testNode("far", "sur")})
	if peer, _ := service.selectComparisonPeer(1); peer.Name != "far" {
		t.Errorf("selected %q, want the only peer \"far\"", peer.Name)
	}
	service.FinishShuffle(ShuffleMessage{From: testNode("near", "norte")})
	compared := map[string]int{}
	for comparison := range 30 {
		peer, _ := service.selectComparisonPeer(comparison)
		compared[peer.Name]++
	}
	if compared["far"] != 10 || compared["near"] != 20 {
		t.Errorf("comparisons by peer are %v, want 10 with \"far\" and 20 with \"near\"", compared)
	}
}
