package configuration

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAcceptedOrdersAreBounded(test *testing.T) {
	Convey("the last are remembered, in 32 bytes each or less, and the oldest forgotten", test, func() {
		var orders acceptedOrders
		last := uint64(acceptedMost + 10)
		for label := uint64(1); label <= last; label++ {
			orders = orders.with(label, fmt.Sprint(label))
		}
		So(orders.count(), ShouldEqual, acceptedMost)
		So(len(orders), ShouldBeLessThanOrEqualTo, 32*acceptedMost)
		for label := uint64(1); label <= last; label++ {
			kept := orders.contains(&Routing{Label: label, On: label - 1, Digest: fmt.Sprint(label)})
			if kept != (label > last-acceptedMost) {
				test.Fatalf("label %d of %d: %v", label, last, kept)
			}
		}
		So(orders.contains(&Routing{Label: last, On: last - 2, Digest: fmt.Sprint(last)}), ShouldBeFalse)
		So(orders.contains(&Routing{Label: last, On: last - 1}), ShouldBeFalse)
	})
}
