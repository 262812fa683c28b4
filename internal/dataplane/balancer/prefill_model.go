package balancer

import (
	"math"

	"coursepass/internal/clock"
)

// The terms of the duration of a prefill call: a fixed term, a term proportional to the number of tokens that
// the engine computes, and a term proportional to the number of pairs of a computed token and a token before it
// (attention).
const (
	fixedTerm = iota
	tokenTerm
	pairTerm

	prefillTerms = 3
)

const (
	tokensPerThousand = 1e3
	pairsPerMillion   = 1e6
	// priorSamples is the weight of the initial coefficients as a number of observations.
	priorSamples = 8
	// priorTokens, in thousands, and priorPairs, in millions, are the typical sizes that weight the prior
	// of the token coefficient and of the pair coefficient.
	priorTokens = 1
	priorPairs  = 4
	// forgettingFactor is the factor by which each observation reduces the weight of all earlier ones. About
	// the last two hundred observations count.
	forgettingFactor = 0.995
	// maxObservationRatio is the maximum ratio between an observation and its estimate, in both directions.
	// Observations beyond it are clipped: one call to an engine that hangs must not count more than a
	// dozen calls to working engines. A wrong estimate is corrected over several observations.
	maxObservationRatio = 2.0
	// maxEquivalenceRatio is the maximum ratio between the equivalent tokens of a prompt and its tokens.
	maxEquivalenceRatio = 8
	// maxPrefillTerm is the maximum of each coefficient, in milliseconds.
	maxPrefillTerm = 2000
)

// initialPrefillTerms are the initial coefficients, in milliseconds: per call, per thousand tokens, per
// million pairs.
var initialPrefillTerms = [prefillTerms]float64{16, 25, 0.3}

// PrefillModel estimates the duration of a prefill call that finds no queue. It is a least squares fit with
// exponential forgetting: later observations count more.
type PrefillModel struct {
	coefficients [prefillTerms]float64
	// products and response are the weighted sums of the normal equations: of the products of two sizes,
	// and of the products of a size and the duration.
	products [prefillTerms][prefillTerms]float64
	response [prefillTerms]float64
}

// NewPrefillModel returns a model with the initial coefficients.
func NewPrefillModel() *PrefillModel {
	model := &PrefillModel{coefficients: initialPrefillTerms}
	for term, size := range [prefillTerms]float64{1, priorTokens, priorPairs} {
		model.products[term][term] = priorSamples * size * size
		model.response[term] = model.products[term][term] * initialPrefillTerms[term]
	}
	return model
}

// prefillSizes returns the sizes by which the coefficients are multiplied, for a call that computes tokens
// after a cached prefix.
func prefillSizes(tokens, cached int) [prefillTerms]float64 {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	return [prefillTerms]float64{1, float64(tokens) / tokensPerThousand, pairs / pairsPerMillion}
}

// Duration returns the estimated duration of a call that computes tokens after a cached prefix.
func (p *PrefillModel) Duration(tokens, cached int) clock.Microseconds {
	return p.sum(prefillSizes(tokens, cached), fixedTerm)
}

// Busy returns the estimated time for which such a call keeps the engine busy, so that other calls wait: the
// duration without the fixed part.
func (p *PrefillModel) Busy(tokens, cached int) clock.Microseconds {
	return p.sum(prefillSizes(tokens, cached), tokenTerm)
}

// sum returns the sum of the terms from index first on.
func (p *PrefillModel) sum(sizes [prefillTerms]float64, first int) clock.Microseconds {
	milliseconds := 0.0
	for term := first; term < prefillTerms; term++ {
		milliseconds += p.coefficients[term] * sizes[term]
	}
	return clock.Microseconds(milliseconds * float64(clock.Millisecond))
}

// Fixed returns the estimated fixed part of the duration of a call.
func (p *PrefillModel) Fixed() clock.Microseconds {
	return clock.Microseconds(p.coefficients[fixedTerm] * float64(clock.Millisecond))
}

// Rate returns the estimated prefill rate in tokens per millisecond, without the pair term. It lies between
// minPrefillRate and maxPrefillRate.
func (p *PrefillModel) Rate() float64 {
	return min(max(tokensPerThousand/max(p.coefficients[tokenTerm], math.SmallestNonzeroFloat32), minPrefillRate),
		maxPrefillRate)
}

// EquivalentTokens returns the number of tokens that, at the rate of Rate, keep an engine busy for as long as
// the given tokens after a cached prefix. The result is at least tokens and at most maxEquivalenceRatio times
// tokens.
func (p *PrefillModel) EquivalentTokens(tokens, cached int) int {
	milliseconds := float64(p.Busy(tokens, cached)) / float64(clock.Millisecond)
	return max(tokens, int(min(milliseconds*p.Rate(), maxEquivalenceRatio*float64(tokens))))
}

// Observe updates the model with the duration of a call that found no queue.
func (p *PrefillModel) Observe(tokens, cached int, elapsed clock.Microseconds) {
	sizes := prefillSizes(tokens, cached)
	expected := float64(p.sum(sizes, fixedTerm)) / float64(clock.Millisecond)
	if tokens < 0 || cached < 0 || expected <= 0 || elapsed <= 0 {
		return
	}
	observed := float64(elapsed) / float64(clock.Millisecond)
	observed = min(max(observed, expected/maxObservationRatio), expected*maxObservationRatio)
	for row := range prefillTerms {
		for column := range prefillTerms {
			p.products[row][column] = p.products[row][column]*forgettingFactor + sizes[row]*sizes[column]
		}
		p.response[row] = p.response[row]*forgettingFactor + sizes[row]*observed
	}
	p.solve()
}

// solve sets the coefficients to an approximate solution of the normal equations. It uses coordinate descent,
// which keeps each coefficient within its bounds.
func (p *PrefillModel) solve() {
	const rounds = 20
	for range rounds {
		for row := range prefillTerms {
			if p.products[row][row] <= 0 {
				continue
			}
			residual := p.response[row]
			for column := range prefillTerms {
				if column != row {
					residual -= p.products[row][column] * p.coefficients[column]
				}
			}
			p.coefficients[row] = min(max(residual/p.products[row][row], 0), maxPrefillTerm)
		}
	}
}

// Coefficients returns the coefficients of the model, in milliseconds: per call, per thousand tokens and per
// million pairs.
func (p *PrefillModel) Coefficients() [prefillTerms]float64 { return p.coefficients }

// Adopt replaces the coefficients by those of another router's model. It returns false and changes nothing if
// a coefficient is out of bounds.
func (p *PrefillModel) Adopt(coefficients [prefillTerms]float64) bool {
	for _, coefficient := range coefficients {
		if math.IsNaN(coefficient) || coefficient < 0 || coefficient > maxPrefillTerm {
			return false
		}
	}
	p.coefficients = coefficients
	return true
}
