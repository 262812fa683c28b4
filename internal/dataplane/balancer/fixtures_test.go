package balancer_test

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// testService permits 12 requests per second to an engine that is warming up.
var testService = route.Service{Name: "model", WarmUpRate: 12}

// testOptions returns the options of one of several routers in one zone.
func testOptions(router int) balancer.Options {
	return balancer.Options{
		Router:        fmt.Sprint("router-", router),
		Zone:          "norte",
		WarmupOverrun: 1.5,
		WarmupSlack:   5,
		CrossZoneCost: 1500,
	}
}

// engineName returns the incarnation of the engine at an index of newEngines.
func engineName(index int) string { return fmt.Sprint("engine-", index) }

// newEngines returns an engine for each role, all in the zone of the routers.
func newEngines(roles ...string) []platformport.Engine {
	var engines []platformport.Engine
	for index, role := range roles {
		engines = append(engines, platformport.Engine{
			Incarnation:  engineName(index),
			Address:      fmt.Sprint("address-", index),
			Zone:         "norte",
			Role:         role,
			Slots:        8,
			ModelVersion: 1,
		})
	}
	return engines
}

// newTestBalancer returns the balancer of the only router.
func newTestBalancer(
	engines []platformport.Engine,
	assignment pairing.Assignment,
	evacuatedZones ...string,
) *balancer.Balancer {
	lb := balancer.New(testOptions(0))
	lb.Update(clock.Second, balancer.View{
		Service:        testService,
		Engines:        engines,
		Assignment:     assignment,
		EvacuatedZones: evacuatedZones,
		RouterCount:    1,
	})
	return lb
}

// longRequest returns a request whose prompt has 8000 tokens, 6000 of them in a prefix that all long requests
// share.
func longRequest(number int) balancer.Requirements {
	return balancer.Requirements{
		Key: fmt.Sprint(number),
		Prompt: []platformport.PromptChunk{
			{Name: "shared", Tokens: 6000},
			{Name: fmt.Sprint("own-", number), Tokens: 2000},
		},
	}
}

// shortRequest returns a request that has no prompt chunks and may not be split.
func shortRequest(number int) balancer.Requirements {
	return balancer.Requirements{Key: fmt.Sprint(number), NoSplit: true}
}

// admittedOf100 returns how many of 100 simultaneous requests are admitted to an engine.
func admittedOf100(lb *balancer.Balancer, now clock.Microseconds, incarnation string) int {
	admitted := 0
	for range 100 {
		if lb.Admit(now, incarnation, balancer.PhaseDecode) {
			admitted++
		}
	}
	return admitted
}
