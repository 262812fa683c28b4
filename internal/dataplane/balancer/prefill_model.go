package balancer

import (
	"math"

	"coursepass/internal/clock"
)

// The terms of the time that an engine takes for a prefill call: a fixed part, one for each token that it
// computes, and one for each pair of a computed token with a token before it.
const (
	fixedTerm = iota
	tokenTerm
	pairTerm

	prefillTerms = 3
)

const (
	tokensPerThousand = 1e3
	pairsPerMillion   = 1e6
	// priorSamples is how many observations the initial coefficients are worth.
	priorSamples = 8
	// priorTokens and priorPairs are the typical sizes, in thousands and in millions, by which the prior
	// of a coefficient is weighted.
	priorTokens = 1
	priorPairs  = 4
	// forgetting is the weight of all earlier observations after each one: about two hundred count.
	forgetting = 0.995
	// maxSurprise bounds the factor between an observation and the present estimate: an engine that hangs
	// once must not count more than a dozen that work, and a wrong estimate is corrected step by step.
	maxSurprise = 2.0
	// maxEquivalence bounds how many times its tokens a prompt counts.
	maxEquivalence = 8
	// maxPrefillTerm bounds each coefficient, in milliseconds.
	maxPrefillTerm = 2000
)

// The initial coefficients, in milliseconds: fixed, per thousand tokens, per million pairs.
var initialPrefillTerms = [prefillTerms]float64{16, 25, 0.3}

// PrefillModel estimates how long an engine takes for a prefill call without any queue. It is a least
// squares fit of what calls showed, in which later observations count more.
type PrefillModel struct {
	coefficients [prefillTerms]float64
	// products and response are the weighted sums of the normal equations.
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

// prefillSizes returns the sizes by which the coefficients are multiplied, for tokens that are computed
// after a cached prefix.
func prefillSizes(tokens, cached int) [prefillTerms]float64 {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	return [prefillTerms]float64{1, float64(tokens) / tokensPerThousand, pairs / pairsPerMillion}
}

// Duration returns how long a call takes that computes tokens after a cached prefix.
func (p *PrefillModel) Duration(tokens, cached int) clock.Microseconds {
	return p.sum(prefillSizes(tokens, cached), fixedTerm)
}

// Busy returns how long the engine computes for such a call, and others wait.
func (p *PrefillModel) Busy(tokens, cached int) clock.Microseconds {
	return p.sum(prefillSizes(tokens, cached), tokenTerm)
}

// sum adds the terms from the first one on.
func (p *PrefillModel) sum(sizes [prefillTerms]float64, first int) clock.Microseconds {
	milliseconds := 0.0
	for term := first; term < prefillTerms; term++ {
		milliseconds += p.coefficients[term] * sizes[term]
	}
	return clock.Microseconds(milliseconds * float64(clock.Millisecond))
}

// Fixed returns the fixed part of a call.
func (p *PrefillModel) Fixed() clock.Microseconds {
	return clock.Microseconds(p.coefficients[fixedTerm] * float64(clock.Millisecond))
}

// Rate returns how many tokens an engine computes in a millisecond, without the pairs' part.
func (p *PrefillModel) Rate() float64 {
	return min(max(tokensPerThousand/max(p.coefficients[tokenTerm], math.SmallestNonzeroFloat32), minPrefillRate),
		maxPrefillRate)
}

// EquivalentTokens returns how many tokens without any before them keep an engine busy for as long as some
// tokens after a cached prefix do.
func (p *PrefillModel) EquivalentTokens(tokens, cached int) int {
	milliseconds := float64(p.Busy(tokens, cached)) / float64(clock.Millisecond)
	return max(tokens, int(min(milliseconds*p.Rate(), maxEquivalence*float64(tokens))))
}

// Observe records how long a call took that found no queue.
func (p *PrefillModel) Observe(tokens, cached int, elapsed clock.Microseconds) {
	sizes := prefillSizes(tokens, cached)
	expected := float64(p.sum(sizes, fixedTerm)) / float64(clock.Millisecond)
	if tokens < 0 || cached < 0 || expected <= 0 || elapsed <= 0 {
		return
	}
	observed := float64(elapsed) / float64(clock.Millisecond)
	observed = min(max(observed, expected/maxSurprise), expected*maxSurprise)
	for row := range prefillTerms {
		for column := range prefillTerms {
			p.products[row][column] = p.products[row][column]*forgetting + sizes[row]*sizes[column]
		}
		p.response[row] = p.response[row]*forgetting + sizes[row]*observed
	}
	p.solve()
}

// solve sets the coefficients to the solution of the normal equations, by coordinate descent, which keeps
// each of them within its bounds.
func (p *PrefillModel) solve() {
	const rounds = 20
	for range rounds {
		for row := range prefillTerms {
			if p.products[row][row] <= 0 {
				continue
			}
			rest := p.response[row]
			for column := range prefillTerms {
				if column != row {
					rest -= p.products[row][column] * p.coefficients[column]
				}
			}
			p.coefficients[row] = min(max(rest/p.products[row][row], 0), maxPrefillTerm)
		}
	}
}

// Coefficients returns the model's coefficients: milliseconds for a call, for a thousand tokens and for a
// million pairs.
func (p *PrefillModel) Coefficients() [prefillTerms]float64 { return p.coefficients }

// Adopt replaces the coefficients by those of another router's model. It reports false, and changes
// nothing, if one of them is out of bounds.
func (p *PrefillModel) Adopt(coefficients [prefillTerms]float64) bool {
	for _, coefficient := range coefficients {
		if math.IsNaN(coefficient) || coefficient < 0 || coefficient > maxPrefillTerm {
			return false
		}
	}
	p.coefficients = coefficients
	return true
}
