package emulator

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
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/pairing"
	"coursepass/internal/transport"
)

const (
	maxPrefixes      = 4
	warmUpDuration   = 4 * clock.Second
	warmUpMaxRuns    = 2
	bytesPerToken    = 4
	drainGracePeriod = 3 * clock.Second
)

// KVContent is what the prompt memory of a request holds. The tokens follow from it
// alone, so that a caller can tell whose memory an answer came from.
func KVContent(key, prefix, prompt string) string {
	sum := sha256.Sum256([]byte(key + "\x00" + prefix + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// TokenText is the text of one token made from a content.
func TokenText(content string, number int) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s/%d", content, number)))
	return hex.EncodeToString(sum[:4])
}

func sleep(ctx context.Context, duration clock.Microseconds) bool {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startRun admits a run or declines it with an answer that proves that it did not
// start.
func (e *Engine) startRun(parent context.Context, stage, role, run, key, service, version string) (context.Context, func(runOutcome), error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := e.clock.Now()
	switch {
	case e.cancelled[run]:
		return nil, nil, errcode.New(errcode.Cancelled, "%s", run)
	case e.draining:
		return nil, nil, errcode.New(errcode.EngineStopping, "%s", e.Name)
	case e.command.Drain:
		if now-e.drainedAt > drainGracePeriod {
			e.Observer.RecordViolation("%s %s given %d µs after the drain order", stage, run, now-e.drainedAt)
		}
		return nil, nil, errcode.New(errcode.EngineDraining, "%s", e.Name)
	case service != e.Service || version != e.Version:
		return nil, nil, errcode.New(errcode.EngineVersionMismatch, "%s has %s", e.Name, e.Version)
	case e.role != pairing.RoleBoth && e.role != role:
		return nil, nil, errcode.New(errcode.EngineRoleMismatch, "%s plays %s", e.Name, e.role)
	case now-e.startedAt < warmUpDuration && e.running >= warmUpMaxRuns && e.completed.Load() < 4:
		e.Observer.RecordWarmUpRejection(e.incarnation)
		return nil, nil, errcode.New(errcode.EngineWarmingUp, "%s", e.Name)
	case e.running >= e.MaxRuns:
		return nil, nil, errcode.New(errcode.EngineBusy, "%s", e.Name)
	}
	e.running++
	index := e.Observer.start(RunRecord{Key: key, Run: run, Stage: stage})
	runContext, stop := context.WithCancel(parent)
	e.runs[run] = stop
	return runContext, func(outcome runOutcome) {
		stop()
		e.lock.Lock()
		defer e.lock.Unlock()
		e.running--
		e.Observer.finish(index, outcome)
		delete(e.runs, run)
		if outcome == runFinished {
			e.completed.Add(1)
		}
	}, nil
}

func (e *Engine) prefill(writer http.ResponseWriter, request *http.Request) {
	var prefillRequest engineapi.PrefillRequest
	if err := transport.ReadJSON(writer, request, 8<<20, &prefillRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	runContext, finishRun, err := e.startRun(request.Context(), pairing.RolePrefill, pairing.RolePrefill, prefillRequest.Run, prefillRequest.Key, prefillRequest.Service, prefillRequest.Version)
	if err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	tokens := len(prefillRequest.Prompt)/bytesPerToken + 1
	if !e.hasPrefix(prefillRequest.Prefix) {
		tokens += prefillRequest.PrefixTokens
	}
	duration := clock.Microseconds(tokens * e.PrefillMicroseconds)
	if !sleep(runContext, duration) {
		finishRun(runStopped)
		transport.WriteError(writer, errcode.New(errcode.Cancelled, "%s", prefillRequest.Run), "", 0)
		return
	}
	finishRun(runFinished)
	e.prefillBusy.Add(int64(duration))
	transport.WriteJSON(writer, 200, e.storeKVCache(prefillRequest))
}

func (e *Engine) hasPrefix(prefix string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return prefix == "" || e.prefixes[prefix]
}

func (e *Engine) storeKVCache(prefillRequest engineapi.PrefillRequest) engineapi.Ticket {
	content := KVContent(prefillRequest.Key, prefillRequest.Prefix, prefillRequest.Prompt)
	sum := sha256.Sum256([]byte(prefillRequest.Prefix))
	ticket := engineapi.Ticket{Run: prefillRequest.Run, Ticket: rand.Text(), Incarnation: e.incarnation, Digest: hex.EncodeToString(sum[:8]), Version: e.Version}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := e.clock.Now()
	for name, cache := range e.kvCaches {
		if cache.expiresAt < now {
			delete(e.kvCaches, name)
		}
	}
	for prefix := range e.prefixes {
		if len(e.prefixes) >= maxPrefixes && !e.prefixes[prefillRequest.Prefix] {
			delete(e.prefixes, prefix)
		}
	}
	if prefillRequest.Prefix != "" {
		e.prefixes[prefillRequest.Prefix] = true
	}
	e.kvCaches[ticket.Ticket] = storedKVCache{engineapi.KVCache{Ticket: ticket, Content: content}, now + clock.Microseconds(e.KVRetentionMilliseconds)*clock.Millisecond}
	return ticket
}

func (e *Engine) transferKVCache(writer http.ResponseWriter, request *http.Request) {
	var transferRequest engineapi.TransferRequest
	if err := transport.ReadJSON(writer, request, 64<<10, &transferRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	cache, err := e.takeKVCache(transferRequest.Ticket)
	if err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	sleep(request.Context(), clock.Microseconds(e.TransferMicroseconds))
	transport.WriteJSON(writer, 200, cache)
}

// DropKVCaches forgets all prompt memory that is held for tickets.
func (e *Engine) DropKVCaches() {
	e.lock.Lock()
	defer e.lock.Unlock()
	clear(e.kvCaches)
}

// takeKVCache gives prompt memory away once, to the bearer of the exact ticket.
func (e *Engine) takeKVCache(ticket engineapi.Ticket) (engineapi.KVCache, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	cache, ok := e.kvCaches[ticket.Ticket]
	if !ok || cache.Ticket != ticket || cache.expiresAt < e.clock.Now() {
		return engineapi.KVCache{}, errcode.New(errcode.KVHandleUnknown, "%s", ticket.Run)
	}
	delete(e.kvCaches, ticket.Ticket)
	return cache.KVCache, nil
}

func (e *Engine) fetchKVCache(ctx context.Context, decodeRequest engineapi.DecodeRequest) (engineapi.KVCache, error) {
	if decodeRequest.Source == e.Address {
		return e.takeKVCache(decodeRequest.Ticket)
	}
	body, _ := json.Marshal(engineapi.TransferRequest{Ticket: decodeRequest.Ticket})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+decodeRequest.Source+engineapi.TransferPath, bytes.NewReader(body))
	if err != nil {
		return engineapi.KVCache{}, errcode.Wrap(err, errcode.KVHandleUnknown, decodeRequest.Source)
	}
	request.GetBody = nil
	response, err := e.client.Do(request)
	if err != nil {
		return engineapi.KVCache{}, errcode.Wrap(err, errcode.KVHandleUnknown, decodeRequest.Source)
	}
	defer response.Body.Close()
	var cache engineapi.KVCache
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&cache) != nil || cache.Ticket != decodeRequest.Ticket {
		return engineapi.KVCache{}, errcode.New(errcode.KVHandleUnknown, "%s", decodeRequest.Source)
	}
	return cache, nil
}

func (e *Engine) decode(writer http.ResponseWriter, request *http.Request) {
	var decodeRequest engineapi.DecodeRequest
	if err := transport.ReadJSON(writer, request, 64<<10, &decodeRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	runContext, finishRun, err := e.startRun(request.Context(), pairing.RoleDecode, pairing.RoleDecode, decodeRequest.Run, decodeRequest.Key, decodeRequest.Service, decodeRequest.Version)
	if err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	outcome := runStopped
	defer func() { finishRun(outcome) }()
	cache, err := e.fetchKVCache(runContext, decodeRequest)
	if err != nil {
		outcome = runNotStarted
		transport.WriteError(writer, err, "", 0)
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	stream := json.NewEncoder(writer)
	flusher := http.NewResponseController(writer)
	send := func(frame engineapi.Frame) bool {
		frame.Run = decodeRequest.Run
		return stream.Encode(frame) == nil && flusher.Flush() == nil
	}
	ticket := cache.Ticket
	if !send(engineapi.Frame{Ticket: &ticket}) {
		return
	}
	for number := 1; number <= decodeRequest.Tokens; number++ {
		if !sleep(runContext, clock.Microseconds(e.DecodeMicroseconds)) {
			send(engineapi.Frame{Code: int(errcode.Cancelled)})
			return
		}
		e.decodeBusy.Add(int64(e.DecodeMicroseconds))
		if !send(engineapi.Frame{Number: number, Text: TokenText(cache.Content, number)}) {
			return
		}
	}
	if send(engineapi.Frame{Final: true, Count: decodeRequest.Tokens}) {
		outcome = runFinished
	}
}
