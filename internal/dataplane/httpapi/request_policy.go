package httpapi

import (
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
)

// policyVariables adds to the values the variables of a request that each policy expression sees.
func (h *Handler) policyVariables(request *forwardedRequest, values policy.Variables) policy.Variables {
	values["tokens"] = request.Tokens
	values["promptBytes"] = len(request.Prompt)
	values["hall"] = h.node.Zone
	return values
}

// matchPolicy is the template's policy on engines, nil if it has none.
func (h *Handler) matchPolicy(request *forwardedRequest) func(registry.Engine, string) bool {
	expression := policy.Cached(policy.KindMatch, request.template.Match)
	if expression == nil {
		return nil
	}
	return func(candidate registry.Engine, version string) bool {
		return expression.Evaluate(h.policyVariables(request, policy.Variables{
			"engineName":    candidate.Name,
			"engineHall":    candidate.Zone,
			"engineVersion": version,
		}))
	}
}
