package proxy_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/dataplane/placement"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// leavingClient is a scripted client that calls hooks at the moments at which an engine may leave service.
type leavingClient struct {
	scriptedClient
	// whileOpening is called while the connection for a call opens, before the attempt may be withdrawn.
	whileOpening func(attempt platformport.Attempt, prefill bool)
	// whilePrefilling is called after a prefill call was sent.
	whilePrefilling func()
}

func (l *leavingClient) Prefill(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	l.whileOpening(attempt, true)
	if attempt.Withdrawn() {
		return platformport.KVHandle{}, platformport.OutcomeWithdrawn, context.Canceled
	}
	l.whilePrefilling()
	return l.scriptedClient.Prefill(ctx, attempt)
}

func (l *leavingClient) Generate(
	ctx context.Context,
	attempt platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	l.whileOpening(attempt, false)
	if attempt.Withdrawn() {
		return platformport.Response{}, platformport.OutcomeWithdrawn, context.Canceled
	}
	return l.scriptedClient.Generate(ctx, attempt)
}

// leavingFleet is a proxy with prefill engines 0 and 1 and decode engines 2, 3 and 4, each in a zone of its own.
type leavingFleet struct {
	client    *leavingClient
	forwarder *proxy.Proxy
	engines   map[string]registry.Engine
	changing  []string
	owners    []pairing.PlacementOwner
}

func newLeavingFleet() *leavingFleet {
	fleet := &leavingFleet{
		client: &leavingClient{
			scriptedClient: scriptedClient{
				prefillOutcome: platformport.OutcomeAnswered,
				results:        []callResult{answered("id: 1\n\n")},
			},
			whileOpening:    func(platformport.Attempt, bool) {},
			whilePrefilling: func() {},
		},
		engines: map[string]registry.Engine{},
	}
	fleet.forwarder = newTestProxy(fleet.client, 1, false)
	for number := range 5 {
		name := fmt.Sprint("engine-", number)
		role := pairing.RoleDecode
		if number < 2 {
			role = pairing.RolePrefill
		}
		fleet.engines[name] = registry.Engine{
			Name:        name,
			Incarnation: name,
			Service:     "model",
			Zone:        "zone-of-" + name,
			Address:     fmt.Sprintf("10.0.0.%d:1", number),
			Role:        role,
			Slots:       8,
		}
	}
	fleet.update()
	return fleet
}

// update gives the proxy the list of engines and the assignment.
func (l *leavingFleet) update() {
	l.forwarder.UpdateEngines(registry.View{
		Engines: l.engines,
		Assignments: map[string]pairing.Assignment{"model": {
			Service:         "model",
			ChangingRole:    l.changing,
			PlacementOwners: l.owners,
		}},
	}, 1)
}

// change changes the entry of an engine.
func (l *leavingFleet) change(name string, change func(*registry.Engine)) {
	engine := l.engines[name]
	change(&engine)
	l.engines[name] = engine
	l.update()
}

// The ways in which an engine leaves service.
var waysToLeave = map[string]func(*leavingFleet, string){
	"draining": func(fleet *leavingFleet, name string) {
		fleet.change(name, func(engine *registry.Engine) { engine.Draining = true })
	},
	"gone": func(fleet *leavingFleet, name string) {
		delete(fleet.engines, name)
		fleet.update()
	},
	"changing its role": func(fleet *leavingFleet, name string) {
		fleet.changing = append(fleet.changing, name)
		fleet.update()
	},
	"in the other role": func(fleet *leavingFleet, name string) {
		fleet.change(name, func(engine *registry.Engine) {
			if engine.Role == pairing.RolePrefill {
				engine.Role = pairing.RoleDecode
				return
			}
			engine.Role = pairing.RolePrefill
		})
	},
	"in an evacuated zone": func(fleet *leavingFleet, name string) {
		view := config.View{RouteTable: singleRoute(1, false)}
		view.Evacuated = []string{fleet.engines[name].Zone}
		fleet.forwarder.Configure(view)
		fleet.update()
	},
}

// checkServedElsewhere forwards a request and checks that it was served by one prefill and one run, neither at an
// engine that had left.
func (l *leavingFleet) checkServedElsewhere(left *[]string) {
	recorder, completed := forward(l.forwarder, newLongPromptRequest())
	So(completed, ShouldBeTrue)
	So(recorder.body.String(), ShouldEqual, "id: 1\n\n")
	So(*left, ShouldNotBeEmpty)
	So(len(l.client.prefills), ShouldEqual, 1)
	So(len(l.client.attempts), ShouldEqual, 1)
	run := l.client.attempts[0]
	So(*left, ShouldNotContain, run.Incarnation)
	So(run.KVSource, ShouldEqual, l.client.prefills[0].Address+"/memory")
	So(l.client.releasedKV, ShouldBeEmpty)
	So(l.forwarder.InvalidTransitions.Load(), ShouldEqual, 0)
	So(l.forwarder.EngineFailures.Load(), ShouldEqual, 0)
}

// The decode engine is selected before the prompt is prefilled, which may take seconds. An engine that leaves service
// meanwhile must not get the run, and the request must not lose its KV cache on the way to another engine.
func TestLeavingEngine_GetsNoRunAfterPrefill(t *testing.T) {
	for way, leave := range waysToLeave {
		if way == "in an evacuated zone" {
			continue // Tested one engine at a time below: a configuration replaces the evacuated zones.
		}
		Convey("two of three decode engines are "+way+" when the prompt has been prefilled", t, func() {
			// Whichever engine was selected, it leaves in at least two of the three cases.
			for _, remaining := range []string{"engine-2", "engine-3", "engine-4"} {
				fleet := newLeavingFleet()
				var left []string
				fleet.client.whilePrefilling = func() {
					for _, name := range []string{"engine-2", "engine-3", "engine-4"} {
						if name != remaining {
							leave(fleet, name)
							left = append(left, name)
						}
					}
				}
				fleet.checkServedElsewhere(&left)
			}
		})
	}
}

// An engine leaves service while the connection for a call to it opens. The call must not be sent, and costs neither
// the prefill nor an attempt of the route, which has only one.
func TestLeavingEngine_GetsNoCallOnceConnected(t *testing.T) {
	for way, leave := range waysToLeave {
		for _, prefill := range []bool{true, false} {
			Convey(fmt.Sprintf("an engine is %s when the connection is open, prefill %v", way, prefill), t, func() {
				fleet := newLeavingFleet()
				var left []string
				fleet.client.whileOpening = func(attempt platformport.Attempt, isPrefill bool) {
					if isPrefill == prefill && len(left) == 0 {
						leave(fleet, attempt.Incarnation)
						left = append(left, attempt.Incarnation)
					}
				}
				fleet.checkServedElsewhere(&left)
				So(slices.Contains(left, fleet.client.prefills[0].Incarnation), ShouldBeFalse)
			})
		}
	}
}

// The selected decode engine ends while the prompt is prefilled, and no connection to it can be opened. Another engine
// must fetch the KV cache: the time left may be too short for a second prefill.
func TestLeavingEngine_UnreachableAfterPrefill(t *testing.T) {
	Convey("the first generate call can't be sent", t, func() {
		fleet := newLeavingFleet()
		fleet.client.results = []callResult{{outcome: platformport.OutcomeNotSent}, answered("id: 1\n\n")}
		recorder, completed := forward(fleet.forwarder, newLongPromptRequest())
		So(completed, ShouldBeTrue)
		So(recorder.body.String(), ShouldEqual, "id: 1\n\n")
		So(len(fleet.client.prefills), ShouldEqual, 1)
		So(len(fleet.client.attempts), ShouldEqual, 2)
		So(fleet.client.attempts[0].Incarnation, ShouldNotEqual, fleet.client.attempts[1].Incarnation)
		So(fleet.client.attempts[0].KVSource, ShouldEqual, fleet.client.attempts[1].KVSource)
		So(fleet.client.releasedKV, ShouldBeEmpty)
		So(fleet.forwarder.DecodersReplaced.Load(), ShouldEqual, 1)
		So(fleet.forwarder.InvalidTransitions.Load(), ShouldEqual, 0)
	})
}

// No decode engine is left when the prompt has been prefilled. The request ends as not run, and its KV cache is
// released.
func TestLeavingEngine_NoOtherEngine(t *testing.T) {
	Convey("all decode engines are draining when the prompt has been prefilled", t, func() {
		fleet := newLeavingFleet()
		fleet.client.whilePrefilling = func() {
			for _, name := range []string{"engine-2", "engine-3", "engine-4"} {
				waysToLeave["draining"](fleet, name)
			}
		}
		recorder, _ := forward(fleet.forwarder, newLongPromptRequest())
		So(recorder.code.Status(), ShouldEqual, 503)
		So(fleet.client.attempts, ShouldBeEmpty)
		So(fleet.forwarder.KVReleased.Load(), ShouldEqual, 1)
	})
}

// The placement owner selects the engine that replaces a leaving one, since it knows of the replacements of all
// routers. An answer that this router can't use must not lose the request.
func TestLeavingEngine_OwnerReplacesDecoder(t *testing.T) {
	for chosen, expected := range map[string][]string{
		"engine-3": {"engine-3"},
		"engine-4": {"engine-4"},
		"engine-2": {"engine-3", "engine-4"},
		"engine-0": {"engine-3", "engine-4"},
		"engine-9": {"engine-3", "engine-4"},
	} {
		Convey("the owner chooses "+chosen+" in place of engine-2", t, func() {
			fleet := newLeavingFleet()
			fleet.owners = []pairing.PlacementOwner{{Router: "owner", Address: "10.0.0.9:1", Zone: "norte"}}
			owner := &scriptedOwner{answer: placement.Answer{
				Placed:       true,
				Prefiller:    "engine-0",
				Decoder:      "engine-2",
				PrefillTerms: []float64{70, 30, 1},
			}}
			fleet.forwarder.Placer = owner
			fleet.update()
			var left []string
			fleet.client.whilePrefilling = func() {
				waysToLeave["draining"](fleet, "engine-2")
				left = append(left, "engine-2")
				owner.answer.Prefiller, owner.answer.Decoder = "", chosen
			}
			fleet.checkServedElsewhere(&left)
			So(expected, ShouldContain, fleet.client.attempts[0].Incarnation)
			So(len(owner.queries), ShouldEqual, 2)
			replacement := owner.queries[1]
			So(replacement.NoSplit, ShouldBeTrue)
			So(replacement.Prompt, ShouldResemble, []placement.Chunk{{}})
			So(replacement.FetchedTokens, ShouldEqual, platformport.UnsharedTokens(newLongPromptRequest().Prompt))
			So(replacement.Excluded, ShouldContain, "engine-2")
			So(replacement.Check(), ShouldBeNil)
		})
	}
}
