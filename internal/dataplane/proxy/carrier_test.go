package carrier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// act is what a played engine does with one call.
type act struct {
	outcome port.Outcome
	status  int
	body    string
	// cut has the body end with a mishap.
	cut bool
}

// played is a driver whose engines do as the play says, one act after another.
type played struct {
	lock  sync.Mutex
	acts  []act
	tries []port.Try
	reads []port.Try
	freed []string
	read  port.Outcome
}

func (s *played) Read(_ context.Context, try port.Try) (port.Ticket, port.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reads = append(s.reads, try)
	return port.Ticket{Name: "memory", Weights: 3}, s.read, nil
}

func (s *played) Run(_ context.Context, try port.Try) (port.Answer, port.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.tries = append(s.tries, try)
	next := s.acts[0]
	s.acts = s.acts[1:]
	if next.outcome != port.Answered {
		return port.Answer{}, next.outcome, errors.New("played")
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.cut {
		body = io.MultiReader(body, cutReader{})
	}
	return port.Answer{Status: next.status, Header: http.Header{"Stamp": {try.Life}}, Body: io.NopCloser(body), Length: -1}, port.Answered, nil
}

func (s *played) Free(_ context.Context, _, ticket string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.freed = append(s.freed, ticket)
	return nil
}

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// told is what a caller was told.
type told struct {
	status int
	header http.Header
	text   strings.Builder
	code   mishap.Code
	retry  schedule.Microseconds
}

func (r *told) Head(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
}
func (r *told) Write(data []byte) error {
	r.text.Write(data)
	return nil
}
func (r *told) Decline(err error, retry schedule.Microseconds) {
	r.code, r.retry = mishap.CodeOf(err, 0), retry
}

func made(driver port.Driver, tries int, resume bool, parts ...string) *carrier.Carrier {
	return madeOn(schedule.NewClockOf(func() schedule.Microseconds { return schedule.Second }), driver, tries, resume, parts...)
}

// madeOn makes a carrier on a clock.
func madeOn(clock *schedule.Clock, driver port.Driver, tries int, resume bool, parts ...string) *carrier.Carrier {
	carrying := carrier.New(carrier.Terms{Terms: pool.Terms{Router: "r", Hall: "norte"}, RepeatShare: 0.2, RepeatExtra: 60}, clock, driver)
	carrying.Configure(configuration.View{Book: route.Book{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.Stream, Resume: resume, Tries: tries, GiveUp: 3 * schedule.Second,
			Start: 400 * schedule.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}})
	engines := map[string]catalogue.Engine{}
	for place, part := range parts {
		life := fmt.Sprintf("life-%d", place)
		engines[life] = catalogue.Engine{Name: life, Incarnation: life, Service: "model", Hall: "norte", Address: "10.0.0.1:1", Part: part, Slots: 8}
	}
	carrying.Enlist(catalogue.View{Engines: engines}, 1)
	return carrying
}

func call() port.Call {
	return port.Call{Method: "POST", Target: "/flag/1", Host: "host", Path: "/flag/1", Identity: "one", Left: schedule.Second}
}

// long is a call with a prompt that is worth reading elsewhere.
func long() port.Call {
	made := call()
	made.Prompt = []port.Piece{{Name: "shared", Tokens: 6000}, {Name: "own", Tokens: 6000}}
	return made
}

func carry(carrying *carrier.Carrier, call port.Call) (*told, bool) {
	caller := &told{}
	return caller, carrying.Carry(context.Background(), call, caller)
}

func TestWhatMayHaveRunIsNotSentAgain(test *testing.T) {
	Convey("a stream that may not be resumed is sent once, and told as unknown", test, func() {
		driver := &played{acts: []act{{outcome: port.Unknown}, {outcome: port.Answered, status: 200}}}
		caller, _ := carry(made(driver, 5, false, contract.Both, contract.Both), call())
		So(len(driver.tries), ShouldEqual, 1)
		So(caller.code, ShouldEqual, mishap.EndingUnknown)
		So(caller.retry, ShouldEqual, schedule.Microseconds(0))
	})
	Convey("after a proof that it did not start another engine is asked, within the tries", test, func() {
		driver := &played{acts: []act{{outcome: port.Unstarted}, {outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		carrying := made(driver, 2, false, contract.Both, contract.Both)
		spare(carrying)
		caller, whole := carry(carrying, call())
		So(whole, ShouldBeTrue)
		So(len(driver.tries), ShouldEqual, 2)
		So(driver.tries[0].Life, ShouldNotEqual, driver.tries[1].Life)
		So(caller.text.String(), ShouldEqual, "id: 1\n\n")
	})
	Convey("with a single try it is declined at once as not run, with a time to come back", test, func() {
		driver := &played{acts: []act{{outcome: port.Unstarted}}}
		caller, _ := carry(made(driver, 1, false, contract.Both, contract.Both), call())
		So(len(driver.tries), ShouldEqual, 1)
		So(caller.code.Status(), ShouldEqual, 503)
		So(caller.retry, ShouldBeGreaterThan, schedule.Microseconds(0))
	})
	Convey("an engine that can't be reached counts as no try", test, func() {
		driver := &played{acts: []act{{outcome: port.Unsent}, {outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		_, whole := carry(made(driver, 1, false, contract.Both, contract.Both), call())
		So(whole, ShouldBeTrue)
		So(len(driver.tries), ShouldEqual, 2)
	})
	Convey("with no engine that can be reached it is declined as not run", test, func() {
		driver := &played{acts: []act{{outcome: port.Unsent}, {outcome: port.Unsent}}}
		caller, _ := carry(made(driver, 1, false, contract.Both, contract.Both), call())
		So(len(driver.tries), ShouldEqual, 2)
		So(caller.code.Status(), ShouldEqual, 503)
		So(caller.retry, ShouldBeGreaterThan, schedule.Microseconds(0))
	})
	Convey("a status that promises that nothing ran is not passed on without the engine's word", test, func() {
		for _, status := range []int{408, 421, 429, 503} {
			driver := &played{acts: []act{{outcome: port.Answered, status: status, body: "full"}}}
			caller, _ := carry(made(driver, 2, false, contract.Both, contract.Both), call())
			So(caller.status, ShouldEqual, 0)
			So(caller.code, ShouldEqual, mishap.EndingUnknown)
			So(len(driver.tries), ShouldEqual, 1)
		}
	})
	Convey("an engine's own failure is passed on unchanged where it may not run again", test, func() {
		driver := &played{acts: []act{{outcome: port.Answered, status: 500, body: "broken"}}}
		caller, whole := carry(made(driver, 2, false, contract.Both), call())
		So(whole, ShouldBeTrue)
		So(caller.status, ShouldEqual, 500)
		So(caller.text.String(), ShouldEqual, "broken")
	})
}

// spare earns repeats by requests that no engine is asked for.
func spare(carrying *carrier.Carrier) {
	for range 20 {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		nowhere := call()
		nowhere.Path, nowhere.Left = "/flag/none", 1
		carrying.Configure(configuration.View{Book: route.Book{Routes: map[string]route.Route{"none": {Host: "host", Prefix: "/", Kind: route.Stream, GiveUp: 1}}}})
		carrying.Carry(ended, nowhere, &told{})
	}
	carrying.Configure(configuration.View{Book: route.Book{
		Routes: map[string]route.Route{"flag": {
			Name: "flag", Host: "host", Prefix: "/flag/", Kind: route.Stream, Resume: true, Tries: 2, GiveUp: 3 * schedule.Second,
			Start: 400 * schedule.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}},
		}},
		Services: map[string]route.Service{"model": {Name: "model"}},
	}})
}

func TestACutStreamIsResumedBehindItsLastWholeEvent(test *testing.T) {
	Convey("nothing is skipped, repeated or spliced", test, func() {
		driver := &played{acts: []act{
			{outcome: port.Answered, status: 200, body: "id: 1\ndata: a\n\nid: 2\nda", cut: true},
			{outcome: port.Answered, status: 200, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		}}
		carrying := made(driver, 2, true, contract.Both, contract.Both)
		spare(carrying)
		caller, whole := carry(carrying, call())
		So(whole, ShouldBeTrue)
		So(driver.tries[1].Resume, ShouldEqual, "1")
		So(caller.text.String(), ShouldEqual, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		So(caller.header.Get("Stamp"), ShouldEqual, driver.tries[0].Life)
	})
	Convey("one that may not be resumed ends as cut", test, func() {
		driver := &played{acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\ndata: a\n\n", cut: true}}}
		_, whole := carry(made(driver, 2, false, contract.Both, contract.Both), call())
		So(whole, ShouldBeFalse)
		So(len(driver.tries), ShouldEqual, 1)
	})
	Convey("without repeats left it ends as cut", test, func() {
		driver := &played{acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\ndata: a\n\n", cut: true}}}
		_, whole := carry(made(driver, 2, true, contract.Both, contract.Both), call())
		So(whole, ShouldBeFalse)
	})
}

func TestALongPromptIsReadElsewhereAndHandedOver(test *testing.T) {
	Convey("the writer is told whose memory it takes, and of which weights", test, func() {
		driver := &played{read: port.Answered, acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		_, whole := carry(made(driver, 2, true, contract.Prefill, contract.Decode), long())
		So(whole, ShouldBeTrue)
		So(len(driver.reads), ShouldEqual, 1)
		So(driver.tries[0].Source, ShouldEqual, "10.0.0.1:1/memory")
		So(driver.tries[0].Weights, ShouldEqual, 3)
	})
	Convey("memory that is not taken is given back, and the request reads anew only as an attempt", test, func() {
		driver := &played{read: port.Answered, acts: []act{{outcome: port.Unstarted}, {outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		carrying := made(driver, 2, true, contract.Prefill, contract.Decode, contract.Decode)
		spare(carrying)
		_, whole := carry(carrying, long())
		So(whole, ShouldBeTrue)
		So(len(driver.reads), ShouldEqual, 1)
		So(len(driver.tries), ShouldEqual, 2)
		So(driver.tries[1].Source, ShouldBeEmpty)
	})
	Convey("a reader that falls silent costs no attempt but a token: the answer is made by an engine that reads by itself", test, func() {
		driver := &played{read: port.Unknown, acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		carrying := made(driver, 1, false, contract.Prefill, contract.Decode)
		earn(carrying, 19, oneRoute(1, false))
		_, whole := carry(carrying, long())
		So(whole, ShouldBeTrue)
		So(len(driver.reads), ShouldEqual, 1)
		So(len(driver.tries), ShouldEqual, 1)
		So(driver.tries[0].Source, ShouldBeEmpty)
	})
	Convey("without a token it ends at once as not run, since the silent reader may have counted as an arrival", test, func() {
		driver := &played{read: port.Unknown}
		caller, _ := carry(made(driver, 1, false, contract.Prefill, contract.Decode), long())
		So(len(driver.reads), ShouldEqual, 1)
		So(len(driver.tries), ShouldEqual, 0)
		So(caller.code.Status(), ShouldEqual, 503)
		So(caller.retry, ShouldBeGreaterThan, schedule.Microseconds(0))
	})
	Convey("with more tries and a repeat to spend it is read once more elsewhere, and no third time", test, func() {
		driver := &played{read: port.Unknown, acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\n\n"}}}
		carrying := made(driver, 2, true, contract.Prefill, contract.Prefill, contract.Prefill, contract.Decode)
		spare(carrying)
		caller, _ := carry(carrying, long())
		So(len(driver.reads), ShouldEqual, 2)
		So(len(driver.tries), ShouldBeLessThanOrEqualTo, 1)
		So(caller.code, ShouldNotEqual, mishap.EndingUnknown)
	})
	Convey("a reader that turns the prompt away counts as an attempt, and nothing has run", test, func() {
		driver := &played{read: port.Unstarted, acts: []act{}}
		caller, _ := carry(made(driver, 2, true, contract.Prefill, contract.Decode), long())
		So(caller.code.Status(), ShouldEqual, 503)
		So(len(driver.tries), ShouldEqual, 0)
	})
}

// Every way through the table ends honestly: not run is told only if nothing left or all
// that left is proved not to have started.
func TestEveryWayOfACarriedRequest(test *testing.T) {
	Convey("no state leads out of an end, and all others lead on", test, func() {
		ends := map[relay.State]bool{relay.Finished: true, relay.Cut: true, relay.Declined: true}
		for state, next := range carrier.Moves {
			So(ends[state], ShouldBeFalse)
			So(next, ShouldNotBeEmpty)
			for _, to := range next {
				_, leads := carrier.Moves[to]
				So(leads || ends[to], ShouldBeTrue)
			}
		}
	})
	Convey("the plays above never stepped beside the table", test, func() {
		driver := &played{acts: []act{{outcome: port.Answered, status: 200, body: "id: 1\n\n", cut: true}, {outcome: port.Unknown}}}
		carrying := made(driver, 2, true, contract.Both, contract.Both)
		spare(carrying)
		carry(carrying, call())
		So(carrying.Astray.Load(), ShouldEqual, int64(0))
	})
}
