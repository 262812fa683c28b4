package membership

import (
	"cmp"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

const (
	// candidateTimeout is how long a server is known that asks for a slot, which it does every discoveryInterval.
	candidateTimeout = 3 * clock.Second
	// maxCandidates bounds the servers that are known for asking.
	maxCandidates = 64
)

// candidate is a server that has asked for a slot.
type candidate struct {
	consensus.Member
	askedAt clock.Microseconds
}

// recordCandidate records that a server asks for a slot. One that only asks for the memberships names nobody.
func (s *Service) recordCandidate(member consensus.Member) {
	if member.Address == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.forgetCandidates()
	if _, known := s.candidates[member.Address]; known || len(s.candidates) < maxCandidates {
		s.candidates[member.Address] = candidate{member, s.options.Clock.Now()}
	}
}

// forgetCandidates forgets those that have stopped asking. The lock must be held.
func (s *Service) forgetCandidates() {
	now := s.options.Clock.Now()
	for address, known := range s.candidates {
		if now-known.askedAt > candidateTimeout {
			delete(s.candidates, address)
		}
	}
}

// Servers returns all servers that are known to run beside the members of the shards: this one, the members and
// those that ask for a slot, sorted by address.
func (s *Service) Servers() []consensus.Member {
	servers := map[string]consensus.Member{s.options.Self.Address: s.options.Self}
	add := func(member consensus.Member) {
		if known, exists := servers[member.Address]; !exists || known.Zone == "" {
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
	s.forgetCandidates()
	for _, known := range s.candidates {
		add(known.Member)
	}
	delete(servers, "")
	sorted := make([]consensus.Member, 0, len(servers))
	for _, server := range servers {
		sorted = append(sorted, server)
	}
	slices.SortFunc(sorted, func(left, right consensus.Member) int { return cmp.Compare(left.Address, right.Address) })
	return sorted
}
