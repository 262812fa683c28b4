package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// movePatience is how long an ordered engine may take to show its new part.
	movePatience = 30 * schedule.Second
	// moveRest is how long one that did not is ordered after the others only.
	moveRest = 300 * schedule.Second
	// againSpan lies between two tries of an order that was not acknowledged.
	againSpan = 5 * schedule.Second
	// lackSpan is how long token makers must be lacking. Prompt readers are less urgent,
	// since token makers can read.
	lackSpan = schedule.Second
	// leanSpan is how long the load must lean to one part; a move itself takes longer.
	leanSpan = 2 * schedule.Second
	// mostMoving is the part of a group, as one in so many, that may move at a time.
	mostMoving = 6
	// outSpan is how long an engine is out of the contract before it is ordered: routers hear
	// of it within a few reads, and one that did not is declined by the engine as not run.
	outSpan = schedule.Second
)

// move is one engine on its way to another part: first out of the contract, then
// ordered, and back once the list shows it.
type move struct {
	name, part string
	lack       bool
	out        schedule.Microseconds
	first      schedule.Microseconds
	given      schedule.Microseconds
}

// moves are the changes of parts under way, a few at a time among all engines of a service
// that have the same weights.
type moves struct {
	groups map[string][]*move
	lacks  map[string]*lasting
	shares map[string]*contract.Share
	tired  map[string]schedule.Microseconds
}

// ordered is an engine with the part that it is to have; a first order forgets what an
// earlier move had acknowledged.
type ordered struct {
	catalogue.Engine
	first bool
}

func newMoves() moves {
	return moves{map[string][]*move{}, map[string]*lasting{}, map[string]*contract.Share{}, map[string]schedule.Microseconds{}}
}

// away tells whether an engine is about to change its part.
func (r *moves) away(engine catalogue.Engine) bool {
	for _, group := range r.groups {
		if slices.ContainsFunc(group, func(move *move) bool { return move.name == engine.Name }) {
			return true
		}
	}
	return false
}

// leaving are the live engines that are about to change their part, in order.
func (r *moves) leaving(live []catalogue.Engine) []string {
	var names []string
	for _, engine := range live {
		if r.away(engine) {
			names = append(names, engine.Name)
		}
	}
	slices.Sort(names)
	return names
}

// candidates are the live engines that are not about to change their part.
func (r *moves) candidates(live []catalogue.Engine) []contract.Candidate {
	var candidates []contract.Candidate
	for _, engine := range live {
		if !r.away(engine) {
			candidates = append(candidates, contract.Candidate{Name: engine.Name, Hall: engine.Hall, Version: strconv.Itoa(engine.Weights), Part: engine.Part})
		}
	}
	return candidates
}

// plan ends and begins moves. Orders are dear: one is begun only where a part has no
// engine at all, or where the load is told and leans for long.
func (r *moves) plan(now schedule.Microseconds, service string, live []catalogue.Engine, fraction float64, told bool) {
	groups := map[string][]catalogue.Engine{}
	for _, engine := range live {
		group := service + "/" + strconv.Itoa(engine.Weights)
		groups[group] = append(groups[group], engine)
	}
	for group, engines := range groups {
		r.weigh(now, group, engines, fraction, told)
	}
}

func (r *moves) weigh(now schedule.Microseconds, group string, engines []catalogue.Engine, fraction float64, told bool) {
	count := map[string]int{}
	for _, engine := range engines {
		count[engine.Part]++
	}
	readers, split, lack, patience := count[contract.Prefill], len(engines) >= 2 && count[contract.Both] == 0, "", schedule.Microseconds(0)
	switch {
	case split && readers == 0:
		lack, patience = contract.Prefill, settleSpan
	case split && count[contract.Decode] == 0:
		lack, patience = contract.Decode, lackSpan
	}
	lacks, known := r.lacks[group]
	if !known {
		lacks = &lasting{}
		r.lacks[group] = lacks
	}
	stood := lacks.stood(now, lack)
	r.groups[group] = slices.DeleteFunc(r.groups[group], func(under *move) bool { return r.ended(now, under, engines, lack) })
	if len(r.groups[group]) == 0 {
		delete(r.groups, group)
	}
	switch {
	case lack != "":
		if stood >= patience && len(r.groups[group]) == 0 {
			r.groups[group] = []*move{{name: r.pick(now, engines, lack), part: lack, lack: true}}
		}
	case split && told:
		r.lean(now, group, engines, readers, fraction)
	}
}

// ended tells whether a move is done, is not needed any more before it was ordered, or
// takes too long.
func (r *moves) ended(now schedule.Microseconds, under *move, engines []catalogue.Engine, lack string) bool {
	place := slices.IndexFunc(engines, func(engine catalogue.Engine) bool { return engine.Name == under.name })
	begun := under.first > 0
	switch {
	case place >= 0 && engines[place].Part == under.part:
		return true
	case begun && now-under.first >= movePatience:
		r.tired[under.name] = now
		return true
	case !begun && (place < 0 || under.lack && lack != under.part):
		return true
	}
	return false
}

// lean begins a move where the load has leaned to one part for long.
func (r *moves) lean(now schedule.Microseconds, group string, engines []catalogue.Engine, readers int, fraction float64) {
	share, known := r.shares[group]
	if !known {
		share = &contract.Share{Settle: leanSpan}
		r.shares[group] = share
	}
	under := r.groups[group]
	for _, each := range under {
		readers += direction(each.part)
	}
	part := contract.Decode
	wanted := share.Readers(now, len(engines), readers, fraction)
	if wanted > readers {
		part = contract.Prefill
	}
	against := slices.ContainsFunc(under, func(each *move) bool { return each.part != part })
	if wanted == readers || against || len(under) >= max(len(engines)/mostMoving, 1) {
		return
	}
	// In a large group half of the way is gone at once.
	count := max(int(math.Abs(fraction*float64(len(engines))-float64(readers))/2), 1)
	for ; count > 0 && len(r.groups[group]) < max(len(engines)/mostMoving, 1); count-- {
		staying := slices.DeleteFunc(slices.Clone(engines), r.away)
		if !slices.ContainsFunc(staying, func(engine catalogue.Engine) bool { return engine.Part != part }) {
			return
		}
		r.groups[group] = append(r.groups[group], &move{name: r.pick(now, staying, part), part: part})
	}
}

// direction is how a move to a part changes the number of readers.
func direction(part string) int {
	if part == contract.Prefill {
		return 1
	}
	return -1
}

// pick is the engine that is best moved to a part: one that has not failed to move
// lately, is warm, and stands in the hall with the most of the other part.
func (r *moves) pick(now schedule.Microseconds, engines []catalogue.Engine, part string) string {
	halls := map[string]int{}
	var others []catalogue.Engine
	for _, engine := range engines {
		if engine.Part != part {
			halls[engine.Hall]++
			others = append(others, engine)
		}
	}
	price := func(engine catalogue.Engine) int {
		price := -halls[engine.Hall]
		if engine.Cold {
			price += 1 << 20
		}
		if failed, tired := r.tired[engine.Name]; tired && now-failed < moveRest {
			price += 1 << 30
		}
		return price
	}
	return slices.MinFunc(others, func(left, right catalogue.Engine) int {
		return cmp.Or(cmp.Compare(price(left), price(right)), cmp.Compare(left.Name, right.Name))
	}).Name
}

// due are the engines to be ordered now: every router that takes work has heard that they
// are out of the contract.
func (r *moves) due(now schedule.Microseconds, live []catalogue.Engine, signed contract.Contract) []ordered {
	var found []ordered
	for _, move := range slices.Concat(slices.Collect(maps.Values(r.groups))...) {
		place := slices.IndexFunc(live, func(engine catalogue.Engine) bool { return engine.Name == move.name })
		if place < 0 {
			continue
		}
		if _, paired := signed.Parts[move.name]; paired {
			move.out = 0
			continue
		}
		if move.out == 0 {
			move.out = now
		}
		if now-move.out < outSpan || move.given > 0 && now-move.given < againSpan {
			continue
		}
		engine := live[place]
		engine.Part = move.part
		found = append(found, ordered{engine, move.first == 0})
		if move.given = now; move.first == 0 {
			move.first = now
		}
	}
	return found
}
