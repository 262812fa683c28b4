package transport

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type testMessage struct {
	Words  []string
	Inside struct{ Number int }
	Count  map[string]int64
}

func TestSchemaHashCodec(t *testing.T) {
	Convey("a message with a schema hash can be decoded only after its schema was received", t, func() {
		sender := newSchemaCache()
		receiver := newSchemaCache()
		sent := &testMessage{Words: []string{"a", "b"}, Count: map[string]int64{"x": 1}}
		sent.Inside.Number = 7
		var received testMessage
		short, err := schemaHashCodec{sender}.Marshal(sent)
		So(err, ShouldBeNil)
		So(schemaHashCodec{receiver}.Unmarshal(short, &received), ShouldNotBeNil)
		full, err := selfDescribingCodec{sender}.Marshal(sent)
		So(err, ShouldBeNil)
		So(selfDescribingCodec{receiver}.Unmarshal(full, &received), ShouldBeNil)
		for iteration := range 5 {
			sent.Inside.Number = iteration
			short, err = schemaHashCodec{sender}.Marshal(sent)
			So(err, ShouldBeNil)
			So(len(short), ShouldBeLessThan, len(full)/2)
			received = testMessage{}
			So(schemaHashCodec{receiver}.Unmarshal(short, &received), ShouldBeNil)
			So(received, ShouldResemble, *sent)
		}
		for length := range short {
			var truncated testMessage
			So(schemaHashCodec{receiver}.Unmarshal(short[:length], &truncated), ShouldNotBeNil)
		}
		So(schemaHashCodec{receiver}.Unmarshal(append(short, 1, 2), &received), ShouldNotBeNil)
		received = testMessage{}
		So(schemaHashCodec{receiver}.Unmarshal(short, &received), ShouldBeNil)
		So(received, ShouldResemble, *sent)
	})
	Convey("the gob stream of an empty message contains a value", t, func() {
		cache := newSchemaCache()
		full, _ := selfDescribingCodec{cache}.Marshal(&testMessage{})
		So(selfDescribingCodec{cache}.Unmarshal(full, &testMessage{}), ShouldBeNil)
		short, err := schemaHashCodec{cache}.Marshal(&testMessage{})
		So(err, ShouldBeNil)
		So(schemaHashCodec{cache}.Unmarshal(short, &testMessage{}), ShouldBeNil)
	})
}
