package lifecycle_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/dataplane/lifecycle"
)

func TestRetryBudget_StaysBelowRatio(t *testing.T) {
	Convey("even if every request tries to take several retries", t, func() {
		retryBudget := &lifecycle.RetryBudget{}
		withdrawn := 0
		for range 1000 {
			retryBudget.Deposit(20, 5)
			for range 3 {
				if retryBudget.Withdraw() {
					withdrawn++
				}
			}
		}
		So(withdrawn, ShouldBeLessThanOrEqualTo, 205)
		So(withdrawn, ShouldBeGreaterThan, 150)
	})
}

// Guards against extra retries after restarts of routers. Four routers restart repeatedly, and every
// request takes all the retries that it can get. The routers do not know of each other, as after a start
// or when they are isolated.
func TestRetryBudget_RestartingRouters(t *testing.T) {
	Convey("all routers together allow at most one retry in five requests, however often they restart", t, func() {
		for _, requestsPerIncarnation := range []int{1, 3, 7, 40, 1000} {
			const requests = 4000
			var routers [4]*lifecycle.RetryBudget
			withdrawn := 0
			for number := range requests {
				index := number % len(routers)
				if number/len(routers)%requestsPerIncarnation == 0 {
					routers[index] = &lifecycle.RetryBudget{}
				}
				retryBudget := routers[index]
				retryBudget.Deposit(20, 5)
				for retryBudget.Withdraw() {
					withdrawn++
				}
			}
			So(withdrawn, ShouldBeLessThanOrEqualTo, requests/5+5)
			if requestsPerIncarnation >= 7 {
				So(withdrawn, ShouldBeGreaterThan, requests/10)
			}
		}
	})
}
