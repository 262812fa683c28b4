package operator

import (
	"fmt"
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
)

// Status prints the whole fleet: what each core says of itself, and every router and
// engine that the cores know.
type Status struct{ Target }

// Run asks every core by itself, and then every router that one of them has heard.
func (s *Status) Run() error {
	reached, newest := 0, uint64(0)
	routers, engines := map[string]core.RouterHeard{}, map[string]catalogue.Report{}
	for _, address := range s.Cores {
		var overview core.Overview
		if err := s.alone(address).Get("/v1/status", &overview); err != nil {
			fmt.Printf("%s: %s\n", address, mishap.Text(err))
			continue
		}
		reached++
		fmt.Printf("core %s  %s  hall %s  identity %s  claims %d\n", overview.Name, address, overview.Hall, overview.Identity, overview.Counters["claims"])
		for _, part := range overview.Parts {
			fmt.Printf("  part %d  slot %d  epoch %d  leader %d  round %d  owner %t  current %t  recovering %t  commit %d  sequence %d  grant left %d ms\n",
				part.Part, part.Slot, part.Epoch, part.Leader, part.Round, part.Owner, part.Current, part.Recovering, part.Commit, part.Sequence, part.GrantLeft/1000)
			if part.Part == 0 && part.Current {
				newest = max(newest, part.Sequence)
			}
		}
		var fleet core.Fleet
		if s.alone(address).Get("/v1/fleet", &fleet) == nil {
			for _, each := range fleet.Routers {
				if known, heard := routers[each.Name]; !heard || each.Ago < known.Ago {
					routers[each.Name] = each
				}
			}
			for _, each := range fleet.Engines {
				engines[each.Name] = each
			}
		}
	}
	if reached == 0 {
		return mishap.New(mishap.CircuitLost, "no core answered")
	}
	for _, name := range slices.Sorted(maps.Keys(routers)) {
		s.router(routers[name], newest)
	}
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		each := engines[name]
		fmt.Printf("engine %s  hall %s  part %s  version %s  running %d of %d  prefixes %d  draining %t  last round %d\n",
			each.Name, each.Hall, each.Part, each.Version, each.Running, each.Capacity, len(each.Prefixes), each.Draining || each.Drained, each.Round)
	}
	s.notices(routers)
	if len(engines) == 0 {
		fmt.Println("no core that was asked leads a service: nothing is told of engines")
	}
	return nil
}

// notices prints the regions under notice, and what routers have there still.
func (s *Status) notices(routers map[string]core.RouterHeard) {
	var shown core.Shown
	if s.Get("/v1/configuration", &shown) != nil {
		return
	}
	for _, each := range shown.Notices {
		fmt.Printf("region %s is drained  phase %d  begins %d s after it was told, over %d s  sequence %d\n",
			each.Region, each.Phase, each.Begins/schedule.Second, each.Window/schedule.Second, each.Sequence)
	}
	if len(shown.Notices) == 0 {
		return
	}
	live := map[string]int{}
	for _, each := range routers {
		for name, count := range each.Live {
			live[name] += count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(live)) {
		fmt.Printf("  engine %s still has %d calls under way\n", name, live[name])
	}
	if len(live) == 0 {
		fmt.Println("  no router tells of calls under way there")
	}
}

func (s *Status) alone(address string) Target {
	return Target{Cores: []string{address}, Network: s.Network}
}

// router prints what one router works by, and how it stands against the cores.
func (s *Status) router(heard core.RouterHeard, newest uint64) {
	var overview router.Overview
	if err := s.alone(heard.Public).Get("/v1/status", &overview); err != nil {
		fmt.Printf("router %s  %s  hall %s  last heard %d ms ago  does not answer\n", heard.Name, heard.Public, heard.Hall, heard.Ago/1000)
		return
	}
	state := "ready"
	switch {
	case !overview.Ready && overview.InForce.Sequence < newest:
		state = "STALE, not ready"
	case !overview.Ready:
		state = "not ready"
	case overview.InForce.Sequence < newest:
		state = "ready, catching up"
	}
	counters := overview.Counters
	fmt.Printf("router %s  %s  hall %s  %s  sequence %d of %d  finished %d  declined %d  cut %d  keys %d  repeats %d\n", heard.Name, heard.Public,
		heard.Hall, state, overview.InForce.Sequence, newest, counters["finished"], counters["declined"], counters["cut"], counters["keys"], counters["repeats"])
}
