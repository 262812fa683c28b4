package main

import (
	"sync"
	"time"
)

const (
	drainBound = 3 * time.Second
	// linger is how long an engine serves beyond the bound before it ends.
	linger = 1500 * time.Millisecond
	// The replacement of engines: how many, and the pause between two of them.
	replacedEngines = 5
	replacementGap  = time.Second
	// The requests: tokens of the prompt and of the answer.
	longPrompt = 300_000
	longAnswer = 200
	// releases is the maximum number of releases, one after the other.
	releases = 4
)

// leaving replaces engines that make tokens one after the other, in order, while long prompts are read. A request
// that reaches an engine later than the bound after the list showed it as leaving breaks the rule.
func leaving(out *record, root string, trouble bool) (bool, error) {
	zones := []string{"concord-hall", "worcester-hall", "portland-hall"}
	f, c, err := begin(out, root, zones, 2, 2)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	// Which engine makes the tokens of a request is the routers' choice, so a round may miss the leaving ones.
	for round := range releases {
		out.add("release %d of %d at most", round+1, releases)
		if c.release(f, zones, trouble) {
			return true, nil
		}
		time.Sleep(settled)
	}
	return false, nil
}

// release sends long prompts while engines are replaced, and reports whether a request reached one too late.
func (c *cloud) release(f *fleet, zones []string, trouble bool) (broken bool) {
	var group sync.WaitGroup
	if trouble {
		group.Go(func() { c.replace(zones) })
	}
	// The list shows the first engine as leaving a little later than the requests are sent.
	time.Sleep(c.lag - 100*time.Millisecond)
	var answers []answer
	var lock sync.Mutex
	for _, m := range f.machines {
		for range 2 {
			group.Go(func() {
				got := f.stream(m, longPrompt, longAnswer)
				lock.Lock()
				defer lock.Unlock()
				answers = append(answers, got)
			})
		}
	}
	group.Wait()
	late := c.arrivalsWhere(func(a arrival) bool {
		return !a.engine.shownAt.IsZero() && a.at.After(a.engine.shownAt.Add(drainBound))
	})
	for _, a := range late {
		c.record.add("BROKEN: %s reached engine %s %.2f s after the list showed it as leaving", a.try, a.engine.id, a.at.Sub(a.engine.shownAt).Seconds())
	}
	for _, got := range answers {
		c.record.add("%s: status %d, %d pieces of %d, complete %v, runs %d", got.try, got.status, got.pieces, longAnswer, got.complete, c.runs[got.try])
	}
	return len(late) > 0
}

// replace replaces engines that make tokens, one at a time: the new one starts first, then the old one leaves.
func (c *cloud) replace(zones []string) {
	var old []*engine
	// The zones take turns; a zone without a further engine that makes tokens is passed over.
	for turn := 0; len(old) < replacedEngines && turn < replacedEngines*len(zones); turn++ {
		zone := zones[turn%len(zones)]
		for _, e := range c.engines {
			chosen := false
			for _, other := range old {
				chosen = chosen || other == e
			}
			if e.zone == zone && e.phase == word("write") && !chosen && !e.draining {
				old = append(old, e)
				break
			}
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	for _, e := range old {
		host, _, _ := splitAddress(e.address)
		added, err := c.addEngine(host, e.zone, word("write"))
		if err != nil {
			c.record.add("no new engine: %v", err)
			return
		}
		e.lock.Lock()
		added.coldUntil = time.Now().Add(warmUp)
		e.draining = true
		e.lock.Unlock()
		c.record.add("engine %s (%s) starts, engine %s is going to leave", added.id, e.zone, e.id)
		group.Go(func() {
			c.publish()
			time.Sleep(drainBound + linger)
			e.end()
			c.publish()
		})
		time.Sleep(replacementGap)
	}
}
