package balancer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
)

// truePrefill holds the true coefficients of an engine's prefill time, in milliseconds: per call, per thousand
// tokens and per million pairs of tokens.
type truePrefill struct{ fixed, perThousand, perMillionPairs float64 }

// duration returns the true duration of a call that computes tokens after a cached prefix.
func (t truePrefill) duration(tokens, cached int) clock.Microseconds {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	milliseconds := t.fixed + t.perThousand*float64(tokens)/1e3 + t.perMillionPairs*pairs/1e6
	return clock.Microseconds(milliseconds * float64(clock.Millisecond))
}

// observeCalls lets a model observe calls to an engine with prompts of all sizes and up to 10 % of noise.
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

// relativeError returns the absolute error of an estimate relative to the true value.
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
				t.Errorf("engine %+v, prompt %+v: the estimate is %d µs, the true duration %d µs", engine, size, estimate, truth)
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
		t.Errorf("after the engine has slowed down, the estimate is %d µs, the true duration %d µs", estimate, truth)
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
		t.Errorf("after bad observations, the estimate is %d µs, the true duration %d µs", estimate, truth)
	}
	before := model.Coefficients()
	if model.Adopt([3]float64{math.NaN(), 1, 1}) || model.Adopt([3]float64{-1, 1, 1}) || model.Adopt([3]float64{1, 1e9, 1}) {
		t.Error("Adopt accepts coefficients out of bounds")
	}
	if model.Coefficients() != before {
		t.Error("coefficients that Adopt rejected have changed the model")
	}
}

func TestPrefillModel_RateStaysWithinBounds(t *testing.T) {
	model := balancer.NewPrefillModel()
	for range 1000 {
		model.Observe(4000, 0, 1)
	}
	if rate := model.Rate(); rate > 400 || math.IsInf(rate, 0) {
		t.Errorf("the rate is %f, want at most 400", rate)
	}
}
