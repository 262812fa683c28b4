package usage

import (
	"cmp"
	"slices"
)

// version is what a reporter has counted in a window, as some ledgers have it.
type version struct {
	Digest
	// holders are the ledgers that have it, in the order of the collection's ledgers.
	holders []string
	// only says that no ledger has another version of the reporter.
	only bool
	// collected says that its counts were received.
	collected bool
}

// Request asks a ledger for counts: for the sum of the reporters in each group.
type Request struct {
	Ledger string
	Groups [][]ReporterID
}

// Collection adds up one window from several ledgers, which are named by their addresses. It first gets the digests
// of all ledgers. Where all ledgers that have a reporter agree on it, it is part of a sum that one of them is asked
// for; where they differ, each is asked for that reporter alone, and the greater counts are taken.
type Collection struct {
	// ledgers are in the order in which they are asked for counts: the nearest first.
	ledgers []string
	digests map[string][]Digest
	// versions are what the digests show.
	versions []*version
	// sum has the counts of the reporters on which all ledgers agree, others those of the rest.
	sum    Counts
	others map[ReporterID]Counts
}

// NewCollection begins to collect from ledgers, of which the nearest come first.
func NewCollection(ledgers []string) *Collection {
	return &Collection{
		ledgers: ledgers,
		digests: map[string][]Digest{},
		sum:     Counts{},
		others:  map[ReporterID]Counts{},
	}
}

// RecordDigests records the digests that a ledger has answered.
func (c *Collection) RecordDigests(ledger string, digests []Digest) { c.digests[ledger] = digests }

// Unheard returns the ledgers whose digests are missing.
func (c *Collection) Unheard() []string {
	return slices.DeleteFunc(slices.Clone(c.ledgers), func(ledger string) bool {
		_, heard := c.digests[ledger]
		return heard
	})
}

// Requests returns what the ledgers have to be asked for, given the digests. It must not be called before all
// digests are recorded that are to count.
func (c *Collection) Requests() []Request {
	if c.versions == nil {
		c.versions = c.compareDigests()
	}
	var requests []Request
	for _, ledger := range c.ledgers {
		request := Request{Ledger: ledger}
		var agreed []ReporterID
		for _, missing := range c.versions {
			switch {
			case missing.collected || len(missing.holders) == 0 || missing.holders[0] != ledger:
			case missing.only:
				agreed = append(agreed, missing.Reporter)
			default:
				request.Groups = append(request.Groups, []ReporterID{missing.Reporter})
			}
		}
		if len(agreed) > 0 {
			request.Groups = append(request.Groups, agreed)
		}
		if len(request.Groups) > 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// compareDigests returns all versions of all reporters, sorted by reporter.
func (c *Collection) compareDigests() []*version {
	known := map[Digest]*version{}
	versionCounts := map[ReporterID]int{}
	versions := []*version{}
	for _, ledger := range c.ledgers {
		for _, digest := range c.digests[ledger] {
			if known[digest] == nil {
				known[digest] = &version{Digest: digest}
				versionCounts[digest.Reporter]++
				versions = append(versions, known[digest])
			}
			known[digest].holders = append(known[digest].holders, ledger)
		}
	}
	for _, found := range versions {
		found.only = versionCounts[found.Reporter] == 1
	}
	slices.SortStableFunc(versions, func(left, right *version) int { return cmp.Compare(left.Reporter, right.Reporter) })
	return versions
}

// RecordCounts records the answer to a request: the sum of each group. An answer with another number of sums counts
// as none.
func (c *Collection) RecordCounts(request Request, sums []Counts) {
	if len(sums) != len(request.Groups) {
		c.RecordFailure(request.Ledger)
		return
	}
	for index, group := range request.Groups {
		if c.markCollected(request.Ledger, group) {
			c.sum.Add(sums[index])
			continue
		}
		for _, reporter := range group {
			c.others[reporter] = greaterOf(c.others[reporter], sums[index])
		}
	}
}

// markCollected marks the versions of reporters that a ledger was asked for, and reports whether all ledgers
// agree on these reporters.
func (c *Collection) markCollected(ledger string, reporters []ReporterID) bool {
	agreed := true
	for _, found := range c.versions {
		isAsked := len(found.holders) > 0 && found.holders[0] == ledger && slices.Contains(reporters, found.Reporter)
		if isAsked {
			found.collected = true
			agreed = agreed && found.only
		}
	}
	return agreed
}

// RecordFailure records that a ledger did not answer a request: what others have as well is asked for there.
func (c *Collection) RecordFailure(ledger string) {
	for _, found := range c.versions {
		if !found.collected {
			found.holders = slices.DeleteFunc(found.holders, func(holder string) bool { return holder == ledger })
		}
	}
}

// Complete reports whether all counts were received that any digest shows.
func (c *Collection) Complete() bool {
	return !slices.ContainsFunc(c.versions, func(found *version) bool { return !found.collected })
}

// Totals returns the counts of all reporters together, as far as they were received.
func (c *Collection) Totals() Counts {
	totals := Counts{}
	totals.Add(c.sum)
	for _, counts := range c.others {
		totals.Add(counts)
	}
	return totals
}
