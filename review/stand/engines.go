package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readPace is the number of prompt tokens that an engine reads in a millisecond, and step the time of a token.
	readPace = 56.6
	step     = 5 * time.Millisecond
	slots    = 64
	// memory is the number of tokens that an engine has room for, and warmUp how long it is slow after its start.
	memory = 319_972
	warmUp = 3 * time.Second
)

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	engine *engine
	try    string
	part   string
}

// engine is a stand-in of one model engine.
type engine struct {
	cloud    *cloud
	id, zone string
	address  string
	server   *http.Server
	lock     sync.Mutex
	phase    string
	draining bool
	gone     bool
	handles  map[string]string
	orders   int
	running  int
	// used is the number of tokens of the running requests.
	used int
	// coldUntil is when an engine that started during traffic is warm.
	coldUntil time.Time
	// shownAt is when the list first showed the engine as leaving.
	shownAt time.Time
	// reading is held while a prompt is read: the prompts of an engine are read one after the other.
	reading sync.Mutex
}

// cloud is the users' platform: the list of engines, and what reached them.
type cloud struct {
	record  *record
	service string
	lag     time.Duration
	api     string
	lock    sync.Mutex
	engines []*engine
	// listed is the list as it is shown, with a lag.
	listed   []map[string]any
	arrivals []arrival
	runs     map[string]int
	runEnds  map[string]string
}

func newID() string {
	var text [5]byte
	rand.Read(text[:])
	return hex.EncodeToString(text[:])
}

// newCloud starts the list of engines at a free loopback port.
func newCloud(out *record, ip string) (*cloud, error) {
	c := &cloud{record: out, service: "stationllm", lag: 800 * time.Millisecond, runs: map[string]int{}, runEnds: map[string]string{}}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c.api = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(writer http.ResponseWriter, request *http.Request) {
		c.lock.Lock()
		entries := []map[string]any{}
		for _, entry := range c.listed {
			if zone := request.URL.Query().Get("zone"); zone == "" || zone == entry["zone"] {
				entries = append(entries, entry)
			}
		}
		c.lock.Unlock()
		writeJSON(writer, http.StatusOK, map[string]any{"servers": entries, "next-token": nil})
	})
	go http.Serve(listener, mux)
	return c, nil
}

// publish shows the engines as they are now, after the lag. It returns when they are shown.
func (c *cloud) publish() {
	c.lock.Lock()
	var entries []map[string]any
	for _, e := range c.engines {
		e.lock.Lock()
		state := "ready"
		if e.draining {
			state = "draining"
		}
		if !e.gone {
			entries = append(entries, map[string]any{
				"id": e.id, "service": c.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots,
				"state": state, word("warm-field"): max(time.Until(e.coldUntil).Milliseconds(), 0), "phase": e.phase,
				"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			})
		}
		e.lock.Unlock()
	}
	c.lock.Unlock()
	time.Sleep(c.lag)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.listed = entries
	for _, entry := range entries {
		if entry["state"] == "ready" {
			continue
		}
		for _, e := range c.engines {
			e.lock.Lock()
			if e.id == entry["id"] && e.shownAt.IsZero() {
				e.shownAt = time.Now()
				c.record.add("the list shows engine %s (%s) as leaving", e.id, e.zone)
			}
			e.lock.Unlock()
		}
	}
}

// addEngine starts an engine.
func (c *cloud) addEngine(ip, zone, phase string) (*engine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{cloud: c, id: "i-" + newID(), zone: zone, phase: phase, address: listener.Addr().String(), handles: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(word("server-id"), e.id)
		writer.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+word("path-report"), e.report)
	mux.HandleFunc("POST "+word("path-order"), e.order)
	mux.HandleFunc("DELETE "+word("path-handle"), e.free)
	mux.HandleFunc("/", e.handle)
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	c.lock.Lock()
	c.engines = append(c.engines, e)
	c.lock.Unlock()
	return e, nil
}

// end ends an engine: its connections are closed.
func (e *engine) end() {
	e.lock.Lock()
	e.gone = true
	e.lock.Unlock()
	e.server.Close()
	e.cloud.record.add("engine %s (%s) has ended", e.id, e.zone)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	writer.Write(text)
}

func (e *engine) report(writer http.ResponseWriter, _ *http.Request) {
	e.lock.Lock()
	defer e.lock.Unlock()
	writeJSON(writer, http.StatusOK, map[string]any{
		"phase": e.phase, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"call-count": e.orders, "waiting": 0, "running": e.running, "memory-used": e.used, "memory-total": memory,
		word("handle-field") + "s": len(e.handles),
	})
}

// order changes the part of an engine.
func (e *engine) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Order, Phase, Holder string
		Fence                uint64
	}
	err := json.NewDecoder(request.Body).Decode(&order)
	e.cloud.record.add("engine %s gets order %+v", e.id, order)
	if err != nil || order.Holder == "" || order.Fence == 0 || order.Order != "phase" {
		writeJSON(writer, http.StatusBadRequest, map[string]string{})
		return
	}
	e.lock.Lock()
	e.orders++
	e.phase = order.Phase
	e.lock.Unlock()
	writeJSON(writer, http.StatusAccepted, map[string]string{})
	go e.cloud.publish()
}

// free frees the memory of a handle.
func (e *engine) free(writer http.ResponseWriter, request *http.Request) {
	e.lock.Lock()
	delete(e.handles, strings.TrimPrefix(request.URL.Path, word("path-handle")))
	e.lock.Unlock()
	writeJSON(writer, http.StatusOK, map[string]string{})
}

// promptTokens returns the number of tokens of a request's prompt.
func promptTokens(request *http.Request) int {
	tokens, _, _ := strings.Cut(request.Header.Get(word("token-count")), ",")
	count, _ := strconv.Atoi(tokens)
	return count
}

// outTokens returns the number of tokens that a request asks for.
func outTokens(request *http.Request) int {
	_, tokens, _ := strings.Cut(request.Header.Get(word("token-count")), ",")
	count, _ := strconv.Atoi(tokens)
	return max(count, 1)
}

// handle takes a request of a client.
func (e *engine) handle(writer http.ResponseWriter, request *http.Request) {
	try, part := request.Header.Get(word("try")), request.Header.Get(word("part"))
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	header.Set(word("try"), try)
	header.Set(word("server-id"), e.id)
	if expected := request.Header.Get(word("expected")); expected != "" && expected != e.id {
		writeJSON(writer, http.StatusMisdirectedRequest, map[string]string{})
		return
	}
	source := request.Header.Get(word("source"))
	e.cloud.addArrival(arrival{time.Now(), e, try, part}, source)
	e.lock.Lock()
	phase := e.phase
	e.lock.Unlock()
	switch {
	case part == word("read") && phase == word("read"):
		e.readPrompt(writer, request, try)
	case part != "" || phase == word("read"):
		writeJSON(writer, http.StatusMisdirectedRequest, map[string]string{})
	default:
		e.run(writer, request, try, source, body)
	}
}

// readPrompt reads a prompt and keeps its memory under a handle.
func (e *engine) readPrompt(writer http.ResponseWriter, request *http.Request, try string) {
	tokens := promptTokens(request)
	e.reading.Lock()
	read := wait(request, time.Duration(float64(tokens)/readPace*float64(time.Millisecond)))
	e.reading.Unlock()
	if !read {
		return
	}
	handle := newID() + newID()
	e.lock.Lock()
	e.handles[handle] = try
	e.lock.Unlock()
	writer.Header().Set(word("load"), e.load())
	writeJSON(writer, http.StatusOK, map[string]any{word("handle-field"): handle, "tokens": tokens, "version": 1})
}

func (e *engine) load() string {
	e.lock.Lock()
	defer e.lock.Unlock()
	return fmt.Sprintf("%d,0,%d", e.running, slots)
}

// run runs a request: it takes the memory of the prompt or reads the prompt itself, and makes the tokens.
func (e *engine) run(writer http.ResponseWriter, request *http.Request, try, source string, body []byte) {
	if source != "" {
		if !e.cloud.takeHandle(source) {
			writer.Header().Set(word("not-run"), "1")
			writeJSON(writer, http.StatusServiceUnavailable, map[string]string{})
			return
		}
		if !wait(request, 30*time.Millisecond) {
			return
		}
	} else if tokens := promptTokens(request); tokens > 0 {
		if !wait(request, time.Duration(2*float64(tokens)/readPace*float64(time.Millisecond))) {
			return
		}
	}
	// A request waits until the engine has room for it.
	size := promptTokens(request) + outTokens(request)
	for !e.takeMemory(size) {
		if !wait(request, step) {
			return
		}
	}
	defer e.takeMemory(-size)
	e.cloud.begin(e, try)
	header := writer.Header()
	header.Set(word("seal"), e.id+"."+try)
	header.Set(word("versions"), "1")
	header.Set(word("load"), e.load())
	if request.Header.Get(word("model")) == "" {
		time.Sleep(20 * time.Millisecond)
		text := []byte("answer to " + try + " of " + strconv.Itoa(len(body)) + " bytes")
		header.Set("Content-Length", strconv.Itoa(len(text)))
		writer.Write(text)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	count := outTokens(request)
	first, _ := strconv.Atoi(request.Header.Get(word("last-event")))
	for number := first + 1; number <= count; number++ {
		if !wait(request, step) {
			e.cloud.record.add("engine %s stops the run of %s before event %d", e.id, try, number)
			return
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s piece %d of %d\n\n", number, try, number, count)
		writer.(http.Flusher).Flush()
	}
	e.cloud.record.add("engine %s has ended the run of %s", e.id, try)
}

// takeMemory takes room for a request, or frees it if the size is below 0. It reports false if there is none.
func (e *engine) takeMemory(size int) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if size > 0 && e.used+size > memory {
		return false
	}
	e.used += size
	if size > 0 {
		e.running++
	} else {
		e.running--
	}
	return true
}

// wait waits, and returns false if the caller has left.
func wait(request *http.Request, duration time.Duration) bool {
	select {
	case <-request.Context().Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (c *cloud) addArrival(added arrival, source string) {
	kind := "a run"
	if added.part != "" {
		kind = "the prompt"
	}
	c.record.add("engine %s (%s) gets %s of %s %s", added.engine.id, added.engine.zone, kind, added.try, source)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.arrivals = append(c.arrivals, added)
}

// arrivalsAt returns what reached the engines that a condition holds for.
func (c *cloud) arrivalsWhere(condition func(arrival) bool) []arrival {
	c.lock.Lock()
	defer c.lock.Unlock()
	var found []arrival
	for _, a := range c.arrivals {
		if condition(a) {
			found = append(found, a)
		}
	}
	return found
}

// begin counts a run.
func (c *cloud) begin(e *engine, try string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.runs[try]++
	c.record.add("engine %s runs %s", e.id, try)
}

// takeHandle takes the memory of a prompt, once.
func (c *cloud) takeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, e := range c.engines {
		if e.address != address {
			continue
		}
		e.lock.Lock()
		_, kept := e.handles[handle]
		delete(e.handles, handle)
		e.lock.Unlock()
		return kept
	}
	return false
}
