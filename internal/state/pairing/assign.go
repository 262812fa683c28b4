package pairing

import (
	"cmp"
	"slices"
)

// The weights of pairs in the same zone and across zones.
const (
	sameZoneWeight  = 4
	crossZoneWeight = 1
)

// Candidate is a live engine and the role to assign to it.
type Candidate struct {
	Name string
	Zone string
	// Version is the version of the engine's model.
	Version string
	Role    string
}

// AssignPairs pairs all candidates of the same model version, and gives pairs in the same zone
// a higher weight. It sorts the candidates by name in place, so that equal sets of candidates
// give equal assignments.
func AssignPairs(service, owner string, term uint64, candidates []Candidate) Assignment {
	assignment := Assignment{Service: service, Owner: owner, Term: term, Roles: map[string]string{}}
	slices.SortFunc(candidates, func(left, right Candidate) int { return cmp.Compare(left.Name, right.Name) })
	for _, prefillEngine := range candidates {
		assignment.Roles[prefillEngine.Name] = prefillEngine.Role
		for _, decodeEngine := range candidates {
			if canTransfer(prefillEngine, decodeEngine) {
				pair := Pair{prefillEngine.Name, decodeEngine.Name, pairWeight(prefillEngine, decodeEngine)}
				assignment.Pairs = append(assignment.Pairs, pair)
			}
		}
	}
	return assignment
}

// canTransfer reports whether the roles and versions of two engines allow them to be paired.
// An engine with both roles is also paired with itself.
func canTransfer(prefillEngine, decodeEngine Candidate) bool {
	if prefillEngine.Role == RoleDecode || decodeEngine.Role == RolePrefill {
		return false
	}
	if prefillEngine.Name == decodeEngine.Name {
		return prefillEngine.Role == RoleBoth
	}
	return prefillEngine.Version == decodeEngine.Version
}

func pairWeight(prefillEngine, decodeEngine Candidate) int {
	if prefillEngine.Zone == decodeEngine.Zone {
		return sameZoneWeight
	}
	return crossZoneWeight
}

// AssignAffinityGroups puts all candidates of one model version into one affinity group. The
// prefill engines of a group transfer to the decode engines of the group.
func AssignAffinityGroups(service, owner string, term uint64, candidates []Candidate) Assignment {
	assignment := Assignment{
		Service:        service,
		Owner:          owner,
		Term:           term,
		Roles:          map[string]string{},
		AffinityGroups: map[string]string{},
	}
	for _, candidate := range candidates {
		assignment.Roles[candidate.Name] = candidate.Role
		assignment.AffinityGroups[candidate.Name] = candidate.Version
	}
	return assignment
}
