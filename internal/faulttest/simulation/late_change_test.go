package simulation_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
)

const (
	// forwardMarker is part of each call by which a server forwards a request.
	forwardMarker = "/core/operate"
	// lateZone, lateRegion and lateEngine are what the requests of the tests change.
	lateZone   = "sur"
	lateRegion = "south"
	lateEngine = "engine-late"
	// nonMember is the name of the server without a slot.
	nonMember = "core-3"
)

// A lateChangeCase is a change that is delivered late, and the changes that are acknowledged before and after it was
// sent. The last of them must stay in force.
type lateChangeCase struct {
	name   string
	before []func() controlplane.ControlRequest
	late   func() controlplane.ControlRequest
	after  []func() controlplane.ControlRequest
	// inForce reports whether the last acknowledged change is in force.
	inForce func(*lateChangeFleet) bool
}

func zoneRequest(kind config.OperationKind) func() controlplane.ControlRequest {
	return func() controlplane.ControlRequest {
		return controlplane.ControlRequest{Configure: &config.Request{Kind: kind, AnyRevision: true, Zone: lateZone}}
	}
}

func maintenanceRequest(kind config.OperationKind) func() controlplane.ControlRequest {
	return func() controlplane.ControlRequest {
		window := maintenance.Window{Region: lateRegion, StartsAfter: maintenance.MaxDuration}
		return controlplane.ControlRequest{Configure: &config.Request{Kind: kind, Window: window}}
	}
}

func engineRequest(kind registry.OperationKind, incarnation string) func() controlplane.ControlRequest {
	return func() controlplane.ControlRequest {
		engine := registry.Engine{
			Name:        lateEngine,
			Service:     "reservas",
			Zone:        lateZone,
			Address:     "127.0.9.9:2",
			Incarnation: incarnation,
		}
		return controlplane.ControlRequest{
			Service: engine.Service,
			Engines: &registry.Operation{Kind: kind, Engine: engine},
		}
	}
}

func zoneEvacuated(expected bool) func(*lateChangeFleet) bool {
	return func(fleet *lateChangeFleet) bool {
		view := fleet.readConfiguration()
		return view.IsEvacuated(lateZone) == expected
	}
}

func maintenanceScheduled(expected bool) func(*lateChangeFleet) bool {
	return func(fleet *lateChangeFleet) bool {
		view := fleet.readConfiguration()
		_, scheduled := view.MaintenanceOf(lateRegion)
		return scheduled == expected
	}
}

func engineRegistered(incarnation string, draining bool) func(*lateChangeFleet) bool {
	return func(fleet *lateChangeFleet) bool {
		request := controlplane.ControlRequest{Service: "reservas", Read: true}
		response, err := fleet.servers[fleet.leader].Execute(context.Background(), &request)
		if err != nil {
			fleet.Fatal(err)
		}
		engine := response.Engines.Engines[lateEngine]
		return engine.Incarnation == incarnation && engine.Draining == draining
	}
}

// routesLateRequest returns a request that replaces the routes, builds on a label and is compared with it.
func routesLateRequest(label, parent uint64) func() controlplane.ControlRequest {
	return func() controlplane.ControlRequest {
		routing := &config.Routing{Label: label, ParentLabel: parent, Digest: fmt.Sprint(label, parent)}
		return controlplane.ControlRequest{Configure: &config.Request{Kind: config.OperationReplaceRoutes, Routing: routing}}
	}
}

func labelInForce(expected uint64) func(*lateChangeFleet) bool {
	return func(fleet *lateChangeFleet) bool {
		view := fleet.readConfiguration()
		return view.Label == expected
	}
}

type requests = []func() controlplane.ControlRequest

// lateChangeCases returns a case for each kind of change.
func lateChangeCases() []lateChangeCase {
	evacuate, takeBack := zoneRequest(config.OperationEvacuate), zoneRequest(config.OperationReturn)
	schedule := maintenanceRequest(config.OperationStartMaintenance)
	cancel := maintenanceRequest(config.OperationCancelMaintenance)
	register := func(incarnation string) func() controlplane.ControlRequest {
		return engineRequest(registry.OperationRegister, incarnation)
	}
	drain := engineRequest(registry.OperationDrain, "")
	return []lateChangeCase{
		{"return, then evacuated again", requests{evacuate}, takeBack, requests{takeBack, evacuate}, zoneEvacuated(true)},
		{"return, then the evacuation is repeated", requests{evacuate}, takeBack, requests{evacuate}, zoneEvacuated(true)},
		{"evacuation, then returned again", nil, evacuate, requests{evacuate, takeBack}, zoneEvacuated(false)},
		{"evacuation, then the return is repeated", nil, evacuate, requests{takeBack}, zoneEvacuated(false)},
		{"cancellation, then scheduled again", requests{schedule}, cancel, requests{cancel, schedule}, maintenanceScheduled(true)},
		{"window, then cancelled", nil, schedule, requests{schedule, cancel}, maintenanceScheduled(false)},
		{"routes, then others", requests{routesLateRequest(5, 0)}, routesLateRequest(7, 5), requests{routesLateRequest(9, 5)}, labelInForce(9)},
		{"drain, then registered anew", requests{register("1")}, drain, requests{register("2")}, engineRegistered("2", false)},
		{"registration, then two later ones", nil, register("1"), requests{register("2"), register("3")}, engineRegistered("3", false)},
	}
}

// lateChangeFleet is a fleet of three members and a server without a slot.
type lateChangeFleet struct {
	*testFleet
	leader    string
	followers []string
	// closers close the connections of callers.
	closers []func()
}

func (f *lateChangeFleet) closeCallers() {
	for _, closeCaller := range f.closers {
		closeCaller()
	}
}

// runLateChange starts a fleet whose shards all have the same leader.
func runLateChange(t *testing.T, scenario func(*lateChangeFleet)) {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		deployment := smallDeployment()
		deployment.regionOf = map[string]string{"norte": "north", "centro": "north", "sur": lateRegion}
		fleet := &lateChangeFleet{testFleet: newTestFleet(t, directory, deployment, 200)}
		defer fleet.shutDown()
		defer fleet.closeCallers()
		fleet.addDaemons(3, 0, 0)
		fleet.addNonMember()
		for name := range fleet.starters {
			fleet.startDaemon(name)
		}
		fleet.applyDocument()
		time.Sleep(5 * time.Second)
		scenario(fleet)
	})
}

// readConfiguration returns the configuration in force.
func (f *lateChangeFleet) readConfiguration() config.View {
	view, err := f.servers[f.leader].Read(context.Background())
	if err != nil {
		f.Fatal(err)
	}
	return view
}

// setRoles sets the leader and the followers of the shard that a request is for.
func (f *lateChangeFleet) setRoles(request controlplane.ControlRequest) {
	shard := 0
	if request.Engines != nil {
		shard = 1
	}
	f.leader = f.shardLeader(shard)
	if f.leader == "" {
		f.Fatalf("shard %d has no leader", shard)
	}
	f.followers = slices.DeleteFunc([]string{"core-0", "core-1", "core-2"}, func(name string) bool { return name == f.leader })
}

// acknowledge sends changes to the leader, each until it is acknowledged.
func (f *lateChangeFleet) acknowledge(changes requests) {
	for _, change := range changes {
		acknowledged := false
		for range 20 {
			request := change()
			response, err := f.servers[f.leader].Execute(context.Background(), &request)
			if acknowledged = err == nil && response.Code == errcode.OK; acknowledged {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !acknowledged {
			f.Fatalf("a change was not acknowledged: %+v", change())
		}
	}
}

// giveUp sends a request to a server and gives up before the request, which is held back, is answered.
func (f *lateChangeFleet) giveUp(taker string, request controlplane.ControlRequest, hold *simulation.HeldWrites) {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	response, err := f.servers[taker].Execute(ctx, &request)
	acknowledged := err == nil && response.Code == errcode.OK
	if acknowledged || hold.Connections() != 1 {
		f.Fatalf("the request was not held: response %+v, error %v, %d connections", response, err, hold.Connections())
	}
}

// checkInForce delivers what is held and checks that the change acknowledged last is in force.
func (f *lateChangeFleet) checkInForce(testCase lateChangeCase, hold *simulation.HeldWrites) {
	hold.Deliver()
	time.Sleep(2 * time.Second)
	if !testCase.inForce(f) {
		f.Error("a late request undid a change that was acknowledged after the request was given up")
	}
}

// The hops on which a request may be held: on its way from the server that took it, or on its way to the leader.
var lateChangeHops = []struct {
	name  string
	taker func(*lateChangeFleet) string
	links func(*lateChangeFleet) (from, to []string)
}{
	{
		"from a server without a slot",
		func(*lateChangeFleet) string { return nonMember },
		func(f *lateChangeFleet) ([]string, []string) {
			return []string{nonMember}, append(f.followers, f.leader)
		},
	},
	{
		"from the member that passes it on",
		func(*lateChangeFleet) string { return nonMember },
		func(f *lateChangeFleet) ([]string, []string) {
			return append(slices.Clone(f.followers), nonMember), []string{f.leader}
		},
	},
	{
		"from a member that took it",
		func(f *lateChangeFleet) string { return f.followers[0] },
		func(f *lateChangeFleet) ([]string, []string) { return f.followers, []string{f.leader} },
	},
}

// A request is held on its way to the leader until its caller has given up and a contrary request was acknowledged,
// and is then delivered. It must not undo what was acknowledged. Before the leader compared log indexes, a request to
// take a zone back that a server without a slot had taken undid a later evacuation.
func TestLateChange_DoesNotUndoLaterOne(t *testing.T) {
	for _, hop := range lateChangeHops {
		for _, testCase := range lateChangeCases() {
			t.Run(fmt.Sprint(testCase.name, "; held ", hop.name), func(t *testing.T) {
				runLateChange(t, func(fleet *lateChangeFleet) {
					request := testCase.late()
					fleet.setRoles(request)
					fleet.acknowledge(testCase.before)
					time.Sleep(time.Second)
					from, to := hop.links(fleet)
					hold := fleet.HoldWrites(from, to, forwardMarker)
					fleet.giveUp(hop.taker(fleet), request, hold)
					fleet.acknowledge(testCase.after)
					fleet.checkInForce(testCase, hold)
				})
			})
		}
	}
}

// The leader that would have known of a later change is killed before a late request is delivered. Its successor must
// not execute the request either.
func TestLateChange_DoesNotUndoLaterOneAfterLeaderChange(t *testing.T) {
	for _, testCase := range lateChangeCases() {
		t.Run(testCase.name, func(t *testing.T) {
			runLateChange(t, func(fleet *lateChangeFleet) {
				request := testCase.late()
				fleet.setRoles(request)
				fleet.acknowledge(testCase.before)
				time.Sleep(time.Second)
				hold := fleet.HoldWrites([]string{nonMember}, fleet.followers, forwardMarker)
				// A server without a slot forwards to the member that answers first.
				fleet.DelayLink(fleet.leader, nonMember, 100*clock.Millisecond)
				fleet.giveUp(nonMember, request, hold)
				fleet.acknowledge(testCase.after)
				fleet.killDaemon(fleet.leader)
				time.Sleep(8 * time.Second)
				fleet.setRoles(request)
				fleet.checkInForce(testCase, hold)
			})
		})
	}
}

// The server that takes a request is suspended after it has read the request and before it knows a log index. The index
// would be read after the caller gave up, and prove nothing.
func TestLateChange_ServerSuspendedBeforeItObserves(t *testing.T) {
	runLateChange(t, func(fleet *lateChangeFleet) {
		request := zoneRequest(config.OperationEvacuate)()
		fleet.setRoles(request)
		for _, member := range append(fleet.followers, fleet.leader) {
			fleet.DelayLink(member, nonMember, 100*clock.Millisecond)
		}
		time.AfterFunc(50*time.Millisecond, func() { fleet.Suspend(nonMember, 2*clock.Second) })
		_, err := fleet.servers[nonMember].Execute(context.Background(), &request)
		if code := errcode.CodeOf(err, errcode.OK); code != errcode.NoQuorum {
			fleet.Errorf("a request that waited during a suspension has result %v, error %v", code, err)
		}
		if !zoneEvacuated(false)(fleet) {
			fleet.Error("a request that waited during a suspension was executed")
		}
	})
}

func (f *lateChangeFleet) addNonMember() {
	const internalAddress, publicAddress = "10.0.0.3:1", "127.0.0.3:2"
	daemonSettings := f.serverSettings(nonMember, f.zones[0], internalAddress, publicAddress)
	daemonSettings.NonMember = true
	f.addControlServer(daemonSettings)
}
