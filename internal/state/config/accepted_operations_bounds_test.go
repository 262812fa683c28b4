package config

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAcceptedOperations_AreBounded(t *testing.T) {
	Convey("the latest are remembered, in at most 32 bytes each, and the oldest are dropped", t, func() {
		var operations acceptedOperations
		lastLabel := uint64(maxAcceptedOperations + 10)
		for label := uint64(1); label <= lastLabel; label++ {
			operations = operations.appendOperation(label, fmt.Sprint(label))
		}
		So(operations.count(), ShouldEqual, maxAcceptedOperations)
		So(len(operations), ShouldBeLessThanOrEqualTo, 32*maxAcceptedOperations)
		for label := uint64(1); label <= lastLabel; label++ {
			contained := operations.contains(&Routing{Label: label, ParentLabel: label - 1, Digest: fmt.Sprint(label)})
			if contained != (label > lastLabel-maxAcceptedOperations) {
				t.Fatalf("label %d of %d: contained: %v", label, lastLabel, contained)
			}
		}
		So(operations.contains(&Routing{Label: lastLabel, ParentLabel: lastLabel - 2, Digest: fmt.Sprint(lastLabel)}), ShouldBeFalse)
		So(operations.contains(&Routing{Label: lastLabel, ParentLabel: lastLabel - 1}), ShouldBeFalse)
	})
}
