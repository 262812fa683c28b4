package autoscale

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"coursepass/internal/clock"
)

// comparisonSeeds is the number of seeds with which each day is simulated for each policy. The default is 1; the
// table in docs/autoscaling.md was produced with 5.
var comparisonSeeds = flag.Uint64("comparison-seeds", 1, "seeds of each day in the comparison of policies")

// enginePriceFraction is the price of the initial engines on a calm day, as a fraction of the worth of that day's
// requests. It scales the price of an engine.
const enginePriceFraction = 0.25

// result holds the outcome of a policy on a day: the worth of the answered requests and the price of the engines, as
// fractions of the worth of all requests of the day, the mean number of engines, and the numbers of orders of more
// and of fewer engines.
type result struct {
	worth, price float64
	engines      float64
	ups, downs   float64
}

// net returns the worth minus the price.
func (r result) net() float64 { return r.worth - r.price }

// pricePerEngineSecond returns the price of one engine for one second. It is derived from the calm day and used for
// all days.
func pricePerEngineSecond(seed uint64) float64 {
	calm := simulateDay(seed, days()[0], keepInitial())
	return enginePriceFraction * calm.offeredWorth / (float64(calm.engineTime) / float64(clock.Second))
}

// meanResult returns the mean result of a policy on a day over several seeds.
func meanResult(simulated day, candidate namedPolicy, seeds uint64) result {
	var mean result
	for seed := uint64(1); seed <= seeds; seed++ {
		m := simulateDay(seed, simulated, candidate.make())
		engineSeconds := float64(m.engineTime) / float64(clock.Second)
		share := 1 / float64(seeds)
		mean.worth += share * m.earnedWorth / m.offeredWorth
		mean.price += share * pricePerEngineSecond(seed) * engineSeconds / m.offeredWorth
		mean.engines += share * float64(m.engineTime) / float64(dayLength)
		mean.ups += share * float64(m.ups)
		mean.downs += share * float64(m.downs)
	}
	return mean
}

// TestPolicies_Comparison prints the results of each policy on each day, in the form of the table in
// docs/autoscaling.md, and checks the advantages of the default policy.
func TestPolicies_Comparison(t *testing.T) {
	var table strings.Builder
	table.WriteString("| day | policy | worth | price | left | engines | orders up, down |\n|---|---|---|---|---|---|---|\n")
	results := map[string]map[string]result{}
	for _, simulated := range days() {
		results[simulated.name] = map[string]result{}
		for _, candidate := range policies() {
			mean := meanResult(simulated, candidate, *comparisonSeeds)
			results[simulated.name][candidate.name] = mean
			fmt.Fprintf(&table, "| %s | %s | %.3f | %.3f | %.3f | %.1f | %.1f, %.1f |\n", simulated.name, candidate.name,
				mean.worth, mean.price, mean.net(), mean.engines, mean.ups, mean.downs)
		}
	}
	t.Log("\n" + table.String())
	checkComparison(t, results)
}

// checkComparison checks that the default policy earns about as much as the initial engines, orders no more often than
// the reactive policy, saves engines on a calm day, and profits from its headroom when one of two zones is lost.
func checkComparison(t *testing.T, results map[string]map[string]result) {
	t.Helper()
	for name, byPolicy := range results {
		defaultResult, initialResult := byPolicy[policyDefault], byPolicy[policyStanding]
		reactiveResult := byPolicy[policyReactive]
		if defaultResult.worth < initialResult.worth-0.005 {
			t.Errorf("%s: worth %.3f with the default policy, %.3f with the initial engines",
				name, defaultResult.worth, initialResult.worth)
		}
		if defaultResult.ups+defaultResult.downs > reactiveResult.ups+reactiveResult.downs {
			t.Errorf("%s: %.1f orders with the default policy, %.1f with the reactive one",
				name, defaultResult.ups+defaultResult.downs, reactiveResult.ups+reactiveResult.downs)
		}
	}
	calm := results["calm"]
	if calm[policyDefault].net() <= calm[policyStanding].net() {
		t.Error("calm: worth minus price is not higher with the default policy than with the initial engines")
	}
	lossOfHalf := results["heavy: loss of one zone of two"]
	if lossOfHalf[policyDefault].worth <= lossOfHalf[policyNoHeadroom].worth {
		t.Error("loss of one zone of two: the worth is not higher with zone headroom than without it")
	}
}
