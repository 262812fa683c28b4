package core

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
	"coursepass/internal/transport"
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
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			public, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners, seeds = append(listeners, Listeners{inner, public}), append(seeds, inner.Addr().String())
		}
		var cores []*Core
		var stops []context.CancelFunc
		var group sync.WaitGroup
		for number, each := range listeners {
			made, err := New(Settings{
				Place: setting.Place{Name: fmt.Sprint("core-", number), Hall: "norte", Fleet: "door", Public: each.Public.Addr().String(), Seeds: seeds},
				Inner: setting.Inner{Inner: seeds[number], Parts: 2}, Lengths: setting.Lengths{Delta: 100, Lease: 1000}, Rewrite: 16, Data: test.TempDir(),
			}, setting.Incarnation(), circuit.System)
			So(err, ShouldBeNil)
			running, stop := context.WithCancel(context.Background())
			cores, stops = append(cores, made), append(stops, stop)
			defer stop()
			group.Go(func() { made.Run(running, each) })
		}
		begun := cores[0].clock.Now()
		taken, attempt := configuration.Outcome{}, 0
		for err := error(mishap.New(mishap.NotOwner, "not asked")); err != nil && cores[0].clock.Now()-begun < 30*schedule.Second; attempt++ {
			taken, err = cores[attempt%3].Configure(context.Background(), doorRequest(5, 0, attempt))
		}
		So(taken.Code, ShouldEqual, mishap.Fine)
		So(taken.Sequence, ShouldEqual, 1)
		for number, each := range cores {
			outcome, err := each.Configure(context.Background(), doorRequest(5, 0, 1000+number))
			So(err, ShouldBeNil)
			So(outcome, ShouldResemble, taken)
			outcome, err = each.Configure(context.Background(), doorRequest(9, 4, 1000+number))
			So(err, ShouldBeNil)
			So(outcome.Code, ShouldEqual, mishap.SequenceStale)
			view, err := each.Read(context.Background())
			So(err, ShouldBeNil)
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
				outcome, err := cores[number%3].Configure(context.Background(), doorRequest(uint64(6+number), 5, 1500+number))
				if codes[number] = outcome.Code; err != nil {
					codes[number] = mishap.CodeOf(err, mishap.OutcomeUnknown)
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
			var err error
			if call%2 == 0 {
				_, err = cores[2].Configure(context.Background(), doorRequest(9, 5, 2000+call))
			} else {
				_, err = cores[2].Read(context.Background())
			}
			So(mishap.CodeOf(err, mishap.Fine), ShouldBeIn, mishap.NotOwner, mishap.NoMajority, mishap.OutcomeUnknown)
			So(cores[2].clock.Now()-asked, ShouldBeLessThan, schedule.Second)
		}
		stops[2]()
		group.Wait()
	})
}
