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
	samples := append(gobPrototypes(config.WirePrototypes()), gobPrototypes(consensus.WirePrototypes())...)
	samples = append(samples, gobPrototypes(map[string]any{"snapshot-catalogue": registry.View{}})...)
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
	requests := []config.Request{
		{Kind: config.OperationApply, Key: "first", Document: document},
		{Kind: config.OperationPatch, Key: "second", Expected: 1, Changes: map[string]string{"startMilliseconds": "700"}},
		{Kind: config.OperationEvacuate, Key: "third", Whichever: true, Hall: "nashua", Observed: &config.Observation{Sequence: 2}},
		{Kind: config.OperationStartMaintenance, Key: "fourth", Regions: regions, Notice: maintenance.Window{
			Region: "west", Key: "fourth", Begins: 60 * clock.Second, Window: 30 * clock.Second,
		}},
	}
	state := config.NewState()
	var operations [][]byte
	for _, request := range requests {
		view := state.View()
		operation := config.Encode(must(view.Draft(request)))
		state.Apply(operation)
		operations = append(operations, operation)
	}
	stale := config.Operation{Request: config.Request{Kind: config.OperationRollback, Key: "fifth", Expected: 1}}
	return append(operations, config.Encode(stale))
}

func appliedConfiguration() *config.State {
	state := config.NewState()
	for _, operation := range configurationOperations() {
		state.Apply(operation)
	}
	return state
}

// routedConfiguration has routes in force that were replaced as a whole and then changed.
func routedConfiguration() *config.State {
	bulletin := route.Service{Name: "bulletin", Status: "/status", Circuits: 4, Warm: 2 * clock.Second, ColdRate: 1.5, Slots: 8}
	flag := route.Route{
		Name: "flag", Host: "flag.test", Prefix: "/", Kind: route.KindOneShot, Shares: []route.WeightedService{{Service: "bulletin", Weight: 1}},
		Tries: 2, GiveUp: 3 * clock.Second, Start: clock.Second, Homes: []string{"east"},
	}
	dispatch := route.Route{
		Name: "dispatch", Host: "dispatch.test", Prefix: "/", Kind: route.KindRepeatable, Shares: []route.WeightedService{{Service: "bulletin", Weight: 1}},
		GiveUp: 8 * clock.Second,
	}
	whole := &config.Routing{
		Label: 7, Digest: "digest-7", Routes: map[string]route.Route{"flag": flag}, Services: map[string]route.Service{"bulletin": bulletin},
		Bounds: &route.Limits{Header: 4096, Body: 65536, Waiting: clock.Second, Idle: 30 * clock.Second},
		Items:  map[string][]config.Item{config.CollectionRoutes: {{Name: "flag", Text: "as sent"}}},
		Others: []config.Item{{Name: "comment", Text: "beside the lists"}},
	}
	change := &config.Routing{Label: 9, On: 7, Digest: "digest-9", Routes: map[string]route.Route{"dispatch": dispatch}}
	state := config.NewState()
	for _, request := range []config.Request{
		{Kind: config.OperationReplaceRoutes, Routing: whole},
		{Kind: config.OperationPatchRoutes, Routing: change},
	} {
		state.Apply(config.Encode(config.Operation{Request: request}))
	}
	return state
}

// catalogueOperations enrol engines, sign a contract with them, have one leave and another
// start anew, and take over a change of a mirrored list.
func catalogueOperations() [][]byte {
	var operations [][]byte
	add := func(operation registry.Operation) { operations = append(operations, operation.Encode()) }
	for place := range 3 {
		add(registry.Operation{Kind: registry.OperationRegister, Engine: sampleEngine(place, 1)})
	}
	add(registry.Operation{Kind: registry.OperationAssign, Contract: pairing.Assignment{
		Service: "bulletin", Round: 5, Owner: "control-0",
		Parts:   map[string]string{"engine-0": pairing.RolePrefill, "engine-1": pairing.RoleDecode},
		Pairs:   []pairing.Pair{{Prefill: "engine-0", Decode: "engine-1", Weight: 3}},
		Routers: []string{"router-0", "router-1"},
	}})
	add(registry.Operation{Kind: registry.OperationDrain, Engine: registry.Engine{Name: "engine-2"}})
	add(registry.Operation{Kind: registry.OperationRegister, Engine: sampleEngine(0, 2)})
	mirrored := sampleEngine(3, 1)
	mirrored.Part, mirrored.Slots, mirrored.Weights, mirrored.Cold = pairing.RoleDecode, 8, 2, true
	add(registry.Operation{Kind: registry.OperationSyncEndpoints, Put: []registry.Engine{mirrored}, Drop: []string{"engine-2"}})
	return operations
}

func sampleEngine(place, life int) registry.Engine {
	return registry.Engine{
		Name: fmt.Sprintf("engine-%d", place), Service: "bulletin", Hall: "lowell",
		Address: fmt.Sprintf("127.0.0.1:%d", 7220+place), Incarnation: fmt.Sprintf("life-%d", life),
	}
}

func appliedCatalogue() *registry.State {
	state := registry.NewState()
	for _, operation := range catalogueOperations() {
		state.Apply(operation)
	}
	return state
}
