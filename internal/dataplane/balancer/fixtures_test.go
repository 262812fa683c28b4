package balancer_test

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// testService permits twelve requests a second to an engine that is warming up.
var testService = route.Service{Name: "model", WarmUpRate: 12}

// testOptions are the options of one of several routers in one zone.
func testOptions(router int) balancer.Options {
	return balancer.Options{
		Router:        fmt.Sprint("router-", router),
		Zone:          "norte",
		WarmupOverrun: 1.5,
		WarmupSlack:   5,
		CrossZoneCost: 1500,
	}
}

// engineName is the incarnation of an engine of newEngines.
func engineName(index int) string { return fmt.Sprint("engine-", index) }

// newEngines returns an engine for each role, all in the routers' zone.
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

// longRequest is a request with a long prompt, most of which it shares with all others.
func longRequest(number int) balancer.Requirements {
	return balancer.Requirements{
		Key: fmt.Sprint(number),
		Prompt: []platformport.PromptChunk{
			{Name: "shared", Tokens: 6000},
			{Name: fmt.Sprint("own-", number), Tokens: 2000},
		},
	}
}

// shortRequest is a request that a decoder serves by itself.
func shortRequest(number int) balancer.Requirements {
	return balancer.Requirements{Key: fmt.Sprint(number), NoSplit: true}
}

// admittedOf100 counts how many of a hundred requests at once an engine admits.
func admittedOf100(lb *balancer.Balancer, now clock.Microseconds, incarnation string) int {
	admitted := 0
	for range 100 {
		if lb.Admit(now, incarnation) {
			admitted++
		}
	}
	return admitted
}
