package proxy

import (
	"fmt"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

func BenchmarkUpdateEngines(b *testing.B) {
	p := New(Options{Options: balancer.Options{Router: "router-0", Zone: "zone-0"}}, clock.New(), nil)
	p.configView.Store(&config.View{RouteTable: route.Table{Services: map[string]route.Service{"s": {Name: "s"}}}})
	view := registry.NewState().View
	assignment := pairing.Assignment{Service: "s", Roles: map[string]string{}, AffinityGroups: map[string]string{}}
	for number := range 3000 {
		name := fmt.Sprintf("i-%08x", number*2654435761&0xffffffff)
		role := []string{pairing.RolePrefill, pairing.RoleDecode}[number/6%2]
		view.Engines[name] = registry.Engine{Name: name, Incarnation: name, Service: "s", Zone: fmt.Sprint("zone-", number%6), Address: fmt.Sprintf("10.3.%d.%d:8000", number/250, number%250), Role: role, Slots: 16, Weights: 1}
		assignment.Roles[name] = role
		assignment.AffinityGroups[name] = "1"
	}
	for number := range 94 {
		assignment.PlacementOwners = append(assignment.PlacementOwners, pairing.PlacementOwner{Router: fmt.Sprint("router-", number), Address: "10.1.2.3:4", Zone: fmt.Sprint("zone-", number%6)})
	}
	view.Assignments["s"] = assignment
	for b.Loop() {
		p.UpdateEngines(view, 300)
	}
}
