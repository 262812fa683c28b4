// Package pairing pairs prompt-reading engines with token-making ones and sets
// how many play each part.
package pairing

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
)

// The parts an engine may play.
const (
	RoleBoth    = "both"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Pair lets a prefill engine hand its prompt memory to a decode engine.
type Pair struct {
	Prefill string
	Decode  string
	Weight  int
}

// Assignment is what the leader of a service's part has its engines do: their
// parts and pairings, under its round.
type Assignment struct {
	Service string
	Round   uint64
	Owner   string
	Parts   map[string]string
	Pairs   []Pair
	// Routers are those that share the engines' room, in order.
	Routers []string
	// Teams say which engines hand over to each other where there are too many to name each
	// pair: readers to makers of the same team.
	Teams map[string]string
	// Away are engines that are about to change their part and get no new work.
	Away []string
}

// Equal tells whether two contracts ask the same of engines and routers.
func (a Assignment) Equal(other Assignment) bool {
	if a.Round != other.Round || a.Owner != other.Owner || len(a.Parts) != len(other.Parts) {
		return false
	}
	for name, role := range a.Parts {
		if other.Parts[name] != role {
			return false
		}
	}
	return slices.Equal(a.Pairs, other.Pairs) && slices.Equal(a.Routers, other.Routers) && slices.Equal(a.Away, other.Away) && maps.Equal(a.Teams, other.Teams)
}

// CountRole is how many engines play a part.
func (a Assignment) CountRole(role string) int {
	count := 0
	for _, assigned := range a.Parts {
		if assigned == role {
			count++
		}
	}
	return count
}

// DecodePartners are the decode engines that a prefill engine hands over to.
func (a Assignment) DecodePartners(prefill string) []Pair {
	var pairs []Pair
	for _, pair := range a.Pairs {
		if pair.Prefill == prefill {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// Candidate is a live engine as the leader sees it.
type Candidate struct {
	Name    string
	Zone    string
	Version string
	Role    string
}

const (
	sameZoneWeight  = 4
	crossZoneWeight = 1
)

// AssignPairs pairs all candidates of the same version, those in one hall first.
func AssignPairs(service, owner string, term uint64, candidates []Candidate) Assignment {
	assignment := Assignment{Service: service, Owner: owner, Round: term, Parts: map[string]string{}}
	slices.SortFunc(candidates, func(left, right Candidate) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	for _, prefillEngine := range candidates {
		assignment.Parts[prefillEngine.Name] = prefillEngine.Role
		if prefillEngine.Role == RoleDecode {
			continue
		}
		for _, decodeEngine := range candidates {
			if decodeEngine.Role == RolePrefill || decodeEngine.Version != prefillEngine.Version || decodeEngine.Name == prefillEngine.Name && prefillEngine.Role != RoleBoth {
				continue
			}
			weight := crossZoneWeight
			if decodeEngine.Zone == prefillEngine.Zone {
				weight = sameZoneWeight
			}
			assignment.Pairs = append(assignment.Pairs, Pair{prefillEngine.Name, decodeEngine.Name, weight})
		}
	}
	return assignment
}

// AssignAffinityGroups pairs candidates by teams: all of one version hand over to each other.
func AssignAffinityGroups(service, owner string, term uint64, candidates []Candidate) Assignment {
	assignment := Assignment{Service: service, Owner: owner, Round: term, Parts: map[string]string{}, Teams: map[string]string{}}
	for _, candidate := range candidates {
		assignment.Parts[candidate.Name], assignment.Teams[candidate.Name] = candidate.Role, candidate.Version
	}
	return assignment
}

// RoleBalancer decides how many of an odd or even number of engines read prompts. It
// moves one engine at a time, only after the mix has stood beyond its band for
// the whole settling span.
type RoleBalancer struct {
	StabilizationWindow clock.Microseconds
	outOfBandSince      clock.Microseconds
	direction           int
}

const (
	tolerance = 0.12
	// thirdDecodeThreshold is from how many engines on there are three token makers: nobody else makes
	// tokens, so that the loss of one while another is cold must leave a third.
	thirdDecodeThreshold = 6
)

// PrefillCount is the number of prompt readers wanted now among count engines, given
// how many there are and which fraction of all busy time is prompt reading.
func (r *RoleBalancer) PrefillCount(now clock.Microseconds, count, current int, prefillFraction float64) int {
	if count < 2 {
		return current
	}
	// Two of each part, where there are enough, so that the loss of one hall leaves one.
	minPrefill, minDecode := 1, 1
	if count >= 4 {
		minPrefill, minDecode = 2, 2
	}
	if count >= thirdDecodeThreshold {
		minDecode = 3
	}
	current = min(max(current, minPrefill), count-minDecode)
	currentFraction := float64(current) / float64(count)
	direction := 0
	switch {
	case prefillFraction > currentFraction+tolerance && current < count-minDecode:
		direction = 1
	case prefillFraction < currentFraction-tolerance && current > minPrefill:
		direction = -1
	}
	if direction != r.direction {
		r.direction, r.outOfBandSince = direction, now
	}
	if direction != 0 && now-r.outOfBandSince >= r.StabilizationWindow {
		r.outOfBandSince = now
		return current + direction
	}
	return current
}
