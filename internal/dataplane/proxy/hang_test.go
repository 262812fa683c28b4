package carrier_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
)

// hanging is a driver whose engines answer all calls at once but those named hung: the first
// read or run of these gets nothing until its caller gives up, or is answered late.
type hanging struct {
	lock  sync.Mutex
	late  time.Duration
	lives []string
}

func (h *hanging) hang(bounded context.Context, try port.Try) bool {
	if try.Identity != "hung" {
		return false
	}
	h.lock.Lock()
	h.lives = append(h.lives, try.Life)
	first := len(h.lives) == 1
	h.lock.Unlock()
	if !first {
		return false
	}
	if h.late > 0 {
		return !rest(bounded, h.late)
	}
	<-bounded.Done()
	return true
}

func (h *hanging) Read(bounded context.Context, try port.Try) (port.Ticket, port.Outcome, error) {
	if h.hang(bounded, try) {
		return port.Ticket{}, port.Unknown, bounded.Err()
	}
	return port.Ticket{Name: "memory"}, port.Answered, nil
}

func (h *hanging) Run(bounded context.Context, try port.Try) (port.Answer, port.Outcome, error) {
	if h.hang(bounded, try) {
		return port.Answer{}, port.Unknown, bounded.Err()
	}
	return port.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\n\n")), Length: -1}, port.Answered, nil
}

func (h *hanging) Free(context.Context, string, string) error { return nil }

// hungCall carries one call that hangs, while the engines answer others; it returns how long it
// took. The clock leaps by so much after a tenth of a second.
func hungCall(test *testing.T, driver *hanging, resume bool, leap schedule.Microseconds, told func(string)) (*told, bool, time.Duration) {
	begun := time.Now()
	clock := schedule.NewClockOf(func() schedule.Microseconds {
		now := schedule.Of(time.Since(begun))
		if now >= 100*schedule.Millisecond {
			now += leap
		}
		return now
	})
	tries := 1
	if resume {
		tries = 2
	}
	carrying := madeOn(clock, driver, tries, resume, contract.Both, contract.Both)
	carrying.Tell = func(_, life string) { told(life) }
	earn(carrying, 19, oneRoute(tries, resume))
	ended := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for number := 0; ; number++ {
			other := call()
			other.Identity = fmt.Sprint("other-", number)
			carry(carrying, other)
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	hung := call()
	hung.Identity, hung.Left = "hung", 3*schedule.Second
	from := time.Now()
	caller, whole := carry(carrying, hung)
	took := time.Since(from)
	close(ended)
	others.Wait()
	return caller, whole, took
}

func TestACallThatHangsAtAnEngineThatAnswersOthers(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		driver := &hanging{}
		_, whole, took := hungCall(test, driver, true, 0, func(string) {})
		if !whole || took > 800*time.Millisecond || len(driver.lives) != 2 || driver.lives[0] == driver.lives[1] {
			test.Errorf("one that may be repeated: whole %v after %v, at %v", whole, took, driver.lives)
		}
	})
	synctest.Test(test, func(test *testing.T) {
		var told atomic.Int64
		driver := &hanging{}
		caller, _, took := hungCall(test, driver, false, 0, func(string) { told.Add(1) })
		if caller.code != mishap.EndingUnknown && caller.code != mishap.Abandoned || len(driver.lives) != 1 {
			test.Errorf("one that may not be repeated ends with %v after %v, at %v", caller.code, took, driver.lives)
		}
		if told.Load() == 0 {
			test.Error("nobody was told of the engine that hangs")
		}
	})
	synctest.Test(test, func(test *testing.T) {
		driver := &hanging{late: 900 * time.Millisecond}
		_, whole, _ := hungCall(test, driver, true, 2*schedule.Second, func(string) {})
		if !whole || len(driver.lives) != 1 {
			test.Errorf("given up since this process stood still: whole %v, at %v", whole, driver.lives)
		}
	})
}
