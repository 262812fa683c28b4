package autoscale

// zoneCount is the number of engines in one zone while it is being decided.
type zoneCount struct {
	zone string
	// wanted is the number to be ordered, serving the number that can be counted on.
	wanted  int
	serving int
	// open means that engines there can be ordered and serve.
	open bool
}

// change changes the number of a zone. It serves as many as are wanted.
func (z *zoneCount) change(delta int) {
	z.wanted += delta
	z.serving += delta
}

// distribution is the number of engines in each zone, by the names of zones.
type distribution []zoneCount

// satisfies reports whether the engines are enough.
func (d distribution) satisfies(needed requirement) bool {
	total, most := 0, 0
	for _, count := range d {
		total += count.serving
		most = max(most, count.serving)
	}
	return total >= needed.engines && total-most >= needed.survivors
}

// total returns the number of engines wanted in open zones.
func (d distribution) total() int {
	total := 0
	for _, count := range d {
		if count.open {
			total += count.wanted
		}
	}
	return total
}

// raise adds engines, one after another in the open zone with the fewest, until they are enough or each zone has
// the maximum.
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

// lower takes engines away, one after another in the open zone with the most, as long as the rest is enough and
// no zone has fewer than the minimum. It takes away no more than the given number.
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

// pick returns the first open zone, by precedence and then by name, of those that qualify; nil without any.
func (d distribution) pick(precedes func(left, right zoneCount) bool, qualifies func(zoneCount) bool) *zoneCount {
	var best *zoneCount
	for index := range d {
		candidate := &d[index]
		if candidate.open && qualifies(*candidate) && (best == nil || precedes(*candidate, *best)) {
			best = candidate
		}
	}
	return best
}
