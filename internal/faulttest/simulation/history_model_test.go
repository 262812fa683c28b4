package simulation_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coursepass/internal/errcode"
)

// register is what operators change: a label with its content, put in force by
// compare-and-set on the label it builds on, and the halls that are evacuated.
type register struct {
	sequence, label uint64
	// taken are all labels with their contents, in order.
	taken     string
	evacuated string
}

// act is one operation of a history: what was asked.
type act struct {
	kind    actKind
	label   uint64
	on      uint64
	content string
	hall    string
}

type actKind string

const (
	orderAct    actKind = "order"
	evacuateAct actKind = "evacuate"
	returnAct   actKind = "return"
	readAct     actKind = "read"
	// routerAct is a ready router's configuration; it may be as old as the freshness bound.
	routerAct actKind = "router"
)

// seen is what came of an operation. An unknown one may have taken effect at any time
// since, or never will.
type seen struct {
	unknown   bool
	refused   bool
	sequence  uint64
	label     uint64
	content   string
	evacuated string
}

func (h act) mark() string { return fmt.Sprintf("|%d:%s|", h.label, h.content) }

// step is the register's sequential specification.
func (r register) step(asked act, found seen) (bool, register) {
	switch asked.kind {
	case readAct:
		return found == seen{sequence: r.sequence, label: r.label, content: r.content(), evacuated: r.evacuated}, r
	case routerAct:
		return found.sequence == r.sequence && found.evacuated == r.evacuated, r
	case orderAct:
		return r.order(asked, found)
	}
	after := r
	after.sequence++
	halls := slices.DeleteFunc(strings.Fields(r.evacuated), func(hall string) bool { return hall == asked.hall })
	if asked.kind == evacuateAct {
		halls = append(halls, asked.hall)
	}
	slices.Sort(halls)
	after.evacuated = strings.Join(halls, " ")
	return found.unknown || !found.refused && found.sequence == after.sequence, after
}

func (r register) content() string {
	last := r.taken[strings.LastIndex(r.taken, ":")+1:]
	return strings.TrimSuffix(last, "|")
}

// order takes effect if it builds on what is in force; one that has been taken is
// acknowledged again, whatever has come since.
func (r register) order(asked act, found seen) (bool, register) {
	repeated, fits := strings.Contains(r.taken, asked.mark()), r.label == asked.on
	if repeated || !fits {
		return found.unknown || found.refused != repeated && (found.refused || found.sequence == r.sequence), r
	}
	after := r
	after.sequence, after.label, after.taken = r.sequence+1, asked.label, r.taken+asked.mark()
	return found.unknown || !found.refused && found.sequence == after.sequence, after
}

func registerModel(first register) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, asked, found any) (bool, any) {
			return state.(register).step(asked.(act), found.(seen))
		},
		DescribeOperation: func(asked, found any) string { return fmt.Sprintf("%+v -> %+v", asked, found) },
	}
}

// history is what operators and routers' probes saw, by the virtual clock.
type history struct {
	lock       sync.Mutex
	first      register
	operations []porcupine.Operation
	codes      map[mishap.Code]int
	trace      []string
}

func (h *history) record(client int, begun, ended time.Time, asked act, found seen) {
	h.lock.Lock()
	defer h.lock.Unlock()
	end := ended.UnixMicro()
	if found.unknown {
		end = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: asked, Call: begun.UnixMicro(), Output: found, Return: end})
}

func (h *history) count(code mishap.Code) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.codes[code]++
}

// check tells whether the history is linearizable, or that the time did not suffice.
func (h *history) check(patience time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel(h.first), h.operations, patience)
}

// The model refuses what must never be seen, and allows what may be.
func TestRegisterModel(test *testing.T) {
	begin := time.UnixMicro(0)
	type line struct {
		begun, ended time.Duration
		asked        act
		found        seen
	}
	put := func(label, on uint64, content string) act {
		return act{kind: orderAct, label: label, on: on, content: content}
	}
	one, other, next := put(1, 0, "a"), put(1, 0, "b"), put(2, 1, "c")
	read := act{kind: readAct}
	for name, each := range map[string]struct {
		fine  bool
		lines []line
	}{
		"a repeated order is acknowledged again": {true, []line{{0, 1, one, seen{sequence: 1}}, {2, 3, next, seen{sequence: 2}}, {4, 5, one, seen{sequence: 2}}}},
		"a repeated order is refused":            {false, []line{{0, 1, one, seen{sequence: 1}}, {2, 3, next, seen{sequence: 2}}, {4, 5, one, seen{refused: true}}}},
		"two on one base":                        {false, []line{{0, 5, one, seen{sequence: 1}}, {0, 5, other, seen{sequence: 2}}}},
		"one of two on one base":                 {true, []line{{0, 5, one, seen{sequence: 1}}, {0, 5, other, seen{refused: true}}}},
		"both of two refused":                    {false, []line{{0, 5, one, seen{refused: true}}, {0, 5, other, seen{refused: true}}}},
		"an unknown order took effect":           {true, []line{{0, 1, one, seen{unknown: true}}, {2, 3, read, seen{sequence: 1, label: 1, content: "a"}}}},
		"an unknown order did not":               {true, []line{{0, 1, one, seen{unknown: true}}, {2, 3, read, seen{}}}},
		"an unknown order went away again":       {false, []line{{0, 1, one, seen{unknown: true}}, {2, 3, read, seen{sequence: 1, label: 1, content: "a"}}, {4, 5, read, seen{}}}},
		"a read older than an acknowledgement":   {false, []line{{0, 1, one, seen{sequence: 1}}, {2, 3, read, seen{}}}},
		"an evacuation is lost":                  {false, []line{{0, 1, act{kind: evacuateAct, hall: "sur"}, seen{sequence: 1}}, {2, 3, read, seen{sequence: 1}}}},
		"a router within the bound":              {true, []line{{2, 3, one, seen{sequence: 1}}, {1, 4, act{kind: routerAct}, seen{}}}},
		"a router beyond the bound":              {false, []line{{2, 3, one, seen{sequence: 1}}, {4, 5, act{kind: routerAct}, seen{}}}},
	} {
		found := &history{codes: map[mishap.Code]int{}}
		for client, line := range each.lines {
			found.record(client, begin.Add(line.begun*time.Second), begin.Add(line.ended*time.Second), line.asked, line.found)
		}
		if fine := found.check(time.Minute) == porcupine.Ok; fine != each.fine {
			test.Errorf("%s: %v", name, fine)
		}
	}
}
