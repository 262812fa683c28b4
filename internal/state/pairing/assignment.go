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

// Pair lets a prefill engine transfer its KV cache to a decode engine. The weight is the
// preference among the pairs of the prefill engine.
type Pair struct {
	Prefill string
	Decode  string
	Weight  int
}

// Assignment holds the roles and pairs of a service's engines, as the leader of the service's
// shard decided them in its term.
type Assignment struct {
	Service string
	// Term is that of the leader, and Owner its internal address.
	Term  uint64
	Owner string
	// Roles are indexed by engine.
	Roles map[string]string
	Pairs []Pair
	// Routers are those that share the engines' capacity, in order.
	Routers []string
	// AffinityGroups are indexed by engine, in place of pairs where those would be too
	// many: prefill engines transfer to the decode engines of their group.
	AffinityGroups map[string]string
	// ChangingRole are the engines that are about to change their role and get no new work.
	ChangingRole []string
	// PlacementOwners are the routers that place the requests of all routers, in order; none if each
	// router places its own.
	PlacementOwners []PlacementOwner
	// Version tells the assignments of one term apart: each that its leader commits has the next one.
	Version uint64
}

// PlacementOwner is a router that places the requests of all routers at some of a service's engines. Its
// field names are part of the log format.
type PlacementOwner struct {
	Router string
	// Address is where the router takes calls of other daemons.
	Address string
	Zone    string
}

// Equal reports whether two assignments are the same for engines and routers, whatever their versions.
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

// CountRole returns the number of engines with a role.
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
