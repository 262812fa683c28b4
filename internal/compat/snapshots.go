package compat

import (
	_ "embed"
	"errors"
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// The names that several samples share.
const (
	sampleZone    = "lowell"
	sampleAddress = "127.0.0.1:7100"
	sampleService = "bulletin"
	sampleRoute   = "flag"
	patchedRoute  = "dispatch"
	sampleTenant  = "merrimack"
	formerTenant  = "former"
	sampleShards  = 2
)

// document is a small configuration in CUE.
//
//go:embed document.cue
var document string

// stateMachine is a state machine that the log of a shard drives.
type stateMachine interface {
	Apply(operation []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte)
}

// snapshotSamples returns filled snapshots of all state machines, and some that operations lead
// to.
func snapshotSamples() []Sample {
	samples := append(gobPrototypes(config.WirePrototypes()), gobPrototypes(consensus.WirePrototypes())...)
	samples = append(samples, gobPrototypes(map[string]any{
		"snapshot-catalogue": registry.ViewWire{},
		"snapshot-outbox":    outbox.SnapshotWire{},
	})...)
	return append(samples,
		snapshotSample("snapshot-configuration-applied", appliedConfig()),
		snapshotSample("snapshot-configuration-routes", routedConfig()),
		snapshotSample("snapshot-configuration-routes-tenants", tenantConfig()),
		snapshotSample("snapshot-configuration-scaled", scaledConfig()),
		snapshotSample("snapshot-catalogue-applied", appliedRegistry()),
		snapshotSample("snapshot-catalogue-outbox", registryWithOutbox()),
		publishedSample("snapshot-catalogue-published", registryWithOutbox()),
	)
}

func snapshotSample(label string, state stateMachine) Sample {
	return Sample{
		Label:    label,
		Format:   Gob,
		Describe: DescribeGob,
		Encode:   func() ([]byte, error) { return state.Snapshot(), nil },
	}
}

// publishedSample returns the snapshot of a registry as routers get it. What follows the gob stream is described
// byte by byte.
func publishedSample(label string, state *registry.State) Sample {
	return Sample{
		Label:  label,
		Format: Binary,
		Describe: func(data []byte) (string, error) {
			if len(data) == 0 {
				return "", errors.New("empty")
			}
			last := len(data) - 1
			description, err := DescribeGob(data[:last])
			return fmt.Sprintf("%slast byte %x\n", description, data[last:]), err
		},
		Encode: func() ([]byte, error) { return state.PublishedSnapshot(), nil },
	}
}

// configOperations returns operations that apply a document, patch it, evacuate a zone and
// schedule the maintenance of a region. The last one is rejected as stale.
//
//nolint:mnd // The numbers are sample data.
func configOperations() [][]byte {
	regions := []string{"east", "west"}
	requests := []config.Request{
		{Kind: config.OperationApply, Key: "first", Document: document},
		{
			Kind:     config.OperationPatch,
			Key:      "second",
			Expected: 1,
			Changes:  map[string]string{"startMilliseconds": "700"},
		},
		{
			Kind:        config.OperationEvacuate,
			Key:         "third",
			AnyRevision: true,
			Zone:        "nashua",
			Observed:    &config.Observation{Revision: 2},
		},
		{
			Kind:    config.OperationStartMaintenance,
			Key:     "fourth",
			Regions: regions,
			Window: maintenance.Window{
				Region:      "west",
				Key:         "fourth",
				StartsAfter: 60 * clock.Second,
				Duration:    30 * clock.Second,
			},
		},
	}
	state := config.NewState()
	var operations [][]byte
	for _, request := range requests {
		view := state.View()
		operation := must(view.Draft(request)).Encode()
		state.Apply(operation)
		operations = append(operations, operation)
	}
	stale := config.Operation{Request: config.Request{Kind: config.OperationRollback, Key: "fifth", Expected: 1}}
	return append(operations, stale.Encode())
}

func appliedConfig() *config.State {
	state := config.NewState()
	for _, operation := range configOperations() {
		state.Apply(operation)
	}
	return state
}

// replacedRouting returns a routing with one route.
//
//nolint:mnd // The numbers are sample data.
func replacedRouting() *config.Routing {
	service := route.Service{
		Name:           sampleService,
		Status:         "/status",
		MaxConnections: 4,
		WarmUpDuration: 2 * clock.Second,
		WarmUpRate:     1.5,
		Concurrency:    8,
	}
	oneShot := route.Route{
		Name:         sampleRoute,
		Host:         "flag.test",
		Prefix:       "/",
		Kind:         route.KindOneShot,
		Services:     []route.WeightedService{{Service: sampleService, Weight: 1}},
		MaxAttempts:  2,
		TotalTimeout: 3 * clock.Second,
		StartTimeout: clock.Second,
		Regions:      []string{"east"},
	}
	return &config.Routing{
		Label:    7,
		Digest:   "digest-7",
		Routes:   map[string]route.Route{sampleRoute: oneShot},
		Services: map[string]route.Service{sampleService: service},
		Bounds:   &route.Limits{Header: 4096, Body: 65536, HeaderTimeout: clock.Second, IdleTimeout: 30 * clock.Second},
		Items:    map[string][]config.Item{config.CollectionRoutes: {{Name: sampleRoute, Text: "as sent"}}},
		Others:   []config.Item{{Name: "comment", Text: "beside the lists"}},
	}
}

// patchedRouting returns a routing that builds on the replaced one and adds a route.
//
//nolint:mnd // The numbers are sample data.
func patchedRouting() *config.Routing {
	repeatable := route.Route{
		Name:         patchedRoute,
		Host:         "dispatch.test",
		Prefix:       "/",
		Kind:         route.KindRepeatable,
		Services:     []route.WeightedService{{Service: sampleService, Weight: 1}},
		TotalTimeout: 8 * clock.Second,
	}
	return &config.Routing{
		Label:       9,
		ParentLabel: 7,
		Digest:      "digest-9",
		Routes:      map[string]route.Route{patchedRoute: repeatable},
	}
}

// scaledConfig returns a state with a service whose engines may be ordered.
//
//nolint:mnd // The numbers are sample data.
func scaledConfig() *config.State {
	routing := replacedRouting()
	service := routing.Services[sampleService]
	service.Scaling = &route.Scaling{Min: 17, Max: 40, StartUp: 8 * clock.Second}
	routing.Services[sampleService] = service
	state := config.NewState()
	request := config.Request{Kind: config.OperationReplaceRoutes, Routing: routing}
	state.Apply(config.Operation{Request: request}.Encode())
	return state
}

// routedConfig returns a state whose routes were replaced and then patched.
func routedConfig() *config.State {
	state := config.NewState()
	for _, request := range []config.Request{
		{Kind: config.OperationReplaceRoutes, Routing: replacedRouting()},
		{Kind: config.OperationPatchRoutes, Routing: patchedRouting()},
	} {
		state.Apply(config.Operation{Request: request}.Encode())
	}
	return state
}

// tenantConfig returns a state whose routes were patched by a public one and by tenants, of which
// one is removed again.
//
//nolint:mnd // The numbers are sample data.
func tenantConfig() *config.State {
	public := patchedRouting().Routes[patchedRoute]
	public.Public = true
	tenant := credential.Tenant{
		Name:        sampleTenant,
		Priority:    2,
		HasPriority: true,
		Keys:        []credential.Digest{credential.DigestOf("key-1"), credential.DigestOf("key-2")},
	}
	removed := credential.Tenant{Name: formerTenant, Keys: []credential.Digest{credential.DigestOf("key-3")}}
	state := routedConfig()
	for _, routing := range []*config.Routing{
		{
			Label:       10,
			ParentLabel: 9,
			Digest:      "digest-10",
			Routes:      map[string]route.Route{patchedRoute: public},
			Items:       map[string][]config.Item{config.CollectionTenants: {{Name: sampleTenant, Text: "as sent"}}},
			Tenants:     map[string]credential.Tenant{sampleTenant: tenant, formerTenant: removed},
		},
		{
			Label:       12,
			ParentLabel: 10,
			Digest:      "digest-12",
			Remove:      map[string][]string{config.CollectionTenants: {formerTenant}},
		},
	} {
		request := config.Request{Kind: config.OperationPatchRoutes, Routing: routing}
		state.Apply(config.Operation{Request: request}.Encode())
	}
	return state
}

// registryOperations returns operations that register engines, assign them, drain one, register
// another incarnation of one, and synchronize a change of an endpoint list.
//
//nolint:mnd // The numbers are sample data.
func registryOperations() [][]byte {
	var operations [][]byte
	add := func(operation registry.Operation) { operations = append(operations, operation.Encode()) }
	for number := range 3 {
		add(registry.Operation{Kind: registry.OperationRegister, Engine: sampleEngine(number, 1)})
	}
	add(registry.Operation{Kind: registry.OperationAssign, Assignment: pairing.Assignment{
		Service: sampleService,
		Term:    5,
		Owner:   "control-0",
		Roles:   map[string]string{"engine-0": pairing.RolePrefill, "engine-1": pairing.RoleDecode},
		Pairs:   []pairing.Pair{{Prefill: "engine-0", Decode: "engine-1", Weight: 3}},
		Routers: []string{"router-0", "router-1"},
	}})
	add(registry.Operation{Kind: registry.OperationDrain, Engine: registry.Engine{Name: "engine-2"}})
	add(registry.Operation{Kind: registry.OperationRegister, Engine: sampleEngine(0, 2)})
	synchronized := sampleEngine(3, 1)
	synchronized.Role = pairing.RoleDecode
	synchronized.Slots = 8
	synchronized.Weights = 2
	synchronized.WarmingUp = true
	add(registry.Operation{
		Kind: registry.OperationSyncEndpoints,
		Put:  []registry.Engine{synchronized},
		Drop: []string{"engine-2"},
	})
	return operations
}

func sampleEngine(number, incarnation int) registry.Engine {
	const firstPort = 7220
	return registry.Engine{
		Name:        fmt.Sprintf("engine-%d", number),
		Service:     sampleService,
		Zone:        sampleZone,
		Address:     fmt.Sprintf("127.0.0.1:%d", firstPort+number),
		Incarnation: fmt.Sprintf("life-%d", incarnation),
	}
}

func appliedRegistry() *registry.State {
	state := registry.NewState()
	for _, operation := range registryOperations() {
		state.Apply(operation)
	}
	return state
}

// outboxOperations returns operations on an outbox that accept entries of both retentions, deliver one, and
// supersede another.
//
//nolint:mnd // The numbers are sample data.
func outboxOperations() []outbox.Operation {
	windows := outbox.Subject{Kind: "usage", Name: "windows"}
	engines := outbox.Subject{Kind: "capacity", Name: sampleService + "/" + sampleZone}
	newEntry := func(subject outbox.Subject, number uint64, retention outbox.Retention) outbox.Entry {
		return outbox.Entry{
			Subject:   subject,
			Number:    number,
			Retention: retention,
			Priority:  outbox.PriorityIncrease,
			Payload:   fmt.Appendf(nil, "body %d", number),
		}
	}
	return []outbox.Operation{
		{Drafts: []outbox.Entry{newEntry(windows, 353445120, outbox.RetainEach), newEntry(engines, 1, outbox.RetainLatest)}},
		{
			Drafts: []outbox.Entry{newEntry(windows, 353445121, outbox.RetainEach), newEntry(engines, 2, outbox.RetainLatest)},
			Done:   []outbox.Mark{{Subject: windows, Number: 353445120}},
		},
	}
}

func registryWithOutbox() *registry.State {
	state := appliedRegistry()
	for _, operation := range outboxOperations() {
		state.Apply(operation.Encode())
	}
	return state
}
