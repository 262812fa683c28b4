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
func (e *Engine) begin(parent context.Context, stage, part, run, key, service, version string) (context.Context, func(verdict), error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := e.clock.Now()
	switch {
	case e.cancelled[run]:
		return nil, nil, mishap.New(mishap.Cancelled, "%s", run)
	case e.draining:
		return nil, nil, mishap.New(mishap.EngineStopping, "%s", e.Name)
	case e.standing.Drain:
		if now-e.drainedAt > strictlyDrain {
			e.Observer.Flag("%s %s given %d µs after the drain order", stage, run, now-e.drainedAt)
		}
		return nil, nil, mishap.New(mishap.EngineLeaving, "%s", e.Name)
	case service != e.Service || version != e.Version:
		return nil, nil, mishap.New(mishap.EngineVersion, "%s has %s", e.Name, e.Version)
	case e.part != contract.Both && e.part != part:
		return nil, nil, mishap.New(mishap.EnginePart, "%s plays %s", e.Name, e.part)
	case now-e.born < coldSpan && e.running >= coldMost && e.completed.Load() < 4:
		e.Observer.Chill(e.incarnation)
		return nil, nil, mishap.New(mishap.EngineCold, "%s", e.Name)
	case e.running >= e.Slots:
		return nil, nil, mishap.New(mishap.EngineBusy, "%s", e.Name)
	}
	e.running++
	place := e.Observer.begin(Line{Key: key, Run: run, Stage: stage})
	running, stop := context.WithCancel(parent)
	e.runs[run] = stop
	return running, func(verdict verdict) {
		stop()
		e.lock.Lock()
		defer e.lock.Unlock()
		e.running--
		e.Observer.finish(place, verdict)
		delete(e.runs, run)
		if verdict == finished {
			e.completed.Add(1)
		}
	}, nil
}

func (e *Engine) prefill(writer http.ResponseWriter, request *http.Request) {
	var ask PrefillAsk
	if err := circuit.ReadJSON(writer, request, 8<<20, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	running, end, err := e.begin(request.Context(), contract.Prefill, contract.Prefill, ask.Run, ask.Key, ask.Service, ask.Version)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	tokens := len(ask.Prompt)/tokenBytes + 1
	if !e.holds(ask.Prefix) {
		tokens += ask.PrefixTokens
	}
	span := schedule.Microseconds(tokens * e.Read)
	if !rest(running, span) {
		end(stopped)
		circuit.WriteDecline(writer, mishap.New(mishap.Cancelled, "%s", ask.Run), "", 0)
		return
	}
	end(finished)
	e.prefillBusy.Add(int64(span))
	circuit.WriteJSON(writer, 200, e.keep(ask))
}

func (e *Engine) holds(prefix string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return prefix == "" || e.prefixes[prefix]
}

func (e *Engine) keep(ask PrefillAsk) Ticket {
	content := Content(ask.Key, ask.Prefix, ask.Prompt)
	sum := sha256.Sum256([]byte(ask.Prefix))
	ticket := Ticket{Run: ask.Run, Ticket: rand.Text(), Incarnation: e.incarnation, Digest: hex.EncodeToString(sum[:8]), Version: e.Version}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := e.clock.Now()
	for name, held := range e.memories {
		if held.until < now {
			delete(e.memories, name)
		}
	}
	for prefix := range e.prefixes {
		if len(e.prefixes) >= mostPrefixes && !e.prefixes[ask.Prefix] {
			delete(e.prefixes, prefix)
		}
	}
	if ask.Prefix != "" {
		e.prefixes[ask.Prefix] = true
	}
	e.memories[ticket.Ticket] = memory{Memory{ticket, content}, now + schedule.Microseconds(e.Keep)*schedule.Millisecond}
	return ticket
}

func (e *Engine) handOver(writer http.ResponseWriter, request *http.Request) {
	var ask HandOverAsk
	if err := circuit.ReadJSON(writer, request, 64<<10, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	held, err := e.release(ask.Ticket)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	rest(request.Context(), schedule.Microseconds(e.HandOver))
	circuit.WriteJSON(writer, 200, held)
}

// Lapse forgets all prompt memory that is held for tickets.
func (e *Engine) Lapse() {
	e.lock.Lock()
	defer e.lock.Unlock()
	clear(e.memories)
}

// release gives prompt memory away once, to the bearer of the exact ticket.
func (e *Engine) release(ticket Ticket) (Memory, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	held, known := e.memories[ticket.Ticket]
	if !known || held.Ticket != ticket || held.until < e.clock.Now() {
		return Memory{}, mishap.New(mishap.TicketVoid, "%s", ticket.Run)
	}
	delete(e.memories, ticket.Ticket)
	return held.Memory, nil
}

func (e *Engine) fetch(ctx context.Context, ask DecodeAsk) (Memory, error) {
	if ask.Source == e.Address {
		return e.release(ask.Ticket)
	}
	body, _ := json.Marshal(HandOverAsk{ask.Ticket})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ask.Source+HandOverPath, bytes.NewReader(body))
	if err != nil {
		return Memory{}, mishap.Wrap(err, mishap.TicketVoid, ask.Source)
	}
	request.GetBody = nil
	answer, err := e.client.Do(request)
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

func (e *Engine) decode(writer http.ResponseWriter, request *http.Request) {
	var ask DecodeAsk
	if err := circuit.ReadJSON(writer, request, 64<<10, &ask); err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	running, end, err := e.begin(request.Context(), contract.Decode, contract.Decode, ask.Run, ask.Key, ask.Service, ask.Version)
	if err != nil {
		circuit.WriteDecline(writer, err, "", 0)
		return
	}
	ended := stopped
	defer func() { end(ended) }()
	held, err := e.fetch(running, ask)
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
		if !rest(running, schedule.Microseconds(e.Write)) {
			send(Frame{Code: int(mishap.Cancelled)})
			return
		}
		e.decodeBusy.Add(int64(e.Write))
		if !send(Frame{Number: number, Text: Token(held.Content, number)}) {
			return
		}
	}
	if send(Frame{Final: true, Count: ask.Tokens}) {
		ended = finished
	}
}
