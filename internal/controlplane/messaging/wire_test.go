package messaging

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"coursepass/internal/consensus"
	"coursepass/internal/consensus/messageage"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/transport"
)

// sampleBatch returns a batch with heartbeats and a message with two log entries.
func sampleBatch() *MessageBatch {
	member := consensus.Member{Identity: "identity", Name: "control-0", Address: "127.0.0.1:7100", Zone: "zone-a"}
	heartbeat := consensus.Message{Shard: 1, From: 1, To: 2, Kind: consensus.MsgAppend, Term: 3, Index: 40, IndexTerm: 3}
	appended := heartbeat
	appended.Entries = []wal.Entry{{Index: 41, Term: 3, Data: make([]byte, 200)}, {Index: 42, Term: 3, Data: make([]byte, 200)}}
	return &MessageBatch{
		Stamp:    messageage.Stamp{Incarnation: 2, Sent: 5, Known: true},
		Sender:   member,
		Messages: []consensus.Message{heartbeat, appended, heartbeat, heartbeat},
	}
}

func TestMessages_WireFormsReturnSameValues(t *testing.T) {
	echo := consensus.Echo{Shard: 1, Slot: 2, PromisedTerm: 3, Recovering: true}
	for _, testCase := range []struct {
		sent, received any
	}{
		{sampleBatch(), &MessageBatch{}},
		{&MessageBatch{}, &MessageBatch{Messages: []consensus.Message{{Shard: 1}}}},
		{&MessageBatchResponse{Incarnation: 1, Clock: 2, Echoes: []consensus.Echo{echo, {}}}, &MessageBatchResponse{}},
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
				t.Errorf("received %+v, want %+v", received, testCase.sent)
			}
		}
	}
}

func TestMessages_RejectOtherWireForms(t *testing.T) {
	if (&MessageBatch{}).FromWire(&MessageBatchResponseWire{}) == nil {
		t.Error("a batch accepted the wire form of a response")
	}
	if (&MessageBatchResponse{}).FromWire(&wireBatch{}) == nil {
		t.Error("a response accepted the wire form of a batch")
	}
}

// BenchmarkMessageBatch measures encoding and decoding of a batch. As in the transport, the encoder and the decoder are
// reused, so that they send and read the schema only once.
func BenchmarkMessageBatch(b *testing.B) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	decoder := gob.NewDecoder(&buffer)
	batch := sampleBatch()
	b.ReportAllocs()
	for b.Loop() {
		if err := encoder.Encode(transport.WireForm(batch)); err != nil {
			b.Fatal(err)
		}
		var received MessageBatch
		if err := transport.DecodeWireForm(decoder, &received); err != nil {
			b.Fatal(err)
		}
	}
}
