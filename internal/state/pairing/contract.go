// Package contract pairs prompt-reading engines with token-making ones and sets
// how many play each part.
package contract

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
)

// The parts an engine may play.
const (
	Both    = "both"
	Prefill = "prefill"
	Decode  = "decode"
)

// Pair lets a prefill engine hand its prompt memory to a decode engine.
type Pair struct {
	Prefill string
	Decode  string
	Weight  int
}

// Contract is what the leader of a service's part has its engines do: their
// parts and pairings, under its round.
type Contract struct {
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

// Same tells whether two contracts ask the same of engines and routers.
func (a Contract) Same(other Contract) bool {
	if a.Round != other.Round || a.Owner != other.Owner || len(a.Parts) != len(other.Parts) {
		return false
	}
	for name, part := range a.Parts {
		if other.Parts[name] != part {
			return false
		}
	}
	return slices.Equal(a.Pairs, other.Pairs) && slices.Equal(a.Routers, other.Routers) && slices.Equal(a.Away, other.Away) && maps.Equal(a.Teams, other.Teams)
}

// Count is how many engines play a part.
func (a Contract) Count(part string) int {
	count := 0
	for _, played := range a.Parts {
		if played == part {
			count++
		}
	}
	return count
}

// Partners are the decode engines that a prefill engine hands over to.
func (a Contract) Partners(prefill string) []Pair {
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
	Hall    string
	Version string
	Part    string
}

const (
	nearWeight = 4
	farWeight  = 1
)

// Draw pairs all candidates of the same version, those in one hall first.
func Draw(service, owner string, round uint64, candidates []Candidate) Contract {
	drawn := Contract{Service: service, Owner: owner, Round: round, Parts: map[string]string{}}
	slices.SortFunc(candidates, func(left, right Candidate) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	for _, reader := range candidates {
		drawn.Parts[reader.Name] = reader.Part
		if reader.Part == Decode {
			continue
		}
		for _, writer := range candidates {
			if writer.Part == Prefill || writer.Version != reader.Version || writer.Name == reader.Name && reader.Part != Both {
				continue
			}
			weight := farWeight
			if writer.Hall == reader.Hall {
				weight = nearWeight
			}
			drawn.Pairs = append(drawn.Pairs, Pair{reader.Name, writer.Name, weight})
		}
	}
	return drawn
}

// DrawTeams pairs candidates by teams: all of one version hand over to each other.
func DrawTeams(service, owner string, round uint64, candidates []Candidate) Contract {
	drawn := Contract{Service: service, Owner: owner, Round: round, Parts: map[string]string{}, Teams: map[string]string{}}
	for _, each := range candidates {
		drawn.Parts[each.Name], drawn.Teams[each.Name] = each.Part, each.Version
	}
	return drawn
}

// Share decides how many of an odd or even number of engines read prompts. It
// moves one engine at a time, only after the mix has stood beyond its band for
// the whole settling span.
type Share struct {
	Settle schedule.Microseconds
	beyond schedule.Microseconds
	way    int
}

const (
	band = 0.12
	// spareWriters is from how many engines on there are three token makers: nobody else makes
	// tokens, so that the loss of one while another is cold must leave a third.
	spareWriters = 6
)

// Readers is the number of prompt readers wanted now among count engines, given
// how many there are and which fraction of all busy time is prompt reading.
func (r *Share) Readers(now schedule.Microseconds, count, present int, fraction float64) int {
	if count < 2 {
		return present
	}
	// Two of each part, where there are enough, so that the loss of one hall leaves one.
	least, writers := 1, 1
	if count >= 4 {
		least, writers = 2, 2
	}
	if count >= spareWriters {
		writers = 3
	}
	present = min(max(present, least), count-writers)
	have := float64(present) / float64(count)
	way := 0
	switch {
	case fraction > have+band && present < count-writers:
		way = 1
	case fraction < have-band && present > least:
		way = -1
	}
	if way != r.way {
		r.way, r.beyond = way, now
	}
	if way != 0 && now-r.beyond >= r.Settle {
		r.beyond = now
		return present + way
	}
	return present
}
