package carrier_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/state/route"
)

// window is many routers' carriers over one catalogue, under the virtual clock.
type window struct {
	*testing.T
	*model
	routers  []*modelRouter
	view     configuration.View
	engines  map[string]catalogue.Engine
	chance   *rand.Rand
	lost     chan struct{}
	group    sync.WaitGroup
	excusing func(*answer) bool
}

type modelRouter struct {
	*carrier.Carrier
	hall string
}

func playWindow(test *testing.T, seed uint64, fault string, act func(*window)) *watcher {
	return playOver(test, newWatcher(), seed, fault, act)
}

func playOver(test *testing.T, watching *watcher, seed uint64, fault string, act func(*window)) *watcher {
	synctest.Test(test, func(test *testing.T) {
		window := &window{T: test, model: newModel(watching), chance: rand.New(rand.NewPCG(seed, 7)), engines: map[string]catalogue.Engine{}, lost: make(chan struct{})}
		window.fault = fault
		begun := time.Now()
		clock := schedule.NewClockOf(func() schedule.Microseconds { return schedule.Second + schedule.Of(time.Since(begun)) })
		for life, engine := range window.model.engines {
			window.engines[life] = catalogue.Engine{Name: life, Incarnation: life, Service: "model", Hall: engine.Hall, Address: life, Part: engine.Part, Slots: engine.Slots}
		}
		book := route.Book{Routes: map[string]route.Route{}, Services: map[string]route.Service{"model": {Name: "model"}}}
		for _, each := range kinds {
			tries := 3
			if each.once {
				tries = 1
			}
			homes := watching.homes("/" + each.name + "/")
			if fault == "abroad" {
				homes = nil
			}
			book.Routes[each.name] = route.Route{
				Name: each.name, Host: "host", Prefix: "/" + each.name + "/", Kind: route.Stream, Resume: !each.once, Tries: tries, Homes: homes,
				GiveUp: schedule.Of(each.within), Start: schedule.Of(each.start), Gap: 250 * schedule.Millisecond, Shares: []route.Share{{Service: "model", Weight: 1}},
			}
		}
		window.view = configuration.View{Sequence: 1, Book: book}
		for _, place := range slices.Sorted(maps.Keys(modelRegions)) {
			terms := carrier.Terms{
				Terms:       pool.Terms{Router: place, Hall: place, Regions: modelRegions, Across: 1500, Distance: 40 * schedule.Millisecond},
				RepeatShare: 0.2, RepeatExtra: 60,
			}
			router := &modelRouter{carrier.New(terms, clock, &modelDriver{window.model, place}), place}
			router.Configure(window.view)
			router.Enlist(catalogue.View{Engines: window.engines}, len(modelRegions))
			window.routers = append(window.routers, router)
		}
		act(window)
		window.group.Wait()
		time.Sleep(time.Minute)
	})
	return watching
}

// tell has every router hear of notices, each a little later than others.
func (d *window) tell(notices ...notice.Notice) {
	d.view.Sequence++
	d.view.Notices = notices
	view := d.view
	for _, router := range d.routers {
		late := time.Duration(d.chance.IntN(int(hearing)))
		time.AfterFunc(late, func() { router.Configure(view) })
	}
}

const (
	hearing = 500 * time.Millisecond
	warming = 5 * time.Second
)

// drain tells of the north's drain, and when it is to be shut.
func (d *window) drain(begins, over time.Duration) {
	d.watching.Lock()
	d.drained, d.closedAt = "north", time.Now().Add(begins+hearing+between+inside)
	d.watching.Unlock()
	if d.fault != "untold" {
		d.tell(notice.Notice{Region: "north", Begins: schedule.Of(begins), Window: schedule.Of(over), Sequence: d.view.Sequence + 1})
	}
}

// door is a ready router, of the caller's own region if there is one.
func (d *window) door(region string, turn int) *modelRouter {
	var near, far []*modelRouter
	for _, each := range d.routers {
		switch {
		case !each.Ready() || modelRegions.Of(each.hall) == "north" && closed(d.lost):
		case modelRegions.Of(each.hall) == region:
			near = append(near, each)
		default:
			far = append(far, each)
		}
	}
	if len(near) > 0 {
		return near[turn%len(near)]
	}
	return far[turn%len(far)]
}

// send has one caller ask, and ask again as it is told, inside its deadline.
func (d *window) send(asked kind, number int) {
	region := modelRegions.Names()[number%3]
	made := &answer{watcher: d.watcher, target: fmt.Sprintf("/%s/%s-%d/", asked.name, asked.name, number), sent: time.Now()}
	turn, shared := d.chance.Int(), d.chance.IntN(12)
	d.group.Go(func() {
		for try := 0; time.Since(made.sent) < asked.within; try++ {
			router := d.door(region, turn+try)
			if !d.ask(made, asked, router, region, try, shared) {
				break
			}
		}
		made.end(d.excusing != nil && d.excusing(made))
	})
}

// ask sends one try; it says whether another may follow.
func (d *window) ask(made *answer, asked kind, router *modelRouter, region string, try, shared int) bool {
	away := inside
	if modelRegions.Of(router.hall) != region {
		away = between
	}
	time.Sleep(away)
	call := port.Call{
		Method: "POST", Target: made.target, Host: "host", Path: made.target, Identity: fmt.Sprintf("%s%d", made.target, try),
		Left: schedule.Of(asked.within - time.Since(made.sent)), Tokens: asked.events, Body: make([]byte, 2000),
	}
	for piece := range asked.prompt {
		call.Prompt = append(call.Prompt, port.Piece{Name: fmt.Sprint(asked.name, shared, piece), Tokens: 1000})
	}
	call.Prompt = append(call.Prompt, port.Piece{Name: made.target, Tokens: asked.tail})
	if !asked.once && made.got > 0 {
		call.Resume = fmt.Sprint(made.got)
	}
	bounded, end := context.WithCancel(context.Background())
	defer end()
	if modelRegions.Of(router.hall) == "north" {
		// A caller whose router is lost goes on elsewhere, where that is allowed.
		go func() {
			select {
			case <-d.lost:
				end()
			case <-bounded.Done():
			}
		}()
	}
	made.stopped, made.retry, made.unknown, made.rest = false, 0, false, ""
	whole := router.Carry(bounded, call, &caller{made, away})
	time.Sleep(away)
	switch {
	case made.got == asked.events:
		return false
	case made.retry > 0:
		time.Sleep(made.retry.Duration())
		return true
	case asked.once:
		return false
	}
	return !whole || made.unknown
}

// caller is the side of a call that waits, so far away.
type caller struct {
	*answer
	away time.Duration
}

func (s *caller) Head(int, http.Header, int64) {}

func (s *caller) Write(data []byte) error {
	s.take(string(data))
	return nil
}

func (s *caller) Decline(err error, retry schedule.Microseconds) {
	s.retry, s.unknown, s.failure = retry, retry == 0, mishap.Text(err)
}

// load sends all kinds for a while.
func (d *window) load(span time.Duration) {
	begun := time.Now()
	d.watching.Lock()
	d.warm = begun.Add(warming)
	d.watching.Unlock()
	for _, each := range kinds {
		number := 0
		d.group.Go(func() {
			time.Sleep(time.Duration(number) * time.Millisecond)
			for time.Since(begun) < span {
				d.lock.Lock()
				pause := time.Duration((0.5 + d.chance.Float64()) * float64(each.every))
				d.send(each, number)
				d.lock.Unlock()
				number++
				time.Sleep(pause)
			}
		})
	}
}

// without has engines of a part in a region not be listed.
func (d *window) without(region, part string) {
	for life, engine := range d.engines {
		if modelRegions.Of(engine.Hall) == region && engine.Part == part {
			d.gone(life)
		}
	}
}

// gone has the list of engines end without one.
func (d *window) gone(life string) {
	d.engines = maps.Clone(d.engines)
	delete(d.engines, life)
	for _, router := range d.routers {
		router.Enlist(catalogue.View{Engines: d.engines}, len(modelRegions))
	}
}

// excuse excuses what was sent a little before or after a moment.
func (d *window) excuse(moment time.Time, before, after time.Duration) {
	d.excusing = func(answer *answer) bool {
		return answer.sent.After(moment.Add(-before)) && answer.sent.Before(moment.Add(after))
	}
}

// live counts the runs at a region's engines.
func (d *window) live(region string) int {
	count := 0
	for _, engine := range d.model.engines {
		if modelRegions.Of(engine.Hall) == region {
			engine.lock.Lock()
			count += engine.running
			engine.lock.Unlock()
		}
	}
	return count
}

func (d *window) sum(count func(*carrier.Carrier) int64) int64 {
	sum := int64(0)
	for _, each := range d.routers {
		sum += count(each.Carrier)
	}
	return sum
}
