package controlapi

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"coursepass/internal/gossip"
	"coursepass/internal/node"
	"coursepass/internal/transport"
)

func sampleHeads(shards int) *HeadsResponse {
	response := &HeadsResponse{}
	for shard := range shards {
		response.Heads = append(response.Heads, ShardHead{
			Head:                        gossip.Head{Shard: shard, Index: 4000, Term: 3, Revision: 2000, Epoch: 5},
			Slot:                        1,
			Epoch:                       6,
			Current:                     true,
			ReservationStoreIncarnation: 7,
		})
	}
	return response
}

func TestMessages_WireFormsReturnSameValues(t *testing.T) {
	sender := node.Node{Name: "router-0", Role: node.RoleRouter, Zone: "zone-a", InternalAddress: "127.0.0.1:1", Incarnation: 2}
	update := gossip.Update{Head: gossip.Head{Index: 1}, Data: []byte("state"), Entries: []gossip.Entry{{Index: 1, Term: 2}}}
	for _, testCase := range []struct {
		sent, received any
	}{
		{&HeadsRequest{From: sender, WantReports: true, ActiveCalls: map[string]int{"engine": 1}}, &HeadsRequest{}},
		{sampleHeads(3), &HeadsResponse{}},
		{&HeadsResponse{}, sampleHeads(1)},
		{&SnapshotOffer{Updates: []gossip.Update{update}}, &SnapshotOffer{}},
	} {
		full, short, err := transport.WireForms(testCase.sent)
		if err != nil {
			t.Fatal(err)
		}
		fromShort := reflect.New(reflect.TypeOf(testCase.received).Elem()).Interface()
		if err := transport.ReadWireForms(full, short, testCase.received, fromShort); err != nil {
			t.Fatal(err)
		}
		for _, received := range []any{testCase.received, fromShort} {
			if !reflect.DeepEqual(received, testCase.sent) {
				t.Errorf("received %+v, sent %+v", received, testCase.sent)
			}
		}
	}
}

// BenchmarkHeadsResponse encodes and decodes the heads of eight shards. It reuses one encoder and one decoder, so
// the gob schema is transferred only once, as in the transport.
func BenchmarkHeadsResponse(b *testing.B) {
	const shards = 8
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	decoder := gob.NewDecoder(&buffer)
	response := sampleHeads(shards)
	b.ReportAllocs()
	for b.Loop() {
		if err := encoder.Encode(transport.WireForm(response)); err != nil {
			b.Fatal(err)
		}
		var received HeadsResponse
		if err := transport.DecodeWireForm(decoder, &received); err != nil {
			b.Fatal(err)
		}
	}
}
