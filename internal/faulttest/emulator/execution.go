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
	// maxPrefixes is how many prompt prefixes an engine keeps in its cache.
	maxPrefixes = 4
	// An engine warms up until warmUpDuration has passed or warmUpRuns are completed; it runs
	// at most warmUpMaxRuns at a time until then.
	warmUpDuration = 4 * clock.Second
	warmUpRuns     = 4
	warmUpMaxRuns  = 2
	bytesPerToken  = 4
	// drainGracePeriod is how long after a drain command new runs are no violation.
	drainGracePeriod = 3 * clock.Second
	// digestBytes and tokenBytes are the bytes of a hash that a digest and a token show.
	digestBytes = 8
	tokenBytes  = 4

	maxPrefillBytes = 8 << 20
	maxTicketBytes  = 64 << 10
)

// KVContent returns the content of a request's KV cache. The tokens are a function of it
// alone, so that a caller can tell from which KV cache an answer was decoded.
func KVContent(key, prefix, prompt string) string {
	sum := sha256.Sum256([]byte(key + "\x00" + prefix + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// TokenText returns the text of one token, counted from 1, that is decoded from a content.
func TokenText(content string, number int) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s/%d", content, number)))
	return hex.EncodeToString(sum[:tokenBytes])
}

// sleep waits for a duration and reports false if the context ended before.
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

// runRequest is what decides on the admission of a run. The stage is also the role that the
// engine must have for it.
type runRequest struct {
	stage   string
	run     string
	key     string
	service string
	version string
}

// startRun admits a run, or returns an error that proves that it did not start. The caller must
// call the returned function exactly once with the outcome of the run.
func (e *Engine) startRun(parent context.Context, request runRequest) (context.Context, func(runOutcome), error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if err := e.admit(request); err != nil {
		return nil, nil, err
	}
	e.running++
	index := e.Observer.start(RunRecord{Key: request.key, Run: request.run, Stage: request.stage})
	runContext, stop := context.WithCancel(parent)
	e.runs[request.run] = stop
	return runContext, func(outcome runOutcome) {
		stop()
		e.lock.Lock()
		defer e.lock.Unlock()
		e.running--
		e.Observer.finish(index, outcome)
		delete(e.runs, request.run)
		if outcome == runFinished {
			e.completed.Add(1)
		}
	}, nil
}

// admit returns the reason why a run may not start now, if any. The lock must be held.
func (e *Engine) admit(request runRequest) error {
	now := e.clock.Now()
	switch {
	case e.cancelled[request.run]:
		return errcode.New(errcode.Cancelled, "%s", request.run)
	case e.draining:
		return errcode.New(errcode.EngineStopping, "%s", e.Name)
	case e.command.Drain:
		if now-e.drainedAt > drainGracePeriod {
			e.Observer.RecordViolation("%s %s sent %d µs after the drain command", request.stage, request.run, now-e.drainedAt)
		}
		return errcode.New(errcode.EngineDraining, "%s", e.Name)
	case request.service != e.Service || request.version != e.Version:
		return errcode.New(errcode.EngineVersionMismatch, "%s has %s", e.Name, e.Version)
	case e.role != pairing.RoleBoth && e.role != request.stage:
		return errcode.New(errcode.EngineRoleMismatch, "%s has the role %s", e.Name, e.role)
	case e.isWarmingUp(now) && e.running >= warmUpMaxRuns:
		e.Observer.RecordWarmUpRejection(e.incarnation)
		return errcode.New(errcode.EngineWarmingUp, "%s", e.Name)
	case e.running >= e.MaxRuns:
		return errcode.New(errcode.EngineBusy, "%s", e.Name)
	}
	return nil
}

func (e *Engine) isWarmingUp(now clock.Microseconds) bool {
	return now-e.startedAt < warmUpDuration && e.completed.Load() < warmUpRuns
}

// prefill reads a prompt and answers with the ticket of the KV cache.
func (e *Engine) prefill(writer http.ResponseWriter, request *http.Request) {
	var prefillRequest engineapi.PrefillRequest
	if err := transport.ReadJSON(writer, request, maxPrefillBytes, &prefillRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	runContext, finishRun, err := e.startRun(request.Context(), runRequest{
		stage:   pairing.RolePrefill,
		run:     prefillRequest.Run,
		key:     prefillRequest.Key,
		service: prefillRequest.Service,
		version: prefillRequest.Version,
	})
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
	transport.WriteJSON(writer, http.StatusOK, e.storeKVCache(prefillRequest))
}

func (e *Engine) hasPrefix(prefix string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return prefix == "" || e.prefixes[prefix]
}

// storeKVCache keeps the KV cache of a prompt for a new ticket, and its prefix for later
// prompts. Expired caches and surplus prefixes are dropped.
func (e *Engine) storeKVCache(prefillRequest engineapi.PrefillRequest) engineapi.Ticket {
	content := KVContent(prefillRequest.Key, prefillRequest.Prefix, prefillRequest.Prompt)
	sum := sha256.Sum256([]byte(prefillRequest.Prefix))
	ticket := engineapi.Ticket{
		Run:         prefillRequest.Run,
		Ticket:      rand.Text(),
		Incarnation: e.incarnation,
		Digest:      hex.EncodeToString(sum[:digestBytes]),
		Version:     e.Version,
	}
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
	e.kvCaches[ticket.Ticket] = storedKVCache{
		KVCache:   engineapi.KVCache{Ticket: ticket, Content: content},
		expiresAt: now + clock.Microseconds(e.KVRetentionMilliseconds)*clock.Millisecond,
	}
	return ticket
}

// transferKVCache sends a KV cache to the decode engine that has its ticket.
func (e *Engine) transferKVCache(writer http.ResponseWriter, request *http.Request) {
	var transferRequest engineapi.TransferRequest
	if err := transport.ReadJSON(writer, request, maxTicketBytes, &transferRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	cache, err := e.takeKVCache(transferRequest.Ticket)
	if err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	sleep(request.Context(), clock.Microseconds(e.TransferMicroseconds))
	transport.WriteJSON(writer, http.StatusOK, cache)
}

// DropKVCaches drops all KV caches that wait for their tickets, as a fault of the engine.
func (e *Engine) DropKVCaches() {
	e.lock.Lock()
	defer e.lock.Unlock()
	clear(e.kvCaches)
}

// takeKVCache removes and returns a KV cache. Each is returned once, to the bearer of the exact
// ticket; otherwise the error is errcode.KVHandleUnknown.
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

// fetchKVCache gets the KV cache of a decode request from the prefill engine, which may be this
// engine itself.
func (e *Engine) fetchKVCache(ctx context.Context, decodeRequest engineapi.DecodeRequest) (engineapi.KVCache, error) {
	if decodeRequest.Source == e.Address {
		return e.takeKVCache(decodeRequest.Ticket)
	}
	// A struct of strings can always be marshalled.
	body, _ := json.Marshal(engineapi.TransferRequest{Ticket: decodeRequest.Ticket})
	transferURL := "http://" + decodeRequest.Source + engineapi.TransferPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transferURL, bytes.NewReader(body))
	if err != nil {
		return engineapi.KVCache{}, errcode.Wrap(err, errcode.KVHandleUnknown, decodeRequest.Source)
	}
	// Without GetBody the client never resends by itself: a KV cache is handed over only once.
	request.GetBody = nil
	response, err := e.client.Do(request)
	if err != nil {
		return engineapi.KVCache{}, errcode.Wrap(err, errcode.KVHandleUnknown, decodeRequest.Source)
	}
	defer func() { _ = response.Body.Close() }()
	var cache engineapi.KVCache
	if response.StatusCode != http.StatusOK ||
		json.NewDecoder(response.Body).Decode(&cache) != nil ||
		cache.Ticket != decodeRequest.Ticket {
		return engineapi.KVCache{}, errcode.New(errcode.KVHandleUnknown, "%s", decodeRequest.Source)
	}
	return cache, nil
}

// decode fetches the KV cache and streams the tokens that follow from it.
func (e *Engine) decode(writer http.ResponseWriter, request *http.Request) {
	var decodeRequest engineapi.DecodeRequest
	if err := transport.ReadJSON(writer, request, maxTicketBytes, &decodeRequest); err != nil {
		transport.WriteError(writer, err, "", 0)
		return
	}
	runContext, finishRun, err := e.startRun(request.Context(), runRequest{
		stage:   pairing.RoleDecode,
		run:     decodeRequest.Run,
		key:     decodeRequest.Key,
		service: decodeRequest.Service,
		version: decodeRequest.Version,
	})
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
	if e.streamTokens(runContext, writer, decodeRequest, cache) {
		outcome = runFinished
	}
}

// streamTokens sends the ticket, the tokens and the final frame, and reports whether all of
// them were sent.
func (e *Engine) streamTokens(
	runContext context.Context,
	writer http.ResponseWriter,
	decodeRequest engineapi.DecodeRequest,
	cache engineapi.KVCache,
) bool {
	writer.Header().Set("Content-Type", "application/x-ndjson")
	stream := json.NewEncoder(writer)
	flusher := http.NewResponseController(writer)
	send := func(frame engineapi.Frame) bool {
		frame.Run = decodeRequest.Run
		return stream.Encode(frame) == nil && flusher.Flush() == nil
	}
	ticket := cache.Ticket
	if !send(engineapi.Frame{Ticket: &ticket}) {
		return false
	}
	for number := 1; number <= decodeRequest.Tokens; number++ {
		if !sleep(runContext, clock.Microseconds(e.DecodeMicroseconds)) {
			send(engineapi.Frame{Code: int(errcode.Cancelled)})
			return false
		}
		e.decodeBusy.Add(int64(e.DecodeMicroseconds))
		if !send(engineapi.Frame{Number: number, Text: TokenText(cache.Content, number)}) {
			return false
		}
	}
	return send(engineapi.Frame{Final: true, Count: decodeRequest.Tokens})
}
