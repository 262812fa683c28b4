package balancer

import (
	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// A response occupies the memory of its decoder with the KV cache of its prompt. A decoder without memory for another
// prompt lets the request wait until other responses have ended. Prompt chunks that requests share are in memory
// once, and which of them are is not known: only the unshared tokens of prompts count, so that a decoder never
// seems to have less memory than it has.

// memoryShortageCost is the cost of a decoder that has to free its whole memory once before it can generate the
// response. It exceeds the cost of a transfer of the KV cache between two zones of a region.
const memoryShortageCost = clock.Second

// occupiedTokens returns the unshared prompt tokens of the responses that a decoder is known to generate.
func (e *engineState) occupiedTokens() int { return e.runningTokens + e.expectedTokens }

// memoryTokens returns the number of tokens for which the request takes memory of its decoder.
func (r Requirements) memoryTokens() int {
	return platformport.UnsharedTokens(r.Prompt) + r.FetchedTokens
}

// memoryCost returns the cost of waiting until a decoder has memory for the prompt. It is proportional to the number
// of tokens that have to be freed before, and 0 if the size of the memory is unknown.
func (b *Balancer) memoryCost(decoder *engineState, requirements Requirements) clock.Microseconds {
	memory := b.service.Memory
	shortage := decoder.occupiedTokens() + requirements.memoryTokens() - memory
	if memory <= 0 || shortage <= 0 {
		return 0
	}
	return clock.Microseconds(float64(memoryShortageCost) * float64(shortage) / float64(memory))
}
