package engineplan

import (
	"fmt"

	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// listedEngines returns engines that alternate between two zones. Each letter of the pattern is the role of
// one engine: r for prefill, w for decode, b for both.
func listedEngines(pattern string) []registry.Engine {
	roleByLetter := map[rune]string{'r': pairing.RolePrefill, 'w': pairing.RoleDecode, 'b': pairing.RoleBoth}
	var engines []registry.Engine
	for number, role := range pattern {
		name := fmt.Sprint("e", number)
		engines = append(engines, registry.Engine{
			Name:        name,
			Incarnation: name,
			Service:     "s",
			Zone:        []string{"norte", "sur"}[number%2],
			Role:        roleByLetter[role],
			Weights:     1,
		})
	}
	return engines
}

// enginesByName returns the engines as a map by name.
func enginesByName(engines []registry.Engine) map[string]registry.Engine {
	engineMap := map[string]registry.Engine{}
	for _, engine := range engines {
		engineMap[engine.Name] = engine
	}
	return engineMap
}
