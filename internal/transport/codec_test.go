package circuit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type letter struct {
	Words  []string
	Inside struct{ Number int }
	Count  map[string]int64
}

func TestShortGobs(test *testing.T) {
	Convey("a short gob is read once its definitions came with a full one", test, func() {
		sender, receiver := newPrimers(), newPrimers()
		sent := &letter{Words: []string{"a", "b"}, Count: map[string]int64{"x": 1}}
		sent.Inside.Number = 7
		var got letter
		short, err := shortCodec{sender}.Marshal(sent)
		So(err, ShouldBeNil)
		So(shortCodec{receiver}.Unmarshal(short, &got), ShouldNotBeNil)
		full, err := fullCodec{sender}.Marshal(sent)
		So(err, ShouldBeNil)
		So(fullCodec{receiver}.Unmarshal(full, &got), ShouldBeNil)
		for turn := range 5 {
			sent.Inside.Number = turn
			short, err = shortCodec{sender}.Marshal(sent)
			So(err, ShouldBeNil)
			So(len(short), ShouldBeLessThan, len(full)/2)
			got = letter{}
			So(shortCodec{receiver}.Unmarshal(short, &got), ShouldBeNil)
			So(got, ShouldResemble, *sent)
		}
		for cut := range short {
			var torn letter
			So(shortCodec{receiver}.Unmarshal(short[:cut], &torn), ShouldNotBeNil)
		}
		So(shortCodec{receiver}.Unmarshal(append(short, 1, 2), &got), ShouldNotBeNil)
		got = letter{}
		So(shortCodec{receiver}.Unmarshal(short, &got), ShouldBeNil)
		So(got, ShouldResemble, *sent)
	})
	Convey("an empty message has a value too", test, func() {
		both := newPrimers()
		full, _ := fullCodec{both}.Marshal(&letter{})
		So(fullCodec{both}.Unmarshal(full, &letter{}), ShouldBeNil)
		short, err := shortCodec{both}.Marshal(&letter{})
		So(err, ShouldBeNil)
		So(shortCodec{both}.Unmarshal(short, &letter{}), ShouldBeNil)
	})
}
