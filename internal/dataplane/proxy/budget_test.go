package carrier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// scripted is a driver whose engines end each call, read or run, with the next outcome of a
// script, and with an answer once the script is over.
type scripted struct {
	script   []port.Outcome
	reads    int
	runs     int
	answered bool
	// unproved counts the runs that may have begun for all that the router was told.
	unproved int
	trace    []string
}

func (o *scripted) next(what string) port.Outcome {
	outcome := port.Answered
	if len(o.script) > 0 {
		outcome, o.script = o.script[0], o.script[1:]
	}
	o.trace = append(o.trace, fmt.Sprint(what, " ", outcome))
	return outcome
}

func (o *scripted) Read(context.Context, port.Try) (port.Ticket, port.Outcome, error) {
	outcome := o.next("read")
	if outcome != port.Unsent {
		o.reads++
	}
	if outcome != port.Answered {
		return port.Ticket{}, outcome, errors.New("scripted")
	}
	o.answered = true
	return port.Ticket{Name: "memory"}, outcome, nil
}

func (o *scripted) Run(context.Context, port.Try) (port.Answer, port.Outcome, error) {
	outcome := o.next("run")
	if outcome != port.Unsent {
		o.runs++
	}
	if outcome != port.Answered {
		if outcome == port.Unknown {
			o.unproved++
		}
		return port.Answer{}, outcome, errors.New("scripted")
	}
	return port.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\n\n")), Length: -1}, outcome, nil
}

func (o *scripted) Free(context.Context, string, string) error { return nil }

// extra is how many arrivals past the first the retry budget counts at worst: a read of
// unknown fate may have been turned away, and only one that was taken up is free.
func (o *scripted) extra() int {
	counted := o.reads + o.runs
	if o.answered {
		counted--
	}
	return max(counted-1, 0)
}

// requestsForTokens is how many requests earn so many tokens, the one under test included,
// where a router earns sixteen hundredths of one by each.
var requestsForTokens = []int{1, 7, 13, 19}

// earn has the carrier see so many requests for which nothing is sent.
func earn(carrying *carrier.Carrier, requests int, book route.Book) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	carrying.Configure(configuration.View{Book: route.Book{Routes: map[string]route.Route{"none": {Host: "host", Prefix: "/", Kind: route.Stream, GiveUp: 1}}}})
	for range requests {
		nowhere := call()
		nowhere.Path, nowhere.Left = "/flag/none", 1
		carrying.Carry(ended, nowhere, &told{})
	}
	carrying.Configure(configuration.View{Book: book})
}

func oneRoute(tries int, resume bool) route.Book {
	return route.Book{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.Stream, Resume: resume, Tries: tries, GiveUp: 3 * schedule.Second,
			Start: 400 * schedule.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}
}

// scripts are all scripts of a length.
func scripts(length int) [][]port.Outcome {
	all := [][]port.Outcome{{}}
	for range length {
		var longer [][]port.Outcome
		for _, script := range all {
			for _, outcome := range []port.Outcome{port.Unknown, port.Unstarted, port.Elsewhere, port.Unsent, port.Answered} {
				longer = append(longer, append(script[:len(script):len(script)], outcome))
			}
		}
		all = longer
	}
	return all
}

// Whatever becomes of its reads and runs, a request has no more arrivals past the first than
// it took tokens; what may not be repeated is not sent on after a run of unknown fate; and a
// promise that nothing ran is given only if no run is of unknown fate.
func TestEveryArrivalPastTheFirstIsPaid(test *testing.T) {
	synctest.Test(test, everyScript)
}

func everyScript(test *testing.T) {
	served := 0
	for _, script := range scripts(4) {
		for tokens, requests := range requestsForTokens {
			for _, tries := range []int{1, 2, 3} {
				for _, resume := range []bool{false, true} {
					driver := &scripted{script: script}
					parts := []string{contract.Prefill, contract.Prefill, contract.Prefill, contract.Decode, contract.Decode, contract.Decode}
					carrying := madeOn(schedule.NewClock(), driver, tries, resume, parts...)
					earn(carrying, requests-1, oneRoute(tries, resume))
					caller, whole := carry(carrying, long())
					where := fmt.Sprintf("%d tokens, %d tries, resume %v, %v", tokens, tries, resume, driver.trace)
					if extra := driver.extra(); extra > tokens {
						test.Fatalf("%d arrivals past the first with %s", extra, where)
					}
					if driver.runs > tries {
						test.Fatalf("%d runs with %s", driver.runs, where)
					}
					if !resume && driver.unproved > 1 || !resume && driver.unproved == 1 && caller.status != 0 {
						test.Fatalf("sent on after a run of unknown fate with %s", where)
					}
					if promised := caller.code.Status() == 503 && caller.code != 0; promised && driver.unproved > 0 {
						test.Fatalf("promised not to have run with %s", where)
					}
					if caller.status == 0 && caller.code == mishap.Fine || carrying.Astray.Load() > 0 {
						test.Fatalf("no clear end with %s", where)
					}
					if whole && caller.status == 200 {
						served++
					}
				}
			}
		}
	}
	if served < 3000 {
		test.Fatalf("only %d were served", served)
	}
}
