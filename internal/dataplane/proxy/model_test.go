package carrier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/topology"
)

// modelRegions are three regions of two halls each.
var modelRegions = hall.Regions{"north-1": "north", "north-2": "north", "centre-1": "centre", "centre-2": "centre", "south-1": "south", "south-2": "south"}

const (
	between = 20 * time.Millisecond
	inside  = time.Millisecond
	// pace is how many tokens a reader reads in a millisecond.
	pace = 60
	keep = 5 * time.Second
)

func distance(left, right string) time.Duration {
	if modelRegions.Of(left) == modelRegions.Of(right) {
		return inside
	}
	return between
}

// modelEngine is one engine of the model.
type modelEngine struct {
	port.Engine
	lock    sync.Mutex
	busy    time.Time
	running int
	held    map[string]bool
	tickets map[string]ticketed
	dead    chan struct{}
	dark    chan struct{}
}

type ticketed struct {
	identity string
	hall     string
	until    time.Time
}

// model is all engines, and what observers at them saw.
type model struct {
	*watcher
	engines map[string]*modelEngine
	lock    sync.Mutex
	serial  int
	// fault is what a play does wrong on purpose, to show that observers see it.
	fault string
}

// modelDriver is one router's way to the engines.
type modelDriver struct {
	*model
	hall string
}

// layout is what stands in each hall: once the north is drained, all that is read is read
// in the centre, and most is written in the south.
var layout = map[string][]string{
	"north-1": {contract.Prefill, contract.Decode, contract.Decode}, "north-2": {contract.Prefill, contract.Decode, contract.Decode},
	"centre-1": {contract.Prefill, contract.Prefill, contract.Decode, contract.Decode}, "centre-2": {contract.Prefill, contract.Prefill, contract.Decode, contract.Decode},
	"south-1": {contract.Decode, contract.Decode}, "south-2": {contract.Decode, contract.Decode},
}

var errGone = errors.New("the engine is gone")

func newModel(watcher *watcher) *model {
	made := &model{watcher: watcher, engines: map[string]*modelEngine{}}
	for _, place := range []string{"north-1", "north-2", "centre-1", "centre-2", "south-1", "south-2"} {
		for number, part := range layout[place] {
			life := fmt.Sprint(place, "-", number)
			made.engines[life] = &modelEngine{
				Engine: port.Engine{Life: life, Service: "model", Address: life, Hall: place, Slots: 32, Part: part},
				held:   map[string]bool{}, tickets: map[string]ticketed{}, dead: make(chan struct{}), dark: make(chan struct{}),
			}
		}
	}
	return made
}

func closed(signal chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// rest waits for a span. No timer is made for none: under the race detector and the virtual
// clock a channel timer that is due at once has crashed the runtime.
func rest(bounded context.Context, span time.Duration) bool {
	if span <= 0 {
		return bounded.Err() == nil
	}
	alarm := time.NewTimer(span)
	defer alarm.Stop()
	select {
	case <-bounded.Done():
		return false
	case <-alarm.C:
		return true
	}
}

// arrive takes a call to an engine; an engine behind a cut says nothing.
func (m *modelDriver) arrive(bounded context.Context, try port.Try) (*modelEngine, port.Outcome, error) {
	engine := m.engines[try.Life]
	if !rest(bounded, distance(m.hall, engine.Hall)) {
		return engine, port.Unknown, bounded.Err()
	}
	if closed(engine.dark) {
		<-bounded.Done()
		return engine, port.Unknown, bounded.Err()
	}
	if closed(engine.dead) {
		return engine, port.Unstarted, errGone
	}
	m.arrived(engine, try)
	return engine, port.Answered, nil
}

// read occupies an engine for the part of a prompt that it lacks.
func (m *modelEngine) read(bounded context.Context, prompt []port.Piece, share int) bool {
	m.lock.Lock()
	lacking, whole := 0, true
	for _, piece := range prompt {
		if whole = whole && m.held[piece.Name]; !whole {
			lacking += piece.Tokens
		}
		m.held[piece.Name] = true
	}
	begin := time.Now()
	if m.busy.After(begin) {
		begin = m.busy
	}
	m.busy = begin.Add(time.Duration(lacking*share/pace) * time.Millisecond)
	until := m.busy
	m.lock.Unlock()
	return rest(bounded, time.Until(until))
}

// Read has an engine read a prompt and keep its memory.
func (m *modelDriver) Read(bounded context.Context, try port.Try) (port.Ticket, port.Outcome, error) {
	engine, outcome, err := m.arrive(bounded, try)
	if outcome != port.Answered {
		return port.Ticket{}, outcome, err
	}
	if !engine.read(bounded, try.Prompt, 1) || !rest(bounded, distance(m.hall, engine.Hall)) {
		return port.Ticket{}, port.Unknown, bounded.Err()
	}
	m.lock.Lock()
	m.serial++
	name := fmt.Sprint("memory-", m.serial)
	m.lock.Unlock()
	engine.lock.Lock()
	defer engine.lock.Unlock()
	engine.tickets[name] = ticketed{try.Identity, engine.Hall, time.Now().Add(keep)}
	return port.Ticket{Name: name}, port.Answered, nil
}

// Free gives memory back.
func (m *modelDriver) Free(_ context.Context, address, name string) error {
	engine := m.engines[address]
	engine.lock.Lock()
	defer engine.lock.Unlock()
	delete(engine.tickets, name)
	return nil
}

// fetch takes prompt memory over; its bytes take ten times as long between regions.
func (m *modelDriver) fetch(bounded context.Context, writer *modelEngine, try port.Try) bool {
	life, name, _ := cutLast(try.Source)
	reader := m.engines[life]
	reader.lock.Lock()
	found, known := reader.tickets[name]
	delete(reader.tickets, name)
	reader.lock.Unlock()
	if !known || time.Now().After(found.until) {
		return false
	}
	if m.fault == "mixed" {
		found.identity = "another"
	}
	m.handed(try, found, writer)
	span := 4 * time.Millisecond
	if modelRegions.Of(reader.Hall) != modelRegions.Of(writer.Hall) {
		span *= 10
	} else if reader.Hall != writer.Hall {
		span *= 2
	}
	return rest(bounded, span)
}

func cutLast(source string) (string, string, bool) {
	for place := len(source) - 1; place >= 0; place-- {
		if source[place] == '/' {
			return source[:place], source[place+1:], true
		}
	}
	return source, "", false
}

// Run has an engine make an answer.
func (m *modelDriver) Run(bounded context.Context, try port.Try) (port.Answer, port.Outcome, error) {
	engine, outcome, err := m.arrive(bounded, try)
	if outcome != port.Answered {
		return port.Answer{}, outcome, err
	}
	engine.lock.Lock()
	if engine.running >= engine.Slots {
		engine.lock.Unlock()
		return port.Answer{Busy: true}, port.Unstarted, nil
	}
	engine.running++
	running := engine.running
	engine.lock.Unlock()
	ended := sync.OnceFunc(func() {
		engine.lock.Lock()
		engine.running--
		engine.lock.Unlock()
	})
	if try.Source != "" {
		if !m.fetch(bounded, engine, try) {
			ended()
			return port.Answer{}, port.Unstarted, nil
		}
	} else if !engine.read(bounded, try.Prompt, 2) {
		ended()
		return port.Answer{}, port.Unknown, bounded.Err()
	}
	switch m.fault {
	case "slow":
		rest(bounded, 600*time.Millisecond)
	case "hang":
		rest(bounded, 2700*time.Millisecond)
	}
	m.began(engine, try)
	if m.fault == "twice" {
		m.began(engine, try)
	}
	body := &modelBody{ready: make(chan modelEvent, 64), bounded: bounded, engine: engine, away: distance(m.hall, engine.Hall)}
	body.running, body.stop = context.WithCancel(bounded)
	go func() {
		defer ended()
		body.make(try, m.fault)
	}()
	if !rest(bounded, 15*time.Millisecond+body.away) {
		return port.Answer{}, port.Unknown, bounded.Err()
	}
	if closed(engine.dead) {
		return port.Answer{}, port.Unknown, errGone
	}
	if closed(engine.dark) {
		<-bounded.Done()
		return port.Answer{}, port.Unknown, bounded.Err()
	}
	load := port.Load{Running: running, Slots: engine.Slots, Told: true}
	return port.Answer{Status: 200, Header: http.Header{"Stamp": {engine.Life}}, Body: body, Length: -1, Load: load}, port.Answered, nil
}

type modelEvent struct {
	text    string
	at      time.Time
	failure error
}

// modelBody is an answer on its way: events come a while after they were made.
type modelBody struct {
	ready   chan modelEvent
	bounded context.Context
	running context.Context
	stop    context.CancelFunc
	engine  *modelEngine
	away    time.Duration
	rest    []byte
}

func eventText(key string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", number, key, number)
}

func (m *modelBody) make(try port.Try, fault string) {
	from, _ := strconv.Atoi(try.Resume)
	switch {
	case fault == "repeats" && from > 0:
		from--
	case fault == "skips" && from > 0:
		from++
	}
	key, count, step := shape(try.Target)
	if fault == "cuts" {
		count--
	}
	for number := from + 1; number <= count; number++ {
		alarm := time.NewTimer(step)
		select {
		case <-m.running.Done():
			alarm.Stop()
			return
		case <-m.engine.dead:
			alarm.Stop()
			select {
			case m.ready <- modelEvent{failure: errGone}:
			case <-m.running.Done():
			}
			return
		case <-m.engine.dark:
			alarm.Stop()
			return
		case <-alarm.C:
		}
		select {
		case m.ready <- modelEvent{text: eventText(key, number), at: time.Now().Add(m.away)}:
		case <-m.running.Done():
			return
		}
	}
	select {
	case m.ready <- modelEvent{failure: io.EOF, at: time.Now().Add(m.away)}:
	case <-m.running.Done():
	}
}

// Read waits for the next event.
func (m *modelBody) Read(into []byte) (int, error) {
	if len(m.rest) == 0 {
		select {
		case <-m.bounded.Done():
			return 0, m.bounded.Err()
		case event := <-m.ready:
			if !rest(m.bounded, time.Until(event.at)) {
				return 0, m.bounded.Err()
			}
			if event.failure != nil {
				return 0, event.failure
			}
			m.rest = []byte(event.text)
		}
	}
	// Half an event at a time, so that whole ones have to be found.
	count := copy(into[:min(len(into), 24)], m.rest)
	m.rest = m.rest[count:]
	return count, nil
}

// Close ends the run.
func (m *modelBody) Close() error {
	m.stop()
	return nil
}
