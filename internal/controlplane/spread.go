package core

import "coursepass/internal/state/pairing"

// spread keeps present parts where it can, and else takes engines from the halls
// that have most of the part to be reduced.
func (s *duty) spread(live []*soft, readers int) {
	var idle []*soft
	have := 0
	perHall := map[string]int{}
	for _, each := range live {
		switch s.wanted[each.Name] {
		case contract.Prefill:
			have++
			perHall[each.Hall]++
		case contract.Decode:
		default:
			idle = append(idle, each)
			s.wanted[each.Name] = contract.Decode
		}
	}
	move := func(from, to string, pool []*soft, change int) {
		best := -1
		for place, each := range pool {
			if s.wanted[each.Name] == from && (best < 0 || change*perHall[each.Hall] < change*perHall[pool[best].Hall]) {
				best = place
			}
		}
		if best >= 0 {
			s.wanted[pool[best].Name] = to
			perHall[pool[best].Hall] += change
			have += change
		}
	}
	for count := len(idle); count > 0 && have < readers; count-- {
		move(contract.Decode, contract.Prefill, idle, 1)
	}
	if have < readers {
		move(contract.Decode, contract.Prefill, live, 1)
	}
	if have > readers {
		move(contract.Prefill, contract.Decode, live, -1)
	}
	// One hall must not have all of a part: the next turn takes one back there.
	if have == readers && len(idle) == 0 {
		switch {
		case s.alone(live, contract.Prefill):
			move(contract.Decode, contract.Prefill, live, 1)
		case s.alone(live, contract.Decode):
			move(contract.Prefill, contract.Decode, live, -1)
		}
	}
}

// alone tells whether all engines of one part stand in one hall, while others stand
// elsewhere.
func (s *duty) alone(live []*soft, part string) bool {
	halls, all := map[string]int{}, map[string]bool{}
	for _, each := range live {
		all[each.Hall] = true
		if s.wanted[each.Name] == part {
			halls[each.Hall]++
		}
	}
	if len(halls) != 1 || len(all) < 2 {
		return false
	}
	for _, count := range halls {
		return count > 1
	}
	return false
}
