package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/transport"
)

const (
	mostPrefixes  = 4
	coldSpan      = 4 * schedule.Second
	coldMost      = 2
	tokenBytes    = 4
	strictlyDrain = 3 * schedule.Second
)

// Content is what the prompt memory of a request holds. The tokens follow from it
// alone, so that a caller can tell whose memory an answer came from.
func Content(key, prefix, prompt string) string {
	sum := sha256.Sum256([]byte(key + "\x00" + prefix + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// Token is the text of one token made from a content.
func Token(content string, number int) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s/%d", content, number)))
	return hex.EncodeToString(sum[:4])
}

func rest(ctx context.Context, span schedule.Microseconds) bool {
	alarm := time.NewTimer(span.Duration())
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin admits a run or declines it with an answer that proves that it did not
// start.
func (engine *Engine) begin(parent context.Context, stage, part, run, key, service, version string) (context.Context, func(verdict), error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.clock.Now()
	switch {
	case engine.cancelled[run]:
		return nil, nil, mishap.New(mishap.Cancelled, "%s", run)
	case engine.draining:
		return nil, nil, mishap.New(mishap.EngineStopping, "%s", engine.Name)
	case engine.standing.Drain:
		if now-engine.drainedAt > strictlyDrain {
			engine.Observer.Flag("%s %s given %d µs after the drain order", stage, run, now-engine.drainedAt)
		}
		return nil, nil, mishap.New(mishap.EngineLeaving, "%s", engine.Name)
	case service != engine.Service || version != engine.Version:
		return nil, nil, mishap.New(mishap.EngineVersion, "%s has %s", engine.Name, engine.Version)
	case engine.part != contract.Both && engine.part != part:
		return nil, nil, mishap.New(mishap.EnginePart, "%s plays %s", engine.Name, engine.part)
	case now-engine.born < coldSpan && engine.running >= coldMost && engine.completed.Load() < 4:
		engine.Observer.Chill(engine.incarnation)
		return nil, nil, mishap.New(mishap.EngineCold, "%s", engine.Name)
	case engine.running >= engine.Slots:
		return nil, nil, mishap.New(mishap.EngineBusy, "%s", engine.Name)
	}
	engine.running++
	place := engine.Observer.begin(Line{Key: key, Run: run, Stage: stage})
	running, stop := context.WithCancel(parent)
	engine.runs[run] = stop
	return running, func(verdict verdict) {
		stop()
		engine.lock.Lock()
		defer engine.lock.Unlock()
		engine.running--
		engine.Observer.finish(place, verdict)
		delete(engine.runs, run)
		if verdict == finished {
			engine.completed.Add(1)
		}
	}, nil
}

func (engine *Engine) prefill(writer http.ResponseWriter, request *http.Request) {
	var ask PrefillAsk
	if err := circuit.ReadJSON(writer, request, 8<<20, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	running, end, err := engine.begin(request.Context(), contract.Prefill, contract.Prefill, ask.Run, ask.Key, ask.Service, ask.Version)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	tokens := len(ask.Prompt)/tokenBytes + 1
	if !engine.holds(ask.Prefix) {
		tokens += ask.PrefixTokens
	}
	span := schedule.Microseconds(tokens * engine.Read)
	if !rest(running, span) {
		end(stopped)
		circuit.WriteDecline(writer, mishap.New(mishap.Cancelled, "%s", ask.Run), "", 0)
		return
	}
	end(finished)
	engine.prefillBusy.Add(int64(span))
	circuit.WriteJSON(writer, 200, engine.keep(ask))
}

func (engine *Engine) holds(prefix string) bool {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return prefix == "" || engine.prefixes[prefix]
}

func (engine *Engine) keep(ask PrefillAsk) Ticket {
	content := Content(ask.Key, ask.Prefix, ask.Prompt)
	sum := sha256.Sum256([]byte(ask.Prefix))
	ticket := Ticket{Run: ask.Run, Ticket: rand.Text(), Incarnation: engine.incarnation, Digest: hex.EncodeToString(sum[:8]), Version: engine.Version}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.clock.Now()
	for name, held := range engine.memories {
		if held.until < now {
			delete(engine.memories, name)
		}
	}
	for prefix := range engine.prefixes {
		if len(engine.prefixes) >= mostPrefixes && !engine.prefixes[ask.Prefix] {
			delete(engine.prefixes, prefix)
		}
	}
	if ask.Prefix != "" {
		engine.prefixes[ask.Prefix] = true
	}
	engine.memories[ticket.Ticket] = memory{Memory{ticket, content}, now + schedule.Microseconds(engine.Keep)*schedule.Millisecond}
	return ticket
}

func (engine *Engine) handOver(writer http.ResponseWriter, request *http.Request) {
	var ask HandOverAsk
	if err := circuit.ReadJSON(writer, request, 64<<10, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	held, err := engine.release(ask.Ticket)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	rest(request.Context(), schedule.Microseconds(engine.HandOver))
	circuit.WriteJSON(writer, 200, held)
}

// Lapse forgets all prompt memory that is held for tickets.
func (engine *Engine) Lapse() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	clear(engine.memories)
}

// release gives prompt memory away once, to the bearer of the exact ticket.
func (engine *Engine) release(ticket Ticket) (Memory, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	held, known := engine.memories[ticket.Ticket]
	if !known || held.Ticket != ticket || held.until < engine.clock.Now() {
		return Memory{}, mishap.New(mishap.TicketVoid, "%s", ticket.Run)
	}
	delete(engine.memories, ticket.Ticket)
	return held.Memory, nil
}

func (engine *Engine) fetch(ctx context.Context, ask DecodeAsk) (Memory, error) {
	if ask.Source == engine.Address {
		return engine.release(ask.Ticket)
	}
	body, _ := json.Marshal(HandOverAsk{ask.Ticket})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ask.Source+HandOverPath, bytes.NewReader(body))
	if err != nil {
		return Memory{}, mishap.Wrap(err, mishap.TicketVoid, ask.Source)
	}
	request.GetBody = nil
	answer, err := engine.client.Do(request)
	if err != nil {
		return Memory{}, mishap.Wrap(err, mishap.TicketVoid, ask.Source)
	}
	defer answer.Body.Close()
	var held Memory
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&held) != nil || held.Ticket != ask.Ticket {
		return Memory{}, mishap.New(mishap.TicketVoid, "%s", ask.Source)
	}
	return held, nil
}

func (engine *Engine) decode(writer http.ResponseWriter, request *http.Request) {
	var ask DecodeAsk
	if err := circuit.ReadJSON(writer, request, 64<<10, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	running, end, err := engine.begin(request.Context(), contract.Decode, contract.Decode, ask.Run, ask.Key, ask.Service, ask.Version)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	ended := stopped
	defer func() { end(ended) }()
	held, err := engine.fetch(running, ask)
	if err != nil {
		ended = unstarted
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	stream := json.NewEncoder(writer)
	flusher := http.NewResponseController(writer)
	send := func(frame Frame) bool {
		frame.Run = ask.Run
		return stream.Encode(frame) == nil && flusher.Flush() == nil
	}
	echo := held.Ticket
	if !send(Frame{Ticket: &echo}) {
		return
	}
	for number := 1; number <= ask.Tokens; number++ {
		if !rest(running, schedule.Microseconds(engine.Write)) {
			send(Frame{Code: int(mishap.Cancelled)})
			return
		}
		engine.decodeBusy.Add(int64(engine.Write))
		if !send(Frame{Number: number, Text: Token(held.Content, number)}) {
			return
		}
	}
	if send(Frame{Final: true, Count: ask.Tokens}) {
		ended = finished
	}
}
