package simulation_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coursepass/internal/adminclient"
	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
)

var (
	firstHistory = flag.Uint64("first-history", 0, "first seed of the histories")
	histories    = flag.Uint64("histories", 2, "number of seeds of the histories")
)

const (
	historySpan = 14 * time.Second
	// freshBound is how old a ready router's configuration may be.
	freshBound = 2 * time.Second
	// orderPatience is how long an operator waits for an answer.
	orderPatience = 1500 * time.Millisecond
	// lostAnswers of a hundred answers never reach their operator.
	lostAnswers = 8
	// deciding bounds the check of one history, by the machine's own clock.
	deciding = time.Minute
)

// Two operators have four orders each under way, some of them sent again, a third
// evacuates halls, all read, and probes look at the routers, while cores fail as a seed
// draws it. All that any of them saw must be explained by one register.
func TestHistoriesAreLinearizable(test *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+*histories; seed++ {
		test.Run(fmt.Sprint(seed), func(test *testing.T) {
			found := &history{codes: map[mishap.Code]int{}}
			// The check takes real time, so it comes after the virtual clock's end.
			test.Cleanup(func() { found.judge(test, seed) })
			deployment := small()
			deployment.routers, deployment.makers = 2, 2
			playFor(test, deployment, 200, func(stage *stage) {
				run := &historian{stage: stage, history: found, chance: rand.New(rand.NewPCG(seed, 11)), down: map[string]bool{}, begun: time.Now()}
				run.run()
			})
		})
	}
}

func (h *history) judge(test *testing.T, seed uint64) {
	verdict := h.check(deciding)
	test.Logf("%d operations, codes %v: %s", len(h.operations), h.codes, verdict)
	if h.codes[mishap.Fine] == 0 {
		test.Error("nothing was ever acknowledged")
	}
	if verdict != porcupine.Ok || test.Failed() {
		test.Errorf("%s; replay with: go test ./internal/simulation -run TestHistoriesAreLinearizable -first-history %d -histories 1 -v\n%s",
			verdict, seed, strings.Join(h.trace, "\n"))
	}
}

// historian has operators, probes and failures act on a stage, and writes down what the
// first two see.
type historian struct {
	*stage
	*history
	chance *rand.Rand
	guard  sync.Mutex
	down   map[string]bool
	begun  time.Time
}

func (h *historian) note(format string, values ...any) {
	h.history.lock.Lock()
	defer h.history.lock.Unlock()
	h.trace = append(h.trace, fmt.Sprintf("%6d ms ", time.Since(h.begun).Milliseconds())+fmt.Sprintf(format, values...))
}

// draw is a number below a bound, for whichever goroutine asks.
func (h *historian) draw(bound int) int {
	h.guard.Lock()
	defer h.guard.Unlock()
	return h.chance.IntN(bound)
}

func (h *historian) run() {
	h.first = register{sequence: 1}
	acting, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() { h.operate(acting, client, fmt.Sprint("operator", client%2)) })
	}
	group.Go(func() { h.evacuate(acting, 8) })
	for number, address := range h.routPub {
		group.Go(func() { h.probe(acting, 9+number, address) })
	}
	h.fail()
	stop()
	group.Wait()
	h.settle()
}

// settle heals all, and has a last read that must be answered.
func (h *historian) settle() {
	h.mend()
	for range 100 {
		if _, known := h.read(0); known {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	h.Error("no read was answered within 20 seconds after all failures")
}

func (h *historian) mend() {
	h.Heal()
	h.MendDisks()
	for name := range h.start {
		if h.lives[name] == nil {
			h.wake(name)
		}
	}
	h.guard.Lock()
	defer h.guard.Unlock()
	clear(h.down)
}

// lose kills a core; its clients find nobody there.
func (h *historian) lose(name string) {
	h.guard.Lock()
	h.down[name] = true
	h.guard.Unlock()
	h.kill(name)
}

// fail causes one failure after the other, some of them together.
func (h *historian) fail() {
	wiped := false
	for time.Since(h.begun) < historySpan {
		name := fmt.Sprint("core-", h.draw(3))
		if leader := h.owner(0); leader != "" && h.draw(2) == 0 {
			name = leader
		}
		kind := h.draw(8)
		if kind == 6 && wiped {
			kind = 0
		}
		span := time.Duration(300+h.draw(4000)) * time.Millisecond
		h.note("failure %d of %s for %v", kind, name, span)
		switch kind {
		case 0, 1:
			h.lose(name)
		case 2:
			h.Isolate(name, h.names())
		case 3:
			h.oneWay(name, h.draw(2) == 0)
		case 4:
			h.Freeze(name, schedule.Of(span))
		case 5:
			h.StallDisk(name)
		case 6:
			wiped = true
			h.lose(name)
			h.wipe(name)
		case 7:
			h.Cut(name, fmt.Sprint("core-", h.draw(3)))
		}
		time.Sleep(span)
		h.mend()
		// A disk that was lost is another's only copy until its core has caught up.
		if kind == 6 {
			h.awaitVotes(name)
		}
		time.Sleep(time.Duration(h.draw(1500)) * time.Millisecond)
	}
}

func (h *historian) awaitVotes(name string) {
	for range 200 {
		if h.seated(h.corePub[int(name[len(name)-1]-'0')]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.Errorf("%s may not vote 20 seconds after it lost its disk", name)
}

// oneWay has a core hear nobody, or be heard by nobody, among the cores.
func (h *historian) oneWay(name string, deaf bool) {
	for number := range 3 {
		switch other := fmt.Sprint("core-", number); {
		case other == name:
		case deaf:
			h.Cut(other, name)
		default:
			h.Cut(name, other)
		}
	}
}

// operate sends orders on what is in force as far as this client knows, one at a time, and
// some of them again to another core.
func (h *historian) operate(acting context.Context, client int, content string) {
	known := uint64(0)
	for number := 0; acting.Err() == nil; number++ {
		if h.draw(3) == 0 || number == 0 {
			if view, read := h.read(client); read {
				known = view.Label
			}
		}
		asked := act{kind: orderAct, label: known + 1, on: known, content: fmt.Sprint(content, "-", number/2)}
		found := h.send(client, asked)
		for h.draw(3) == 0 && acting.Err() == nil {
			found = h.send(client, asked)
		}
		if !found.unknown && !found.refused {
			known = max(known, asked.label)
		}
		time.Sleep(time.Duration(100+h.draw(900)) * time.Millisecond)
	}
}

func (h *historian) evacuate(acting context.Context, client int) {
	for acting.Err() == nil {
		asked := act{kind: evacuateAct, hall: h.halls[h.draw(3)]}
		if h.draw(2) == 0 {
			asked.kind = returnAct
		}
		h.send(client, asked)
		time.Sleep(time.Duration(300+h.draw(1500)) * time.Millisecond)
	}
}

func (h act) request(key string) configuration.Request {
	switch h.kind {
	case evacuateAct:
		return configuration.Request{Kind: configuration.Evacuate, Key: key, Whichever: true, Hall: h.hall}
	case returnAct:
		return configuration.Request{Kind: configuration.Return, Key: key, Whichever: true, Hall: h.hall}
	}
	return configuration.Request{Kind: configuration.Routes, Key: key, Routing: &configuration.Routing{
		Label: h.label, On: h.on, Digest: h.content, Others: []configuration.Item{{Name: "content", Text: h.content}},
	}}
}

// send gives an order to some core, under a key of its own as the users' platform does,
// and writes down what came of it.
func (h *historian) send(client int, asked act) seen {
	bounded, cancel := context.WithTimeout(context.Background(), orderPatience)
	defer cancel()
	begun := time.Now()
	outcome, err := h.asked().Configure(bounded, asked.request(fmt.Sprint(client, "-", begun.UnixNano(), "-", h.draw(1<<30))))
	code := outcome.Code
	if err != nil {
		code = mishap.CodeOf(err, mishap.OutcomeUnknown)
	}
	h.count(code)
	var found seen
	switch {
	case code == mishap.NotOwner || code == mishap.NoMajority:
		// Nothing was changed: what is said of it later must not show it.
		return seen{refused: true}
	case h.draw(100) < lostAnswers:
		found.unknown = true
	case code == mishap.Fine:
		found.sequence = outcome.Sequence
	case code == mishap.SequenceStale:
		found.refused = true
	default:
		found.unknown = true
	}
	h.record(client, begun, time.Now(), asked, found)
	return found
}

// asked is some core that is not down.
func (h *historian) asked() *core.Core {
	var up []string
	h.guard.Lock()
	for number := range 3 {
		if name := fmt.Sprint("core-", number); !h.down[name] {
			up = append(up, name)
		}
	}
	h.guard.Unlock()
	name := up[h.draw(len(up))]
	h.stage.lock.Lock()
	defer h.stage.lock.Unlock()
	return h.cores[name]
}

// read asks some core for what is in force.
func (h *historian) read(client int) (configuration.View, bool) {
	bounded, cancel := context.WithTimeout(context.Background(), orderPatience)
	defer cancel()
	begun := time.Now()
	view, err := h.asked().Read(bounded)
	if err != nil {
		return view, false
	}
	found := seen{sequence: view.Sequence, label: view.Label, evacuated: joined(view.Evacuated)}
	for _, item := range view.Others {
		found.content = item.Text
	}
	h.record(client, begun, time.Now(), act{kind: readAct}, found)
	return view, true
}

func joined(halls []string) string { return strings.Join(slices.Sorted(slices.Values(halls)), " ") }

// probe looks at a router as the platform does. What a ready one works by was in force at
// some moment within the freshness bound.
func (h *historian) probe(acting context.Context, client int, address string) {
	target := operator.Target{Cores: []string{address}, Network: simulation.Port{Fabric: h.Fabric, Machine: "platform"}}
	for acting.Err() == nil {
		begun := time.Now()
		var shown router.Overview
		if err := target.Get("/v1/status", &shown); err == nil && shown.Ready {
			h.record(client, begun.Add(-freshBound), time.Now(), act{kind: routerAct}, seen{
				sequence: shown.InForce.Sequence, evacuated: joined(shown.InForce.Evacuated),
			})
		}
		time.Sleep(400 * time.Millisecond)
	}
}
