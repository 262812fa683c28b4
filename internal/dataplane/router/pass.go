package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/policy"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	mostTries = 3
)

// pass runs a request until it ends. An error leaves the chart in the state that
// tells the caller what is proved.
func (r *Router) pass(bounded context.Context, passing *passage) error {
	for {
		if err := passing.Move(relay.Matched); err != nil {
			return err
		}
		// Each try is a run of its own: what is cancelled under the name of an earlier
		// one stays cancelled.
		passing.run = rand.Text()
		var reader, writer *catalogue.Pick
		err := r.find(bounded, passing, "serve", func(now schedule.Microseconds, want catalogue.Want) (found, fit bool) {
			want.Prefix = passing.template.Prefix
			reader, writer, fit = passing.table.ChoosePair(now, want)
			return reader != nil, fit
		})
		if err != nil {
			return err
		}
		if err := r.awaitPledge(bounded, passing); err != nil {
			reader.Done(catalogue.Experience{Now: r.clock.Now()})
			writer.Done(catalogue.Experience{Now: r.clock.Now()})
			return err
		}
		ticket, err := r.prefill(bounded, passing, reader)
		if err == nil {
			err = r.decode(bounded, passing, reader, writer, ticket)
		} else {
			writer.Done(catalogue.Experience{Now: r.clock.Now()})
		}
		if err == nil || passing.frames > 0 {
			return err
		}
		if bounded.Err() != nil || !r.mayRepeat(passing) {
			return err
		}
		if !passing.repeats.Take() {
			return mishap.Wrap(err, mishap.RepeatsSpent, "no second try")
		}
		r.Repeats.Add(1)
		if err := passing.Move(relay.Enrolled); err != nil {
			return err
		}
	}
}

// mayRepeat tells whether a try that came to nothing may be followed by another:
// with proof that it did not start, or by the leader's ruling where the template
// lets the request be repeated. The budget of repeats has its say after that.
func (r *Router) mayRepeat(passing *passage) bool {
	proved := passing.State == relay.Matched
	if passing.Tries >= mostTries || !proved && (passing.template.OneShot() || !passing.retry) {
		return false
	}
	said := rule.Known(rule.Repeat, passing.template.RepeatWhen)
	return said == nil || said.Holds(r.names(passing, rule.Names{
		"tries": passing.Tries, "proved": proved, "leftMilliseconds": int64((passing.abandon - r.clock.Now()) / schedule.Millisecond),
	}))
}

// names are what the template's rules see of a request.
func (r *Router) names(passing *passage, values rule.Names) rule.Names {
	values["tokens"], values["promptBytes"], values["hall"] = passing.Tokens, len(passing.Prompt), r.Machine.Hall
	return values
}

// match is the template's rule on engines, if it has one.
func (r *Router) match(passing *passage) func(catalogue.Engine, string) bool {
	said := rule.Known(rule.Match, passing.template.Match)
	if said == nil {
		return nil
	}
	return func(each catalogue.Engine, version string) bool {
		return said.Holds(r.names(passing, rule.Names{"engineName": each.Name, "engineHall": each.Hall, "engineVersion": version}))
	}
}

// post sends one try to an engine. It is never sent twice by the library, since
// its body can't be read again.
func (r *Router) post(bounded context.Context, address, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Malformed, path)
	}
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+address+path, io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Malformed, path)
	}
	request.ContentLength = int64(len(text))
	request.Header.Set("Content-Type", "application/json")
	answer, err := r.client.Do(request)
	return answer, mishap.Wrap(err, mishap.CircuitLost, address)
}

func declinedBy(answer *http.Response) mishap.Code {
	var told circuit.Decline
	if json.NewDecoder(io.LimitReader(answer.Body, 64<<10)).Decode(&told) != nil {
		return mishap.RunFailed
	}
	return told.Code
}

func (r *Router) prefill(parent context.Context, passing *passage, pick *catalogue.Pick) (engine.Ticket, error) {
	bounded := r.watched(parent, passing, pick)
	defer bounded.end()
	experience := catalogue.Experience{}
	defer func() { experience.Now = r.clock.Now(); pick.Done(experience) }()
	_ = passing.Move(relay.Prefilling)
	passing.Leave()
	passing.Tries++
	answer, err := r.post(bounded, pick.Address, engine.PrefillPath, engine.PrefillAsk{
		Run: passing.run, Key: passing.claim(), Service: passing.template.Service, Version: pick.Version, Prefix: passing.template.Prefix,
		PrefixTokens: passing.service.Prefixes[passing.template.Prefix].Tokens, Prompt: passing.Prompt, Budget: passing.abandon - r.clock.Now(),
	})
	if err != nil {
		experience.Mishap = parent.Err() == nil
		return engine.Ticket{}, r.lost(parent, passing, pick, contract.Prefill, err)
	}
	defer answer.Body.Close()
	experience.Running = running(answer)
	if answer.StatusCode != http.StatusOK {
		code := declinedBy(answer)
		experience.Full, experience.Cold = code.Unstarted(), code == mishap.EngineCold
		return engine.Ticket{}, r.turned(parent, passing, pick, contract.Prefill, code)
	}
	var ticket engine.Ticket
	if json.NewDecoder(io.LimitReader(answer.Body, 64<<10)).Decode(&ticket) != nil || ticket.Run != passing.run {
		return engine.Ticket{}, r.lost(parent, passing, pick, contract.Prefill, mishap.New(mishap.EndingUnknown, "no ticket from %s", pick.Name))
	}
	experience.Prefix = passing.template.Prefix
	return ticket, passing.Move(relay.HandedOver)
}

// lost ends a try whose outcome is not known, or asks the leader about it.
func (r *Router) lost(bounded context.Context, passing *passage, pick *catalogue.Pick, stage string, err error) error {
	passing.avoid[pick.Name] = true
	passing.retry = false
	r.cancel(passing.run, pick.Address)
	if bounded.Err() == nil {
		passing.retry = r.troubled(bounded, passing, pick.Name, stage, false).Retry
	}
	_ = passing.Move(relay.Unknown)
	return mishap.Wrap(err, mishap.EndingUnknown, stage+" at "+pick.Name)
}

// turned ends a try that an engine answered with a code.
func (r *Router) turned(bounded context.Context, passing *passage, pick *catalogue.Pick, stage string, code mishap.Code) error {
	passing.avoid[pick.Name] = true
	err := mishap.New(code, "%s at %s", stage, pick.Name)
	if !code.Unstarted() {
		if code != mishap.Cancelled {
			passing.retry = r.troubled(bounded, passing, pick.Name, stage, false).Retry
		}
		_ = passing.Move(relay.Failed)
		return mishap.Wrap(err, mishap.RunFailed, "the engine's answer")
	}
	if stage == contract.Prefill {
		passing.Prove()
		_ = passing.Move(relay.Matched)
		return mishap.Wrap(err, mishap.NoEngine, "the engine's answer")
	}
	_ = passing.Move(relay.HandedOver)
	return err
}

// cancel ends abandoned work by its name, apart from the caller's own context.
func (r *Router) cancel(run string, addresses ...string) {
	for _, address := range addresses {
		go func() {
			bounded, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			if answer, err := r.post(bounded, address, engine.CancelPath, engine.CancelAsk{Run: run}); err == nil {
				answer.Body.Close()
			}
		}()
	}
}

// decode has the token maker take the ticket. Only the engine's own proof that it did
// not start lets another one have the same ticket.
func (r *Router) decode(bounded context.Context, passing *passage, reader, writer *catalogue.Pick, ticket engine.Ticket) error {
	for tries := 1; ; tries++ {
		err := r.make(bounded, passing, reader, writer, ticket)
		if err == nil || passing.State != relay.HandedOver {
			return err
		}
		code := mishap.CodeOf(err, mishap.EndingUnknown)
		if code == mishap.TicketVoid || tries >= mostTries || !passing.repeats.Take() {
			// A busy token maker is no mishap, and prompt memory that lapsed no reason to
			// suspect its reader.
			if passing.retry = false; code == mishap.TicketVoid {
				passing.retry = r.troubled(bounded, passing, reader.Name, contract.Decode, true).Retry
			}
			r.cancel(passing.run, reader.Address)
			_ = passing.Move(relay.Failed)
			return mishap.Wrap(err, mishap.RunFailed, "decode")
		}
		r.Repeats.Add(1)
		err = r.find(bounded, passing, "make tokens", func(now schedule.Microseconds, want catalogue.Want) (found, fit bool) {
			want.Part, want.Reader = contract.Decode, reader.Name
			writer, fit = passing.table.Choose(now, want)
			return writer != nil, fit
		})
		if err != nil {
			r.cancel(passing.run, reader.Address)
			_ = passing.Move(relay.Failed)
			return mishap.Wrap(err, mishap.RunFailed, "prompt read, but no engine made tokens")
		}
	}
}

func (r *Router) make(parent context.Context, passing *passage, reader, pick *catalogue.Pick, ticket engine.Ticket) error {
	bounded := r.watched(parent, passing, pick)
	defer bounded.end()
	experience := catalogue.Experience{}
	defer func() { experience.Now = r.clock.Now(); pick.Done(experience) }()
	_ = passing.Move(relay.Decoding)
	answer, err := r.post(bounded, pick.Address, engine.DecodePath, engine.DecodeAsk{
		Ticket: ticket, Key: passing.claim(), Service: passing.template.Service, Source: reader.Address,
		Tokens: passing.Tokens, Budget: passing.abandon - r.clock.Now(),
	})
	if err != nil {
		experience.Mishap = parent.Err() == nil
		r.cancel(passing.run, reader.Address)
		return r.lost(parent, passing, pick, contract.Decode, err)
	}
	defer answer.Body.Close()
	experience.Running = running(answer)
	if answer.StatusCode != http.StatusOK {
		code := declinedBy(answer)
		experience.Full, experience.Cold = code.Unstarted() && code != mishap.TicketVoid, code == mishap.EngineCold
		return r.turned(parent, passing, pick, contract.Decode, code)
	}
	err = r.stream(passing, answer.Body, ticket, bounded.shown)
	if err == nil {
		return passing.Move(relay.Finished)
	}
	if passing.frames == 0 {
		experience.Mishap = parent.Err() == nil
		return r.lost(parent, passing, pick, contract.Decode, err)
	}
	r.cancel(passing.run, pick.Address)
	go r.troubled(context.WithoutCancel(parent), passing, pick.Name, contract.Decode, false)
	return err
}

// stream relays frames of one run, in order, once the ticket was echoed; the final
// frame goes out only when its count fits.
func (r *Router) stream(passing *passage, body io.Reader, ticket engine.Ticket, shown func()) error {
	lines := bufio.NewReaderSize(body, 4096)
	echoed := false
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return mishap.Wrap(err, mishap.StreamCut, "decode stream")
		}
		var frame engine.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			return mishap.Wrap(err, mishap.StreamCut, "decode frame")
		}
		switch {
		case frame.Run != passing.run || frame.Code != 0:
			return mishap.New(mishap.StreamCut, "frame of run %s, code %d", frame.Run, frame.Code)
		case !echoed:
			if frame.Ticket == nil || *frame.Ticket != ticket {
				return mishap.New(mishap.TicketVoid, "the ticket was not echoed")
			}
			echoed = true
		case frame.Final:
			if frame.Count != passing.frames || frame.Count != passing.Tokens {
				return mishap.New(mishap.StreamCut, "%d frames, but the count says %d", passing.frames, frame.Count)
			}
			return passing.send(Frame{Run: passing.run, Final: true, Count: frame.Count})
		case frame.Number != passing.frames+1:
			return mishap.New(mishap.StreamCut, "frame %d after %d", frame.Number, passing.frames)
		default:
			if err := passing.begin(); err != nil {
				return err
			}
			passing.frames++
			shown()
			if err := passing.send(Frame{Run: passing.run, Number: frame.Number, Text: frame.Text}); err != nil {
				return err
			}
		}
	}
}

func (f *passage) begin() error {
	if f.stream != nil {
		return nil
	}
	f.stream, f.flush = json.NewEncoder(f.writer), http.NewResponseController(f.writer)
	f.writer.Header().Set("Content-Type", "application/x-ndjson")
	return f.Move(relay.Streaming)
}

func (f *passage) send(frame Frame) error {
	if err := f.stream.Encode(frame); err != nil {
		return mishap.Wrap(err, mishap.Abandoned, "the caller's circuit")
	}
	return mishap.Wrap(f.flush.Flush(), mishap.Abandoned, "the caller's circuit")
}

func running(answer *http.Response) int {
	count, _ := strconv.Atoi(answer.Header.Get(engine.LoadHeader))
	return count
}
