package autoscale

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"coursepass/internal/clock"
)

// comparisonSeeds is how many seeds each policy plays each day with. The table of docs/autoscaling.md has 5.
var comparisonSeeds = flag.Uint64("comparison-seeds", 1, "seeds of each day in the comparison of policies")

// enginePricePart is the price of the standing engines on a calm day, as a part of its worth.
const enginePricePart = 0.25

// result is what a policy came to on a day: worth and price as parts of the worth that the day owed, the mean
// number of engines, and the orders.
type result struct {
	worth, price float64
	engines      float64
	ups, downs   float64
}

// left is the worth less the price.
func (r result) left() float64 { return r.worth - r.price }

// pricePerEngineSecond is the same on all days.
func pricePerEngineSecond(seed uint64) float64 {
	calm := playDay(seed, days()[0], standing())
	return enginePricePart * calm.owed / (float64(calm.engineTime) / float64(clock.Second))
}

// meanResult plays a day with several seeds.
func meanResult(played day, made namedPolicy, seeds uint64) result {
	var mean result
	for seed := uint64(1); seed <= seeds; seed++ {
		m := playDay(seed, played, made.make())
		engineSeconds := float64(m.engineTime) / float64(clock.Second)
		share := 1 / float64(seeds)
		mean.worth += share * m.earned / m.owed
		mean.price += share * pricePerEngineSecond(seed) * engineSeconds / m.owed
		mean.engines += share * float64(m.engineTime) / float64(dayLength)
		mean.ups += share * float64(m.ups)
		mean.downs += share * float64(m.downs)
	}
	return mean
}

// TestPolicies_Comparison prints worth and price of each policy on each day: the table of docs/autoscaling.md.
func TestPolicies_Comparison(t *testing.T) {
	var table strings.Builder
	table.WriteString("| day | policy | worth | price | left | engines | orders up, down |\n|---|---|---|---|---|---|---|\n")
	results := map[string]map[string]result{}
	for _, played := range days() {
		results[played.name] = map[string]result{}
		for _, made := range policies() {
			mean := meanResult(played, made, *comparisonSeeds)
			results[played.name][made.name] = mean
			fmt.Fprintf(&table, "| %s | %s | %.3f | %.3f | %.3f | %.1f | %.1f, %.1f |\n", played.name, made.name,
				mean.worth, mean.price, mean.left(), mean.engines, mean.ups, mean.downs)
		}
	}
	t.Log("\n" + table.String())
	checkComparison(t, results)
}

// checkComparison checks what the default policy is for.
func checkComparison(t *testing.T, results map[string]map[string]result) {
	t.Helper()
	for name, byPolicy := range results {
		best, stands, reacts := byPolicy[policyDefault], byPolicy[policyStanding], byPolicy[policyReactive]
		if best.worth < stands.worth-0.005 {
			t.Errorf("%s: a worth of %.3f, with the standing engines %.3f", name, best.worth, stands.worth)
		}
		if best.ups+best.downs > reacts.ups+reacts.downs {
			t.Errorf("%s: %.1f orders, reactive %.1f", name, best.ups+best.downs, reacts.ups+reacts.downs)
		}
	}
	calm := results["calm"]
	if calm[policyDefault].left() <= calm[policyStanding].left() {
		t.Error("nothing is saved on a calm day")
	}
	lossOfHalf := results["heavy: loss of one zone of two"]
	if lossOfHalf[policyDefault].worth <= lossOfHalf[policyNoHeadroom].worth {
		t.Error("headroom for a zone earns nothing when one of two is lost")
	}
}
