package usage

import (
	"cmp"
	"slices"
)

// countsVersion is one version of a reporter's counts in the window. Ledgers with the same digest have the same
// version.
type countsVersion struct {
	Digest
	// holders are the ledgers that have this version, in the order of the collection's ledgers.
	holders []string
	// undisputed is set if no ledger has another version of the reporter's counts.
	undisputed bool
	// collected is set once the counts were received.
	collected bool
}

// Request asks a ledger for the sum of the reporters' counts in each group.
type Request struct {
	Ledger string
	Groups [][]ReporterID
}

// Collection computes the totals of one window from several ledgers, which are identified by their addresses. The
// digests of the ledgers are recorded first. If all ledgers that have counts of a reporter have the same digest, one of
// the ledgers is asked for the counts, as a part of a sum. If the digests differ, one ledger for each distinct digest
// is asked for the counts of that reporter alone, and the maximum of each count is used.
type Collection struct {
	// ledgers are sorted by preference for requests, with the nearest ledger first.
	ledgers []string
	// digests maps ledgers to their digests.
	digests map[string][]Digest
	// versions are the versions of all reporters' counts, computed from the digests by the first call of Requests.
	versions []*countsVersion
	// agreedSum is the sum of the counts of the reporters on which all ledgers agree. disputed maps each other reporter
	// to the maximum of its counts.
	agreedSum Counts
	disputed  map[ReporterID]Counts
}

// NewCollection returns a collection from ledgers, which must be sorted by preference with the nearest ledger first.
func NewCollection(ledgers []string) *Collection {
	return &Collection{
		ledgers:   ledgers,
		digests:   map[string][]Digest{},
		agreedSum: Counts{},
		disputed:  map[ReporterID]Counts{},
	}
}

// RecordDigests records the digests that a ledger has returned.
func (c *Collection) RecordDigests(ledger string, digests []Digest) { c.digests[ledger] = digests }

// LedgersWithoutDigests returns the ledgers whose digests have not been recorded.
func (c *Collection) LedgersWithoutDigests() []string {
	return slices.DeleteFunc(slices.Clone(c.ledgers), func(ledger string) bool {
		_, recorded := c.digests[ledger]
		return recorded
	})
}

// Requests returns the requests for the counts that have not been received, at most one request for each ledger. The
// first call determines the versions; digests that are recorded later are ignored.
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
			case missing.undisputed:
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

// compareDigests returns the versions of all reporters' counts, sorted by reporter.
func (c *Collection) compareDigests() []*countsVersion {
	byDigest := map[Digest]*countsVersion{}
	versionCounts := map[ReporterID]int{}
	versions := []*countsVersion{}
	for _, ledger := range c.ledgers {
		for _, digest := range c.digests[ledger] {
			if byDigest[digest] == nil {
				byDigest[digest] = &countsVersion{Digest: digest}
				versionCounts[digest.Reporter]++
				versions = append(versions, byDigest[digest])
			}
			byDigest[digest].holders = append(byDigest[digest].holders, ledger)
		}
	}
	for _, found := range versions {
		found.undisputed = versionCounts[found.Reporter] == 1
	}
	slices.SortStableFunc(versions, func(left, right *countsVersion) int {
		return cmp.Compare(left.Reporter, right.Reporter)
	})
	return versions
}

// RecordCounts records the response to a request, which is the sum of each group. A response with another number of
// sums is recorded as a failure of the ledger.
func (c *Collection) RecordCounts(request Request, sums []Counts) {
	if len(sums) != len(request.Groups) {
		c.RecordFailure(request.Ledger)
		return
	}
	for index, group := range request.Groups {
		if c.markCollected(request.Ledger, group) {
			c.agreedSum.Add(sums[index])
			continue
		}
		for _, reporter := range group {
			c.disputed[reporter] = maxOfCounts(c.disputed[reporter], sums[index])
		}
	}
}

// markCollected marks the versions that a ledger was asked for as collected, and reports whether all ledgers agree on
// the counts of these reporters.
func (c *Collection) markCollected(ledger string, reporters []ReporterID) bool {
	agreed := true
	for _, found := range c.versions {
		requested := len(found.holders) > 0 && found.holders[0] == ledger && slices.Contains(reporters, found.Reporter)
		if requested {
			found.collected = true
			agreed = agreed && found.undisputed
		}
	}
	return agreed
}

// RecordFailure records that a request to a ledger failed. Counts that other ledgers have as well are requested from
// those ledgers; other missing counts of the failed ledger are not requested again.
func (c *Collection) RecordFailure(ledger string) {
	for _, found := range c.versions {
		if !found.collected {
			found.holders = slices.DeleteFunc(found.holders, func(holder string) bool { return holder == ledger })
		}
	}
}

// Complete reports whether the counts for all recorded digests were received.
func (c *Collection) Complete() bool {
	return !slices.ContainsFunc(c.versions, func(found *countsVersion) bool { return !found.collected })
}

// Totals returns the sum of the received counts of all reporters.
func (c *Collection) Totals() Counts {
	totals := Counts{}
	totals.Add(c.agreedSum)
	for _, counts := range c.disputed {
		totals.Add(counts)
	}
	return totals
}
