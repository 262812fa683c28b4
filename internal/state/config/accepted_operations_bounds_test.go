package config

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAcceptedOperations_AreBounded(t *testing.T) {
	Convey("the latest are remembered, in 32 bytes each or less, and the oldest dropped", t, func() {
		var operations acceptedOperations
		last := uint64(maxAcceptedOperations + 10)
		for label := uint64(1); label <= last; label++ {
			operations = operations.appendOperation(label, fmt.Sprint(label))
		}
		So(operations.count(), ShouldEqual, maxAcceptedOperations)
		So(len(operations), ShouldBeLessThanOrEqualTo, 32*maxAcceptedOperations)
		for label := uint64(1); label <= last; label++ {
			retained := operations.contains(&Routing{Label: label, ParentLabel: label - 1, Digest: fmt.Sprint(label)})
			if retained != (label > last-maxAcceptedOperations) {
				t.Fatalf("label %d of %d: %v", label, last, retained)
			}
		}
		So(operations.contains(&Routing{Label: last, ParentLabel: last - 2, Digest: fmt.Sprint(last)}), ShouldBeFalse)
		So(operations.contains(&Routing{Label: last, ParentLabel: last - 1}), ShouldBeFalse)
	})
}
