package core

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/circuit"
	"coursepass/internal/configuration"
	"coursepass/internal/mishap"
	"coursepass/internal/route"
	"coursepass/internal/schedule"
	"coursepass/internal/setting"
)

func doorRequest(label, on uint64, attempt int) configuration.Request {
	return configuration.Request{Kind: configuration.Routes, Key: fmt.Sprint(label, "-", on, "-", attempt), Routing: &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint(label, on), Services: map[string]route.Service{"s": {Name: "s"}},
		Items: map[string][]configuration.Item{"services": {{Name: "s", Text: `{"name":"s"}`}}},
	}}
}

// Three cores on this machine's own network: the door answers alike at each of them while
// a majority is there, and in time when none is.
func TestTheDoorAnswersAtEveryCoreAndInTime(test *testing.T) {
	Convey("with a majority and without", test, func() {
		var listeners []Listeners
		var seeds []string
		for range 3 {
			inner, failure := net.Listen("tcp", "127.0.0.1:0")
			So(failure, ShouldBeNil)
			public, failure := net.Listen("tcp", "127.0.0.1:0")
			So(failure, ShouldBeNil)
			listeners, seeds = append(listeners, Listeners{inner, public}), append(seeds, inner.Addr().String())
		}
		var cores []*Core
		var stops []context.CancelFunc
		var group sync.WaitGroup
		for number, each := range listeners {
			made, failure := New(Settings{
				Place: setting.Place{Name: fmt.Sprint("core-", number), Hall: "norte", Fleet: "door", Public: each.Public.Addr().String(), Seeds: seeds},
				Inner: setting.Inner{Inner: seeds[number], Parts: 2}, Lengths: setting.Lengths{Delta: 100, Lease: 1000}, Rewrite: 16, Data: test.TempDir(),
			}, setting.Incarnation(), circuit.System)
			So(failure, ShouldBeNil)
			running, stop := context.WithCancel(context.Background())
			cores, stops = append(cores, made), append(stops, stop)
			defer stop()
			group.Go(func() { made.Run(running, each) })
		}
		begun := cores[0].clock.Now()
		taken, attempt := configuration.Outcome{}, 0
		for failure := error(mishap.New(mishap.NotOwner, "not asked")); failure != nil && cores[0].clock.Now()-begun < 30*schedule.Second; attempt++ {
			taken, failure = cores[attempt%3].Configure(context.Background(), doorRequest(5, 0, attempt))
		}
		So(taken.Code, ShouldEqual, mishap.Fine)
		So(taken.Sequence, ShouldEqual, 1)
		for number, each := range cores {
			outcome, failure := each.Configure(context.Background(), doorRequest(5, 0, 1000+number))
			So(failure, ShouldBeNil)
			So(outcome, ShouldResemble, taken)
			outcome, failure = each.Configure(context.Background(), doorRequest(9, 4, 1000+number))
			So(failure, ShouldBeNil)
			So(outcome.Code, ShouldEqual, mishap.SequenceStale)
			view, failure := each.Read(context.Background())
			So(failure, ShouldBeNil)
			So(view.Label, ShouldEqual, 5)
			So(view.Items["services"], ShouldResemble, []configuration.Item{{Name: "s", Text: `{"name":"s"}`}})
		}
		for _, each := range cores {
			each.configuring <- struct{}{}
		}
		codes := make([]mishap.Code, 8)
		var orders sync.WaitGroup
		for number := range codes {
			orders.Go(func() {
				outcome, failure := cores[number%3].Configure(context.Background(), doorRequest(uint64(6+number), 5, 1500+number))
				if codes[number] = outcome.Code; failure != nil {
					codes[number] = mishap.CodeOf(failure, mishap.OutcomeUnknown)
				}
			})
		}
		orders.Wait()
		slices.Sort(codes)
		So(codes[0], ShouldEqual, mishap.Fine)
		for _, code := range codes[1:] {
			So(code, ShouldEqual, mishap.SequenceStale)
		}
		stops[0]()
		stops[1]()
		for call := range 4 {
			asked := cores[2].clock.Now()
			var failure error
			if call%2 == 0 {
				_, failure = cores[2].Configure(context.Background(), doorRequest(9, 5, 2000+call))
			} else {
				_, failure = cores[2].Read(context.Background())
			}
			So(mishap.CodeOf(failure, mishap.Fine), ShouldBeIn, mishap.NotOwner, mishap.NoMajority, mishap.OutcomeUnknown)
			So(cores[2].clock.Now()-asked, ShouldBeLessThan, schedule.Second)
		}
		stops[2]()
		group.Wait()
	})
}
