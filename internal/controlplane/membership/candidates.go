package membership

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

const (
	// candidateTimeout is how long a server remains a candidate after its last request for a slot. A candidate
	// sends a request every discoveryInterval.
	candidateTimeout = 3 * clock.Second
	// maxCandidates is the maximum number of candidates that a service keeps.
	maxCandidates = 64
)

// candidate is a server that has asked for a slot, with the time of its last request.
type candidate struct {
	consensus.Member
	lastRequestAt clock.Microseconds
}

// recordCandidate records that a server has asked for a slot. A request for the memberships alone has an empty
// member and is not recorded.
func (s *Service) recordCandidate(member consensus.Member) {
	if member.Address == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeExpiredCandidates()
	if _, exists := s.candidates[member.Address]; exists || len(s.candidates) < maxCandidates {
		s.candidates[member.Address] = candidate{member, s.options.Clock.Now()}
	}
}

// removeExpiredCandidates removes the candidates that have sent no request for candidateTimeout. The lock must
// be held.
func (s *Service) removeExpiredCandidates() {
	now := s.options.Clock.Now()
	for address, recorded := range s.candidates {
		if now-recorded.lastRequestAt > candidateTimeout {
			delete(s.candidates, address)
		}
	}
}

// Servers returns all servers that are known to this server, sorted by address: this server, the members of all
// shards, and the servers that ask for a slot.
func (s *Service) Servers() []consensus.Member {
	servers := map[string]consensus.Member{s.options.Self.Address: s.options.Self}
	add := func(member consensus.Member) {
		if listed, exists := servers[member.Address]; !exists || listed.Zone == "" {
			servers[member.Address] = member
		}
	}
	for _, shard := range s.options.Shards {
		for _, member := range shard.Membership().Members {
			add(member)
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeExpiredCandidates()
	for _, recorded := range s.candidates {
		add(recorded.Member)
	}
	delete(servers, "")
	sorted := make([]consensus.Member, 0, len(servers))
	for _, server := range servers {
		sorted = append(sorted, server)
	}
	slices.SortFunc(sorted, func(left, right consensus.Member) int { return cmp.Compare(left.Address, right.Address) })
	return sorted
}
