package carrier

import (
	"context"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/dataplane/balancer"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/platformport"
)

// attempt sends the request along a choice.
func (way *way) attempt(bounded context.Context, choice pool.Choice) verdict {
	way.step(relay.Matched)
	if !way.pay() {
		way.back(way.headed)
		return unpaid
	}
	made := way.try(choice.Writer)
	if choice.Split {
		way.step(relay.Prefilling)
		if !way.pool.Admit(way.now(), choice.Reader.Life) {
			way.back(way.headed)
			return anew
		}
		ticket, outcome := way.prefill(bounded, choice)
		if outcome != port.Answered {
			way.back(way.headed)
			if bounded.Err() != nil {
				return over
			}
			way.reread = outcome == port.Unknown && way.reads == 1 && way.route.Tries > 1
			if outcome == port.Unsent || outcome == port.Unknown && way.reads == 1 {
				return anew
			}
			return again
		}
		way.step(relay.HandedOver)
		made.Source, made.Weights = choice.Reader.Address+"/"+ticket.Name, ticket.Weights
	}
	// Its region may have been shut while the prompt was read elsewhere.
	shut := way.carrier.board.Begun(way.now(), way.carrier.Regions.Of(choice.Writer.Hall))
	if shut || !way.pool.Admit(way.now(), made.Life) {
		if !choice.Split {
			way.back(way.headed)
			return anew
		}
		other, found := way.pool.Maker(way.now(), way.wish(), choice.Reader.Life)
		if !found || !way.pool.Admit(way.now(), other.Life) {
			way.free(choice.Reader.Address, made.Source)
			way.back(way.headed)
			return again
		}
		choice.Writer, made.Address, made.Life = other, other.Address, other.Life
	}
	if choice.Split && !way.pay() {
		way.free(choice.Reader.Address, made.Source)
		way.pool.Done(made.Life)
		way.back(way.headed)
		return unpaid
	}
	way.step(relay.Decoding)
	return way.forward(bounded, choice, made)
}

// prefill has the reader read the prompt. It does not run the request, whatever becomes of it.
func (way *way) prefill(bounded context.Context, choice pool.Choice) (port.Ticket, port.Outcome) {
	reader, began := choice.Reader, way.now()
	way.pool.Reading(reader.Life, choice.Unread)
	way.reads++
	way.arrivals.read()
	// A first read may always be given up; a further one counts as an attempt.
	may := way.reads == 1 || way.attempts+1 < way.route.Tries
	patience := way.pool.Patience(began, reader.Life, pool.ReadStage)
	watched, watch := way.watch(bounded, reader.Life, may, patience.Limit)
	ticket, outcome, _ := way.carrier.driver.Read(watched, way.try(reader))
	silent := watched.Err() != nil
	watch.end()
	way.pool.Done(reader.Life)
	now := way.now()
	took := schedule.Microseconds(0)
	if outcome == port.Answered {
		way.arrivals.takenUp()
		took = now - began
		way.pool.Took(pool.ReadStage, patience, took)
		way.pool.Heard(now, reader.Life, ticket.Load)
	}
	if outcome == port.Unsent {
		way.reads--
		way.arrivals.unread()
	}
	way.pool.Read(now, reader.Life, way.call.Prompt, choice.Unread, took, choice.Sure)
	// The first reading that an engine takes up is no attempt; one that is turned away is.
	if outcome != port.Unsent && (way.reads > 1 || outcome == port.Unstarted || outcome == port.Elsewhere) {
		way.attempts++
	}
	if outcome == port.Answered {
		return ticket, outcome
	}
	way.avoid[reader.Life] = true
	way.blame(now, reader.Life, outcome, true, silent, bounded)
	return ticket, outcome
}

func (way *way) blame(now schedule.Microseconds, life string, outcome port.Outcome, busy, silent bool, bounded context.Context) {
	switch {
	case bounded.Err() != nil:
	case outcome == port.Elsewhere:
		way.pool.Wrong(now, life)
	case outcome == port.Unstarted && busy:
		way.pool.Declined(now, life)
	default:
		way.fail(now, life, silent)
	}
}

// fail notes that an engine broke off, was silent or could not be reached. Others are told
// but for silence, which may be no more than a long queue.
func (way *way) fail(now schedule.Microseconds, life string, silent bool) {
	way.carrier.Mishaps.Add(1)
	way.pool.Fail(now, life)
	if way.carrier.Tell != nil && !silent {
		way.carrier.Tell(way.service, life)
	}
}

// forward has the writer make the answer, and passes it on.
func (way *way) forward(bounded context.Context, choice pool.Choice, made port.Try) verdict {
	writer := choice.Writer
	if choice.Split {
		way.carrier.Split.Add(1)
		way.pool.Making(0, way.call.Tokens)
	} else {
		way.carrier.Whole.Add(1)
		way.pool.Making(choice.Unread, way.call.Tokens)
	}
	way.attempts++
	way.arrivals.run()
	began := way.now()
	way.pool.Running(began, writer.Life, way.call.Prompt, 1)
	ended := sync.OnceFunc(func() {
		way.pool.Running(way.now(), writer.Life, nil, -1)
		way.pool.Done(writer.Life)
	})
	defer ended()
	reads := 0
	if !choice.Split {
		reads = choice.Unread
	}
	way.pool.Reading(writer.Life, reads)
	way.Leave()
	patience := way.pool.Patience(began, writer.Life, pool.RunStage)
	watched, watch := way.watch(bounded, writer.Life, way.route.MayRepeat() && way.attempts < way.route.Tries, patience.Limit)
	defer watch.end()
	answer, outcome, _ := way.carrier.driver.Run(watched, made)
	now := way.now()
	way.pool.Reading(writer.Life, -reads)
	if outcome == port.Answered {
		way.pool.Heard(now, writer.Life, answer.Load)
		way.pool.Took(pool.RunStage, patience, now-began)
	}
	if outcome != port.Answered {
		if choice.Split && outcome != port.Unknown {
			way.free(choice.Reader.Address, made.Source)
		}
		way.avoid[writer.Life] = true
		way.blame(now, writer.Life, outcome, answer.Busy, watched.Err() != nil, bounded)
		if outcome == port.Unknown {
			way.step(relay.Unknown)
			if bounded.Err() != nil {
				return over
			}
			return way.missed()
		}
		way.Prove()
		way.back(way.headed)
		way.carrier.Unstarted.Add(1)
		if bounded.Err() != nil {
			return over
		}
		if outcome == port.Unsent {
			// An engine that could not be reached was not sent to.
			way.attempts--
			way.arrivals.unrun()
			return anew
		}
		return again
	}
	defer answer.Body.Close()
	return way.pass(bounded, writer, answer, watch, func() {
		watch.end()
		answer.Body.Close()
		ended()
	})
}
