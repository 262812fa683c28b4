package balancer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
)

// truePrefill is what an engine really takes, in milliseconds: for a call, for a thousand tokens and for a
// million pairs.
type truePrefill struct{ fixed, perThousand, perMillionPairs float64 }

func (t truePrefill) duration(tokens, cached int) clock.Microseconds {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	milliseconds := t.fixed + t.perThousand*float64(tokens)/1e3 + t.perMillionPairs*pairs/1e6
	return clock.Microseconds(milliseconds * float64(clock.Millisecond))
}

// observeCalls has a model observe calls with prompts of all sizes and a little noise.
func observeCalls(model *balancer.PrefillModel, engine truePrefill, count int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		tokens := 100 + random.IntN(600)
		cached := random.IntN(300)
		if random.IntN(3) == 0 {
			tokens, cached = 500+random.IntN(9000), random.IntN(7000)
		}
		noise := 1 + 0.1*random.Float64()
		elapsed := clock.Microseconds(float64(engine.duration(tokens, cached)) * noise)
		model.Observe(tokens, cached, elapsed)
	}
}

// relativeError returns by how much an estimate is off.
func relativeError(estimate, truth clock.Microseconds) float64 {
	return math.Abs(float64(estimate-truth)) / float64(truth)
}

func TestPrefillModel_LearnsEnginesThreeTimesOff(t *testing.T) {
	for _, engine := range []truePrefill{
		{16, 25, 0.3},
		{72, 31, 1.2},
		{5, 8, 0.1},
		{48, 75, 0.9},
		{200, 93, 3.5},
	} {
		model := balancer.NewPrefillModel()
		observeCalls(model, engine, 300)
		for _, size := range []struct{ tokens, cached int }{{300, 200}, {800, 0}, {3000, 6000}, {9000, 0}} {
			estimate, truth := model.Duration(size.tokens, size.cached), engine.duration(size.tokens, size.cached)
			if relativeError(estimate, truth) > 0.2 {
				t.Errorf("%+v, %+v: %d µs estimated, %d µs are true", engine, size, estimate, truth)
			}
		}
	}
}

func TestPrefillModel_FollowsAChangedEngine(t *testing.T) {
	model := balancer.NewPrefillModel()
	observeCalls(model, truePrefill{16, 18, 0.2}, 2000)
	slower := truePrefill{48, 54, 0.6}
	observeCalls(model, slower, 400)
	if estimate, truth := model.Duration(3000, 6000), slower.duration(3000, 6000); relativeError(estimate, truth) > 0.3 {
		t.Errorf("%d µs estimated, %d µs are true", estimate, truth)
	}
}

func TestPrefillModel_BadObservations(t *testing.T) {
	model := balancer.NewPrefillModel()
	engine := truePrefill{16, 18, 0.2}
	observeCalls(model, engine, 1000)
	for _, observation := range []struct {
		tokens, cached int
		elapsed        clock.Microseconds
	}{
		{-1, 0, clock.Second},
		{100, -1, clock.Second},
		{100, 0, 0},
		{100, 0, -clock.Second},
		{100, 0, math.MaxInt64},
		{0, 0, math.MaxInt64},
	} {
		model.Observe(observation.tokens, observation.cached, observation.elapsed)
	}
	if estimate, truth := model.Duration(800, 0), engine.duration(800, 0); relativeError(estimate, truth) > 0.2 {
		t.Errorf("%d µs estimated, %d µs are true", estimate, truth)
	}
	before := model.Coefficients()
	if model.Adopt([3]float64{math.NaN(), 1, 1}) || model.Adopt([3]float64{-1, 1, 1}) || model.Adopt([3]float64{1, 1e9, 1}) {
		t.Error("coefficients out of bounds are adopted")
	}
	if model.Coefficients() != before {
		t.Error("rejected coefficients have changed the model")
	}
}

func TestPrefillModel_RateStaysWithinBounds(t *testing.T) {
	model := balancer.NewPrefillModel()
	for range 1000 {
		model.Observe(4000, 0, 1)
	}
	if rate := model.Rate(); rate > 400 || math.IsInf(rate, 0) {
		t.Errorf("rate %f", rate)
	}
}
