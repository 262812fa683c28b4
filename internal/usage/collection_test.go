package usage_test

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"coursepass/internal/usage"
)

const collectedWindow = 100

// ledgerGroup maps the names of servers to their ledgers.
type ledgerGroup map[string]*usage.Ledger

func newLedgerGroup(names ...string) ledgerGroup {
	group := ledgerGroup{}
	for _, name := range names {
		group[name] = usage.NewLedger(windows)
	}
	return group
}

func (l ledgerGroup) merge(name string, reporter usage.ReporterID, counts usage.Counts) {
	l[name].Merge(ledgerNow, newReport(reporter, collectedWindow, counts))
}

// answer returns the response of the requested ledger.
func (l ledgerGroup) answer(request usage.Request) []usage.Counts {
	var sums []usage.Counts
	for _, group := range request.Groups {
		sums = append(sums, l[request.Ledger].Collect(collectedWindow, group))
	}
	return sums
}

// collect runs a collection from the ledgers in the given order and returns it with the requests that were answered.
// Failing ledgers return their digests but answer no requests.
func (l ledgerGroup) collect(order []string, failing ...string) (*usage.Collection, []usage.Request) {
	collection := usage.NewCollection(order)
	for _, name := range order {
		collection.RecordDigests(name, l[name].Digests(collectedWindow))
	}
	var answered []usage.Request
	for requests := collection.Requests(); len(requests) > 0; requests = collection.Requests() {
		for _, request := range requests {
			if slices.Contains(failing, request.Ledger) {
				collection.RecordFailure(request.Ledger)
				continue
			}
			answered = append(answered, request)
			collection.RecordCounts(request, l.answer(request))
		}
	}
	return collection, answered
}

func TestCollection_AsksOneOfAgreeingLedgers(t *testing.T) {
	ledgers := newLedgerGroup("near", "far", "other")
	for _, name := range []string{"near", "far"} {
		ledgers.merge(name, 1, usage.Counts{"a": 2, "b": 1})
		ledgers.merge(name, 2, usage.Counts{"a": 5})
	}
	ledgers.merge("other", 3, usage.Counts{"c": 4})
	collection, answered := ledgers.collect([]string{"near", "far", "other"})
	want := []usage.Request{
		{Ledger: "near", Groups: [][]usage.ReporterID{{1, 2}}},
		{Ledger: "other", Groups: [][]usage.ReporterID{{3}}},
	}
	if !reflect.DeepEqual(answered, want) {
		t.Errorf("requests are %v, want %v", answered, want)
	}
	total := usage.Counts{"a": 7, "b": 1, "c": 4}
	if !collection.Complete() || !reflect.DeepEqual(collection.Totals(), total) {
		t.Errorf("totals are %v, want %v and a complete collection", collection.Totals(), total)
	}
}

func TestCollection_TakesGreaterCountsWhereLedgersDiffer(t *testing.T) {
	ledgers := newLedgerGroup("near", "far")
	ledgers.merge("near", 1, usage.Counts{"a": 2, "b": 9})
	ledgers.merge("far", 1, usage.Counts{"a": 3, "c": 1})
	ledgers.merge("near", 2, usage.Counts{"a": 1})
	ledgers.merge("far", 2, usage.Counts{"a": 1})
	collection, _ := ledgers.collect([]string{"near", "far"})
	want := usage.Counts{"a": 4, "b": 9, "c": 1}
	if !collection.Complete() || !reflect.DeepEqual(collection.Totals(), want) {
		t.Errorf("totals are %v, want %v and a complete collection", collection.Totals(), want)
	}
}

func TestCollection_AsksAnotherLedgerAfterAFailure(t *testing.T) {
	ledgers := newLedgerGroup("near", "far")
	for _, name := range []string{"near", "far"} {
		ledgers.merge(name, 1, usage.Counts{"a": 2})
	}
	ledgers.merge("near", 2, usage.Counts{"a": 7})
	collection, _ := ledgers.collect([]string{"near", "far"}, "near")
	if !reflect.DeepEqual(collection.Totals(), usage.Counts{"a": 2}) {
		t.Errorf("totals are %v, want 2 requests of tenant a", collection.Totals())
	}
	if collection.Complete() {
		t.Error("the collection is complete without the counts that only the failing ledger has")
	}
}

func TestCollection_IncompleteResponseIsFailure(t *testing.T) {
	collection := usage.NewCollection([]string{"near"})
	collection.RecordDigests("near", []usage.Digest{{Reporter: 1, Hash: 1}})
	collection.RecordCounts(collection.Requests()[0], nil)
	if requests := collection.Requests(); len(requests) != 0 || collection.Complete() {
		t.Errorf("after a response without sums, requests are %v and complete is %v, want none and false",
			requests, collection.Complete())
	}
}

func TestCollection_ReturnsLedgersWithoutDigests(t *testing.T) {
	collection := usage.NewCollection([]string{"one", "two", "three"})
	collection.RecordDigests("two", nil)
	if missing := collection.LedgersWithoutDigests(); !slices.Equal(missing, []string{"one", "three"}) {
		t.Errorf("ledgers without digests are %v, want one and three", missing)
	}
	if requests := collection.Requests(); len(requests) != 0 || !collection.Complete() {
		t.Errorf("a window without counts has requests %v or is incomplete", requests)
	}
}

// drawReports draws reports and merges each of them into one or more ledgers. It returns the expected totals, which are
// the sums of the maximum counts of all reporters.
func (l ledgerGroup) drawReports(t *rapid.T, names []string) usage.Counts {
	maxima := map[usage.ReporterID]usage.Counts{}
	for range rapid.IntRange(0, 20).Draw(t, "reports") {
		reporter := usage.ReporterID(rapid.Uint64Range(1, 4).Draw(t, "reporter"))
		counts := drawCounts(t)
		if maxima[reporter] == nil {
			maxima[reporter] = usage.Counts{}
		}
		for tenant, count := range counts {
			maxima[reporter][tenant] = max(maxima[reporter][tenant], count)
		}
		first := rapid.SampledFrom(names).Draw(t, "ledger")
		for _, name := range names {
			if name == first || rapid.Bool().Draw(t, "is also sent to "+name) {
				l.merge(name, reporter, counts)
			}
		}
	}
	total := usage.Counts{}
	for _, counts := range maxima {
		total.Add(counts)
	}
	return total
}

// Reports may reach any subset of the ledgers. For each reporter and tenant, a collection must have the maximum of the
// counts that any ledger has, as long as the ledger with the maximum does not fail.
func TestCollection_HasTheMaximumOfAllLedgers(t *testing.T) {
	names := []string{"one", "two", "three"}
	rapid.Check(t, func(t *rapid.T) {
		ledgers := newLedgerGroup(names...)
		want := ledgers.drawReports(t, names)
		collection, _ := ledgers.collect(rapid.Permutation(names).Draw(t, "order"))
		if !collection.Complete() || !reflect.DeepEqual(collection.Totals(), want) {
			t.Fatalf("totals are %v, want %v and a complete collection", collection.Totals(), want)
		}
	})
}
