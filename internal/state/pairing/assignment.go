package pairing

import (
	"maps"
	"slices"
)

// The roles of an engine. The values are part of the log format.
const (
	// RoleBoth engines prefill and decode.
	RoleBoth = "both"
	// RolePrefill engines compute the KV cache of prompts.
	RolePrefill = "prefill"
	// RoleDecode engines generate responses from a KV cache.
	RoleDecode = "decode"
)

// Pair allows a prefill engine to transfer its KV cache to a decode engine. Its field names are
// part of the log format.
type Pair struct {
	Prefill string
	Decode  string
	// Weight is the preference for this pair among the pairs of the prefill engine. A higher
	// weight means a stronger preference.
	Weight int
}

// Assignment holds the roles and pairs of a service's engines, as determined by the leader of the
// service's shard in one term.
type Assignment struct {
	Service string
	// Term is the term of the leader.
	Term uint64
	// Owner is the internal address of the leader.
	Owner string
	// Roles holds the role of each engine, by engine name.
	Roles map[string]string
	Pairs []Pair
	// Routers holds, in order, the routers that share the capacity of the engines.
	Routers []string
	// AffinityGroups holds the affinity group of each engine, by engine name. Groups replace pairs
	// where there would be too many pairs: a prefill engine transfers to the decode engines of its
	// group.
	AffinityGroups map[string]string
	// ChangingRole holds the engines that are about to change their role. They get no new work.
	ChangingRole []string
	// PlacementOwners holds, in order, the routers that place the requests of all routers. It is empty
	// if each router places its own requests.
	PlacementOwners []PlacementOwner
	// Version distinguishes the assignments of one term. It increases by one with each assignment that
	// the leader commits.
	Version uint64
}

// PlacementOwner is a router that places the requests of all routers on some of a service's engines. Its
// field names are part of the log format.
type PlacementOwner struct {
	Router string
	// Address is the address at which the router accepts calls from other daemons.
	Address string
	Zone    string
}

// Equal reports whether two assignments have the same effect on engines and routers. It ignores their
// versions.
func (a Assignment) Equal(other Assignment) bool {
	return a.Term == other.Term &&
		a.Owner == other.Owner &&
		maps.Equal(a.Roles, other.Roles) &&
		slices.Equal(a.Pairs, other.Pairs) &&
		slices.Equal(a.Routers, other.Routers) &&
		slices.Equal(a.ChangingRole, other.ChangingRole) &&
		slices.Equal(a.PlacementOwners, other.PlacementOwners) &&
		maps.Equal(a.AffinityGroups, other.AffinityGroups)
}

// CountRole returns the number of engines with the role.
func (a Assignment) CountRole(role string) int {
	count := 0
	for _, assigned := range a.Roles {
		if assigned == role {
			count++
		}
	}
	return count
}

// DecodePartners returns the pairs of a prefill engine.
func (a Assignment) DecodePartners(prefill string) []Pair {
	var pairs []Pair
	for _, pair := range a.Pairs {
		if pair.Prefill == prefill {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}
