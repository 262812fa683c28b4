package core

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/catalogue"
	"coursepass/internal/circuit"
	"coursepass/internal/configuration"
	"coursepass/internal/mishap"
	"coursepass/internal/schedule"
)

const (
	operatePath   = "/core/operate"
	operateBudget = 4 * schedule.Second
)

// Errand is what a core asks the owner of a part to do for it.
type Errand struct {
	Configure *configuration.Request
	Outcome   string
	Read      bool
	Engines   *catalogue.Operation
	Service   string
	Relayed   bool
	// Outside says that a core without a seat passes the errand on.
	Outside bool
}

// Errands bring back an outcome, or all that is in force.
type Errands struct {
	configuration.Outcome
	View    configuration.View
	Engines catalogue.View
}

func (errand *Errand) part(parts int) int {
	if errand.Service == "" {
		return 0
	}
	return ServicePart(errand.Service, parts)
}

// operate does an errand here if this core owns the part, and else relays it once
// to the core that leads. An operation that may have gone into a log is never
// sent again.
func (core *Core) operate(parent context.Context, errand *Errand) (*Errands, error) {
	bounded, cancel := context.WithTimeout(parent, operateBudget.Duration())
	defer cancel()
	shard := core.shards[errand.part(core.Parts)]
	status := shard.status.Load()
	if status != nil && status.Slot < 0 && !errand.Relayed {
		return core.hand(bounded, shard, errand)
	}
	if status == nil || status.Leader < 0 || status.Leader != status.Slot && errand.Relayed {
		return nil, mishap.New(mishap.NotOwner, "part %d has no leader here", shard.index)
	}
	if status.Leader == status.Slot {
		return core.perform(bounded, shard, errand)
	}
	relayed := *errand
	relayed.Relayed = true
	answer, failure := circuit.Call[Errand, Errands](bounded, core.inner, shard.seats.Load().Seats[status.Leader].Address, operatePath, operateBudget, &relayed)
	if failure != nil {
		return nil, mishap.Wrap(failure, mishap.OutcomeUnknown, "the leading core did not answer")
	}
	return answer, nil
}

// hand has a core that has a seat do an errand, as this one has none.
func (core *Core) hand(parent context.Context, shard *shard, errand *Errand) (*Errands, error) {
	passed := *errand
	passed.Outside = true
	seats := shard.seats.Load().Seats
	for range seats {
		seat := seats[int(core.turn.Add(1))%len(seats)]
		if seat.Vacant() || seat.Address == core.seat.Address {
			continue
		}
		answer, failure := circuit.Call[Errand, Errands](parent, core.inner, seat.Address, operatePath, operateBudget, &passed)
		if failure != nil {
			return nil, mishap.Wrap(failure, mishap.OutcomeUnknown, "the core that was asked did not answer")
		}
		return answer, nil
	}
	return nil, mishap.New(mishap.NotOwner, "part %d: no seat is known here", shard.index)
}

func (core *Core) perform(context context.Context, shard *shard, errand *Errand) (*Errands, error) {
	answer := &Errands{}
	switch {
	case errand.Configure != nil:
		outcome, failure := core.configure(context, shard, *errand.Configure)
		answer.Outcome = outcome
		return answer, failure
	case errand.Engines != nil:
		data, failure := shard.propose(context, func() ([]byte, error) { return errand.Engines.Encode(), nil })
		if failure != nil {
			return nil, failure
		}
		result, failure := catalogue.ReadResult(data)
		answer.Code, answer.Sequence = result.Code, result.Sequence
		return answer, failure
	}
	return answer, core.read(context, shard, errand, answer)
}

// read proves by an empty entry that this core still leads, and then reads.
func (core *Core) read(context context.Context, shard *shard, errand *Errand, answer *Errands) error {
	if _, failure := shard.propose(context, func() ([]byte, error) { return nil, nil }); failure != nil {
		return mishap.Wrap(failure, mishap.NoMajority, "read")
	}
	read := shard.ask(context, func() {
		if shard.index > 0 {
			answer.Engines = core.duties[shard.index-1].engines.View
			return
		}
		answer.View = core.configs.View()
		if errand.Outcome != "" {
			found, known := core.configs.Outcome(errand.Outcome)
			if answer.Outcome = found; !known {
				answer.Outcome = configuration.Outcome{Code: mishap.UnknownOperation, Sequence: answer.View.Sequence, Text: errand.Outcome}
			}
		}
	})
	if !read {
		return mishap.New(mishap.NoMajority, "read")
	}
	return nil
}

func (core *Core) configure(context context.Context, shard *shard, request configuration.Request) (configuration.Outcome, error) {
	// One expansion at a time: whoever comes second then sees the first one's sequence, and
	// is declined without one. All others are judged by the log alone, and wait for nobody.
	free := func() {}
	if request.Expands() {
		select {
		case core.configuring <- struct{}{}:
			free = sync.OnceFunc(func() { <-core.configuring })
			defer func() { free() }()
		case <-context.Done():
			return configuration.Outcome{}, mishap.New(mishap.NoMajority, "another operation is under way; nothing was changed")
		}
	}
	var view configuration.View
	var earlier configuration.Outcome
	var known bool
	if !shard.ask(context, func() {
		view = core.configs.View()
		earlier, known = core.configs.Outcome(request.Key)
	}) {
		return configuration.Outcome{}, mishap.New(mishap.NotOwner, "part 0")
	}
	if request.Kind == configuration.NoticePhase {
		return configuration.Outcome{Code: mishap.Malformed, Sequence: view.Sequence, Text: "only the leader notes phases"}, nil
	}
	request.Regions = core.Settings.Regions().Names()
	var operation configuration.Operation
	if !known {
		drafted, failure := core.draft(context, view, request, &free)
		if failure != nil {
			return configuration.Outcome{Code: mishap.CodeOf(failure, mishap.Malformed), Sequence: view.Sequence, Text: mishap.Text(failure)}, nil
		}
		operation = drafted
	} else {
		operation.Key = request.Key
		log.Info().Str("core", core.Machine.Name).Str("key", request.Key).Int("code", int(earlier.Code)).Msg("operation seen before")
	}
	data, failure := shard.propose(context, func() ([]byte, error) { return configuration.Encode(operation), nil })
	if failure != nil {
		return configuration.Outcome{}, failure
	}
	var outcome configuration.Outcome
	failure = gob.NewDecoder(bytes.NewReader(data)).Decode(&outcome)
	if failure == nil && outcome.Code == mishap.Fine {
		log.Info().Str("core", core.Machine.Name).Str("kind", string(request.Kind)).Uint64("sequence", outcome.Sequence).Msg("configuration in force")
	}
	return outcome, mishap.Wrap(failure, mishap.Garbage, "outcome")
}

// draft evaluates a request within the operation's budget. The library can't be
// interrupted: an evaluation that takes longer goes on alone, its operation is declined,
// and the next one waits for its end.
func (core *Core) draft(context context.Context, view configuration.View, request configuration.Request, free *func()) (configuration.Operation, error) {
	type drafted struct {
		operation configuration.Operation
		failure   error
	}
	done, release := make(chan drafted, 1), *free
	go func() {
		operation, failure := view.Draft(request)
		done <- drafted{operation, failure}
	}()
	select {
	case found := <-done:
		return found.operation, found.failure
	case <-context.Done():
		*free = func() {}
		go func() {
			<-done
			release()
		}()
		return configuration.Operation{}, mishap.New(mishap.ConfigurationCostly, "the evaluation took longer than the operation may")
	}
}

func (core *Core) serveErrands() {
	circuit.Answer(core.inner, operatePath, func(context context.Context, errand *Errand) (*Errands, error) {
		errand.Relayed, errand.Outside = !errand.Outside, false
		answer, failure := core.operate(context, errand)
		if failure == nil {
			return answer, nil
		}
		return &Errands{Outcome: configuration.Outcome{Code: mishap.CodeOf(failure, mishap.OutcomeUnknown), Text: mishap.Text(failure)}}, nil
	})
}
