package balancer_test

import (
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

const (
	// engineMemoryTokens is the memory of an engine, in tokens.
	engineMemoryTokens = 320_000
	// nearlyFullPrompt is the length of a prompt of which an engine has memory for one.
	nearlyFullPrompt = 300_000
)

// withMemory updates a balancer with engines whose memory is known, 0 for unknown.
func withMemory(lb *balancer.Balancer, engines []platformport.Engine, memory int) *balancer.Balancer {
	service := testService
	service.Memory = memory
	lb.Update(clock.Second, balancer.View{Service: service, Engines: engines, RouterCount: 1})
	return lb
}

// prefillerBesideNearAndFarDecoder returns a prefill engine, a decode engine of its zone (engine-1) and a decode engine
// of another zone (engine-2).
func prefillerBesideNearAndFarDecoder() []platformport.Engine {
	engines := newEngines(pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
	engines[2].Zone = "sur"
	return engines
}

// Guards against a request that waits for the memory of a decode engine that is nearly full with one prompt, while
// another engine, to which the transfer costs more, has memory.
func TestSelect_PrefersDecoderWithMemory(t *testing.T) {
	for name, testCase := range map[string]struct {
		memory, running, tokens int
		decoder                 string
	}{
		"no response":                   {engineMemoryTokens, 0, nearlyFullPrompt, "engine-1"},
		"memory for one":                {engineMemoryTokens, 1, nearlyFullPrompt, "engine-2"},
		"memory for two":                {2 * engineMemoryTokens, 1, nearlyFullPrompt, "engine-1"},
		"a short prompt finds memory":   {engineMemoryTokens, 1, 10_000, "engine-1"},
		"the size of memory is unknown": {0, 1, nearlyFullPrompt, "engine-1"},
	} {
		t.Run(name, func(t *testing.T) {
			engines := prefillerBesideNearAndFarDecoder()
			lb := withMemory(balancer.New(testOptions(0)), engines, testCase.memory)
			running := unsharedRequest(0, nearlyFullPrompt).Prompt
			request := unsharedRequest(1, testCase.tokens)
			for range testCase.running {
				lb.AddRunning(clock.Second, engineName(1), running, 1)
			}
			selection, ok := lb.Select(clock.Second, request)
			if !ok || !selection.Split || selection.Decoder.Incarnation != testCase.decoder {
				t.Errorf("selected %+v, %v, want a split to %s", selection, ok, testCase.decoder)
			}
			replacement, ok := lb.SelectDecoder(clock.Second, request, engines[0])
			if !ok || replacement.Incarnation != testCase.decoder {
				t.Errorf("replaced by %+v, %v, want %s", replacement, ok, testCase.decoder)
			}
			for range testCase.running {
				lb.AddRunning(clock.Second, engineName(1), running, -1)
			}
			if selection, _ = lb.Select(clock.Second, request); selection.Decoder.Incarnation != engineName(1) {
				t.Errorf("selected %s after the response had ended, want %s", selection.Decoder.Incarnation, engineName(1))
			}
		})
	}
}

// Guards against an owner that gives a long prompt to a decode engine whose memory is nearly full with another one,
// because other engines generate more responses. The owner must count the memory of prompts that are yet to be
// computed, and of KV caches that another decode engine fetches in place of one that has left service.
func TestPlace_PrefersDecoderWithMemory(t *testing.T) {
	computed := unsharedRequest(0, nearlyFullPrompt)
	fetched := balancer.Requirements{
		Prompt: []platformport.PromptChunk{{}}, FetchedTokens: nearlyFullPrompt, NoSplit: true,
	}
	for name, request := range map[string]balancer.Requirements{"computed": computed, "fetched": fetched} {
		t.Run(name, func(t *testing.T) {
			engines := append(prefillerBesideNearAndFarDecoder(), newEngines(pairing.RolePrefill)...)
			engines[3].Incarnation = engineName(3)
			owner := withMemory(balancer.New(ownerOptions()), engines, engineMemoryTokens)
			place := func(now clock.Microseconds, placed balancer.Requirements) string {
				selection, ok := owner.Place(now, placed, maxResponseTokens)
				if !ok {
					t.Fatal("a request was not placed")
				}
				return selection.Decoder.Incarnation
			}
			short := shortRequest(0)
			short.ExcludedEngines = map[string]bool{engineName(1): true}
			for range 6 {
				place(clock.Second, short)
			}
			for index, want := range []string{engineName(1), engineName(2)} {
				if decoder := place(clock.Second, request); decoder != want {
					t.Errorf("long prompt %d was placed at %s, want %s", index, decoder, want)
				}
			}
			// All responses have ended by now.
			if decoder := place(120*clock.Second, request); decoder != engineName(1) {
				t.Errorf("placed at %s after all responses had ended, want %s", decoder, engineName(1))
			}
		})
	}
}
