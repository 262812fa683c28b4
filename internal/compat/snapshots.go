package compat

import (
	_ "embed"
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// document is a small configuration in CUE.
//
//go:embed document.cue
var document string

// stateMachine is what the log of a part builds.
type stateMachine interface {
	Apply(operation []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte)
}

// snapshotSamples are filled snapshots of all state machines, and such as operations lead
// to.
func snapshotSamples() []Sample {
	samples := append(gobPrototypes(configuration.WirePrototypes()), gobPrototypes(part.WirePrototypes())...)
	samples = append(samples, gobPrototypes(map[string]any{"snapshot-catalogue": catalogue.View{}})...)
	return append(samples,
		snapshotSample("snapshot-configuration-applied", appliedConfiguration()),
		snapshotSample("snapshot-configuration-routes", routedConfiguration()),
		snapshotSample("snapshot-catalogue-applied", appliedCatalogue()),
	)
}

func snapshotSample(label string, state stateMachine) Sample {
	return Sample{
		Label: label, Format: Gob, Describe: DescribeGob,
		Encode: func() ([]byte, error) { return state.Snapshot(), nil },
	}
}

// configurationOperations are what puts a plan in force, changes it, evacuates a hall and
// drains a region. The last is declined, since another came first.
func configurationOperations() [][]byte {
	regions := []string{"east", "west"}
	requests := []configuration.Request{
		{Kind: configuration.Whole, Key: "first", Document: document},
		{Kind: configuration.Small, Key: "second", Expected: 1, Changes: map[string]string{"startMilliseconds": "700"}},
		{Kind: configuration.Evacuate, Key: "third", Whichever: true, Hall: "nashua", Observed: &configuration.Observation{Sequence: 2}},
		{Kind: configuration.Notice, Key: "fourth", Regions: regions, Notice: notice.Notice{
			Region: "west", Key: "fourth", Begins: 60 * schedule.Second, Window: 30 * schedule.Second,
		}},
	}
	state := configuration.NewState()
	var operations [][]byte
	for _, request := range requests {
		view := state.View()
		operation := configuration.Encode(must(view.Draft(request)))
		state.Apply(operation)
		operations = append(operations, operation)
	}
	stale := configuration.Operation{Request: configuration.Request{Kind: configuration.Back, Key: "fifth", Expected: 1}}
	return append(operations, configuration.Encode(stale))
}

func appliedConfiguration() *configuration.State {
	state := configuration.NewState()
	for _, operation := range configurationOperations() {
		state.Apply(operation)
	}
	return state
}

// routedConfiguration has routes in force that were replaced as a whole and then changed.
func routedConfiguration() *configuration.State {
	bulletin := route.Service{Name: "bulletin", Status: "/status", Circuits: 4, Warm: 2 * schedule.Second, ColdRate: 1.5, Slots: 8}
	flag := route.Route{
		Name: "flag", Host: "flag.test", Prefix: "/", Kind: route.OneShot, Shares: []route.Share{{Service: "bulletin", Weight: 1}},
		Tries: 2, GiveUp: 3 * schedule.Second, Start: schedule.Second, Homes: []string{"east"},
	}
	dispatch := route.Route{
		Name: "dispatch", Host: "dispatch.test", Prefix: "/", Kind: route.Repeatable, Shares: []route.Share{{Service: "bulletin", Weight: 1}},
		GiveUp: 8 * schedule.Second,
	}
	whole := &configuration.Routing{
		Label: 7, Digest: "digest-7", Routes: map[string]route.Route{"flag": flag}, Services: map[string]route.Service{"bulletin": bulletin},
		Bounds: &route.Bounds{Header: 4096, Body: 65536, Waiting: schedule.Second, Idle: 30 * schedule.Second},
		Items:  map[string][]configuration.Item{configuration.RouteList: {{Name: "flag", Text: "as sent"}}},
		Others: []configuration.Item{{Name: "comment", Text: "beside the lists"}},
	}
	change := &configuration.Routing{Label: 9, On: 7, Digest: "digest-9", Routes: map[string]route.Route{"dispatch": dispatch}}
	state := configuration.NewState()
	for _, request := range []configuration.Request{
		{Kind: configuration.Routes, Routing: whole},
		{Kind: configuration.RoutesChange, Routing: change},
	} {
		state.Apply(configuration.Encode(configuration.Operation{Request: request}))
	}
	return state
}

// catalogueOperations enrol engines, sign a contract with them, have one leave and another
// start anew, and take over a change of a mirrored list.
func catalogueOperations() [][]byte {
	var operations [][]byte
	add := func(operation catalogue.Operation) { operations = append(operations, operation.Encode()) }
	for place := range 3 {
		add(catalogue.Operation{Kind: catalogue.Enrol, Engine: sampleEngine(place, 1)})
	}
	add(catalogue.Operation{Kind: catalogue.Sign, Contract: contract.Contract{
		Service: "bulletin", Round: 5, Owner: "control-0",
		Parts:   map[string]string{"engine-0": contract.Prefill, "engine-1": contract.Decode},
		Pairs:   []contract.Pair{{Prefill: "engine-0", Decode: "engine-1", Weight: 3}},
		Routers: []string{"router-0", "router-1"},
	}})
	add(catalogue.Operation{Kind: catalogue.Leave, Engine: catalogue.Engine{Name: "engine-2"}})
	add(catalogue.Operation{Kind: catalogue.Enrol, Engine: sampleEngine(0, 2)})
	mirrored := sampleEngine(3, 1)
	mirrored.Part, mirrored.Slots, mirrored.Weights, mirrored.Cold = contract.Decode, 8, 2, true
	add(catalogue.Operation{Kind: catalogue.Mirror, Put: []catalogue.Engine{mirrored}, Drop: []string{"engine-2"}})
	return operations
}

func sampleEngine(place, life int) catalogue.Engine {
	return catalogue.Engine{
		Name: fmt.Sprintf("engine-%d", place), Service: "bulletin", Hall: "lowell",
		Address: fmt.Sprintf("127.0.0.1:%d", 7220+place), Incarnation: fmt.Sprintf("life-%d", life),
	}
}

func appliedCatalogue() *catalogue.State {
	state := catalogue.NewState()
	for _, operation := range catalogueOperations() {
		state.Apply(operation)
	}
	return state
}
