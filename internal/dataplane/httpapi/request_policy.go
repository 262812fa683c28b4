package httpapi

import (
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
)

// policyVariables adds the variables of a request that are available in every policy expression to
// values, and returns values.
func (h *Handler) policyVariables(request *forwardedRequest, values policy.Variables) policy.Variables {
	values["tokens"] = request.Tokens
	values["promptBytes"] = len(request.Prompt)
	values["hall"] = h.node.Zone
	return values
}

// matchPolicy returns the template's policy on engines as a function that reports whether the policy
// allows an engine with a model version. It returns nil if the template has no such policy.
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
