package core

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	mirrorTick   = 200 * schedule.Millisecond
	mirrorSpan   = 950 * schedule.Millisecond
	mirrorBudget = 800 * schedule.Millisecond
	// routersSettle is how long a new set of routers must stand until it alone is signed.
	routersSettle = 2 * schedule.Second
)

// mirror is what a leader keeps in mind while it follows a list of engines that others
// keep. Only its duty's turns touch it.
type mirror struct {
	directory port.Directory
	absences
	moves
	round   uint64
	last    schedule.Microseconds
	silent  bool
	routers lasting
	scales  map[string]*scale
}

// Attach has this core follow a directory instead of asking engines itself, and order
// engines' parts through the given port. It comes before Run.
func (s *Core) Attach(directory port.Directory, orders port.Orders) {
	for _, duty := range s.duties {
		duty.mirror = &mirror{directory: directory}
		duty.mirror.begin()
		duty.desk.Post = func(ctx context.Context, client *http.Client, given order.Order, address string) error {
			return orders.Part(ctx, client, address, given.Part, given.Holder, given.Round)
		}
	}
}

// begin forgets what an earlier round of this core was about.
func (d *mirror) begin() {
	d.absences, d.moves = absences{}, newMoves()
	d.round, d.last, d.silent, d.routers, d.scales = 0, 0, false, lasting{}, map[string]*scale{}
}

// reflect is one turn of an owner that follows a directory. A new owner signs what it
// knows first, and then lists.
func (s *duty) reflect(ctx context.Context) {
	mirror, status := s.mirror, s.shard.status.Load()
	if status == nil || !status.Owner {
		if mirror.round != 0 {
			mirror.begin()
		}
		return
	}
	now := s.core.clock.Now()
	if mirror.round != status.Round {
		mirror.begin()
		mirror.round = status.Round
		s.contracts(ctx)
	} else if now-mirror.last < mirrorSpan {
		return
	}
	mirror.last = now
	s.follow(ctx)
	s.contracts(ctx)
}

// follow lists the directory and takes over what has changed. What could not be listed
// changes nothing.
func (s *duty) follow(parent context.Context) {
	bounded, cancel := context.WithTimeout(parent, mirrorBudget.Duration())
	defer cancel()
	mirror := s.mirror
	s.polls.Add(1)
	found, err := mirror.directory.List(bounded)
	if err != nil {
		if !mirror.silent {
			log.Warn().Str("core", s.core.Machine.Name).Err(err).Msg("engines not listed")
		}
		mirror.silent = true
		return
	}
	mirror.silent = false
	var listed []catalogue.Engine
	for _, each := range found {
		if ServicePart(each.Service, s.core.Parts) == s.shard.index {
			listed = append(listed, mirrored(each))
		}
	}
	var view catalogue.View
	if !s.shard.ask(parent, func() { view = s.engines.View }) {
		return
	}
	put, drop := view.Toward(mirror.settle(s.core.clock.Now(), listed, view.Engines))
	if len(put)+len(drop) == 0 {
		return
	}
	signing, end := context.WithTimeout(parent, schedule.Second.Duration())
	defer end()
	operation := catalogue.Operation{Kind: catalogue.Mirror, Put: put, Drop: drop}
	_, err = s.shard.propose(signing, func() ([]byte, error) { return operation.Encode(), nil })
	log.Info().Str("core", s.core.Machine.Name).Int("put", len(put)).Int("drop", len(drop)).Err(err).Msg("list of engines changed")
}

func mirrored(listed port.Engine) catalogue.Engine {
	return catalogue.Engine{
		Name: listed.Life, Incarnation: listed.Life, Service: listed.Service, Hall: listed.Hall, Address: listed.Address,
		Leaving: listed.Leaving, Part: listed.Part, Slots: listed.Slots, Weights: listed.Weights, Cold: listed.Cold > 0,
	}
}

// contracts signs a contract where one changed, and orders engines to other parts.
func (s *duty) contracts(ctx context.Context) {
	var view catalogue.View
	var plan configuration.View
	if !s.shard.ask(ctx, func() { view = s.engines.View }) ||
		!s.core.shards[0].ask(ctx, func() { plan = s.core.configs.View() }) {
		return
	}
	now, mirror := s.core.clock.Now(), s.mirror
	routers := s.core.routersHeard(now)
	settled := mirror.routers.stood(now, routers...) >= routersSettle
	services := s.services(view)
	mirror.weighAll(now, s.core.routersWork(now))
	for service, signed := range view.Contracts {
		if len(signed.Parts) > 0 {
			services[service] = true
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	for service := range services {
		live := alive(service, view, func(hall string) bool { return s.core.gone(&plan, hall) })
		fraction, told := mirror.scale(service).fraction(s.core.Reading)
		mirror.plan(now, service, live, fraction, told)
		signed := view.Contracts[service]
		drawn := contract.DrawTeams(service, s.core.Machine.Inner, mirror.round, mirror.candidates(live))
		drawn.Routers, drawn.Away = named(signed, routers, settled), mirror.leaving(live)
		if !drawn.Same(signed) {
			log.Info().Str("core", s.core.Machine.Name).Str("service", service).Uint64("round", drawn.Round).
				Int("readers", drawn.Count(contract.Prefill)).Int("makers", drawn.Count(contract.Decode)).Int("routers", len(drawn.Routers)).Float64("reading", fraction).Msg("contract")
			group.Go(func() { s.sign(ctx, drawn) })
		}
		right := s.shard.right.Load()
		if !right.Covers(now, s.desk.Budget) {
			continue
		}
		for _, due := range mirror.due(now, live, signed) {
			report := catalogue.Report{Name: due.Name, Service: service, Address: due.Address, Incarnation: due.Incarnation}
			if due.first {
				s.desk.Forget(due.Name)
			}
			s.desk.Give(ctx, right, report, order.Standing{Part: due.Part})
		}
	}
}

// alive are the engines of a service that may get new work.
func alive(service string, view catalogue.View, gone func(hall string) bool) []catalogue.Engine {
	var live []catalogue.Engine
	for _, engine := range view.Engines {
		if engine.Service == service && !engine.Leaving && !gone(engine.Hall) {
			live = append(live, engine)
		}
	}
	return live
}

// named are the routers of a drawn contract: those of the one in force until a new set
// has stood for a while, so that routers that come and go have nothing signed.
func named(signed contract.Contract, routers []string, settled bool) []string {
	if settled || len(signed.Routers) == 0 && signed.Owner == "" {
		return routers
	}
	return signed.Routers
}
