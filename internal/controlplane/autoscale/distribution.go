package autoscale

// zoneCount is the working state of one zone while the numbers of engines are computed.
type zoneCount struct {
	zone string
	// wanted is the number of engines to order. serving is the number of engines that can be relied on to serve.
	wanted  int
	serving int
	// scalable is false if engines that are ordered for the zone would not serve: wanted is then left unchanged.
	scalable bool
}

// change adds delta to both numbers: ordered engines are assumed to serve.
func (z *zoneCount) change(delta int) {
	z.wanted += delta
	z.serving += delta
}

// distribution holds the numbers of engines of all zones, sorted by zone name.
type distribution []zoneCount

// satisfies reports whether the serving engines meet a requirement.
func (d distribution) satisfies(needed requirement) bool {
	total, most := 0, 0
	for _, count := range d {
		total += count.serving
		most = max(most, count.serving)
	}
	return total >= needed.engines && total-most >= needed.survivors
}

// total returns the number of engines wanted in scalable zones.
func (d distribution) total() int {
	total := 0
	for _, count := range d {
		if count.scalable {
			total += count.wanted
		}
	}
	return total
}

// raise adds engines, each in the scalable zone with the fewest, until the requirement is met or every scalable zone
// has the maximum.
func (d distribution) raise(needed requirement, maximum int) {
	for !d.satisfies(needed) {
		smallest := d.pick(func(left, right zoneCount) bool { return left.wanted < right.wanted },
			func(count zoneCount) bool { return count.wanted < maximum })
		if smallest == nil {
			return
		}
		smallest.change(1)
	}
}

// lower removes up to atMost engines, each from the scalable zone with the most, as long as the remaining engines
// meet the requirement. No zone is lowered below the minimum.
func (d distribution) lower(needed requirement, minimum, atMost int) {
	for range atMost {
		largest := d.pick(func(left, right zoneCount) bool { return left.wanted > right.wanted },
			func(count zoneCount) bool { return count.wanted > minimum })
		if largest == nil {
			return
		}
		largest.change(-1)
		if !d.satisfies(needed) {
			largest.change(1)
			return
		}
	}
}

// pick returns the qualifying scalable zone that precedes all others, or nil if no scalable zone qualifies. Ties are
// resolved by zone name.
func (d distribution) pick(precedes func(left, right zoneCount) bool, qualifies func(zoneCount) bool) *zoneCount {
	var best *zoneCount
	for index := range d {
		candidate := &d[index]
		if candidate.scalable && qualifies(*candidate) && (best == nil || precedes(*candidate, *best)) {
			best = candidate
		}
	}
	return best
}
