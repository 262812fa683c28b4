package core

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/enginecommand"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	pollEvery   = 500 * schedule.Millisecond
	pollBudget  = 400 * schedule.Millisecond
	darkAfter   = 1500 * schedule.Millisecond
	suspectSpan = 2 * schedule.Second
	orderBudget = 600 * schedule.Millisecond
	settleSpan  = 5 * schedule.Second
	// moveSpan is longer than a router may go on without a fresh majority read.
	moveSpan = 1900 * schedule.Millisecond
)

type soft struct {
	catalogue.Report
	heard   schedule.Microseconds
	suspect schedule.Microseconds
	moving  schedule.Microseconds
	earlier catalogue.Report
}

// duty is the leader's work for the services of one part.
type duty struct {
	core    *Core
	shard   *shard
	engines *catalogue.State
	desk    *order.Desk
	client  *http.Client
	polls   atomic.Int64
	rulings atomic.Int64
	retries atomic.Int64
	lock    sync.Mutex
	soft    map[string]*soft
	wanted  map[string]string
	shares  map[string]*contract.Share
	mirror  *mirror
}

func newDuty(core *Core, shard *shard, engines *catalogue.State) *duty {
	duty := &duty{core: core, shard: shard, engines: engines, soft: map[string]*soft{}, wanted: map[string]string{}, shares: map[string]*contract.Share{}}
	duty.desk = order.NewDesk(core.Machine.Name, orderBudget, core.clock, &shard.right, circuit.Options{Network: core.inner.Network, Meter: core.meter})
	duty.client = &http.Client{Transport: circuit.NewTransport(circuit.Options{Network: core.inner.Network, Meter: core.meter})}
	return duty
}

func (s *duty) run(ctx context.Context) {
	if s.mirror != nil {
		schedule.Every(ctx, mirrorTick, func() { s.reflect(ctx) })
		return
	}
	schedule.Every(ctx, pollEvery, func() {
		if status := s.shard.status.Load(); status != nil && status.Owner {
			s.round(ctx)
		}
	})
}

// round is one turn of the leader's work: ask all engines, sign a new contract
// where the picture changed, and give the standing orders.
func (s *duty) round(ctx context.Context) {
	var view catalogue.View
	var plan configuration.View
	if !s.shard.ask(ctx, func() { view = s.engines.View }) {
		return
	}
	if !s.core.shards[0].ask(ctx, func() { plan = s.core.configs.View() }) {
		return
	}
	s.poll(ctx, view)
	right := s.shard.right.Load()
	round := s.shard.status.Load().Round
	for service := range s.services(view) {
		drawn, standing := s.draw(service, round, view, plan)
		if !drawn.Same(view.Contracts[service]) {
			s.sign(ctx, drawn)
		}
		for name, each := range standing {
			if report, fresh := s.fresh(name); fresh {
				s.desk.Give(ctx, right, report, each)
			}
		}
	}
}

func (s *duty) services(view catalogue.View) map[string]bool {
	services := map[string]bool{}
	for _, engine := range view.Engines {
		services[engine.Service] = true
	}
	return services
}

func (s *duty) poll(parent context.Context, view catalogue.View) {
	bounded, cancel := context.WithTimeout(parent, pollBudget.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, engine := range view.Engines {
		group.Go(func() {
			s.polls.Add(1)
			report, err := s.fetch(bounded, engine.Address)
			if err != nil || report.Name != engine.Name || report.Incarnation != engine.Incarnation {
				return
			}
			s.lock.Lock()
			defer s.lock.Unlock()
			known, held := s.soft[engine.Name]
			if !held {
				known = &soft{earlier: report}
				s.soft[engine.Name] = known
			}
			if held && known.Incarnation != report.Incarnation {
				known.earlier, known.suspect = report, 0
			}
			known.Report, known.heard = report, s.core.clock.Now()
		})
	}
	group.Wait()
}

func (s *duty) fetch(ctx context.Context, address string) (catalogue.Report, error) {
	var report catalogue.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return report, mishap.Wrap(err, mishap.Garbage, address)
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return report, mishap.Wrap(err, mishap.CircuitLost, address)
	}
	defer answer.Body.Close()
	err = json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&report)
	return report, mishap.Wrap(err, mishap.Garbage, address)
}

func (s *duty) fresh(name string) (catalogue.Report, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, held := s.soft[name]
	if !held || s.core.clock.Now()-known.heard > pollEvery+pollBudget {
		return catalogue.Report{}, false
	}
	return known.Report, true
}

// told is what all engines told lately, empty where this core does not lead.
func (s *duty) told() []catalogue.Report {
	status := s.shard.status.Load()
	if status == nil || !status.Owner {
		return nil
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	var reports []catalogue.Report
	for _, known := range s.soft {
		if s.core.clock.Now()-known.heard < darkAfter {
			reports = append(reports, known.Report)
		}
	}
	return reports
}

// draw makes the contract of a service and the standing order of each engine.
func (s *duty) draw(service string, round uint64, view catalogue.View, plan configuration.View) (contract.Contract, map[string]order.Standing) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now, signed := s.core.clock.Now(), view.Contracts[service]
	var live, steady []*soft
	standing := map[string]order.Standing{}
	var candidates []contract.Candidate
	for name, engine := range view.Engines {
		known, held := s.soft[name]
		if engine.Service != service || !held || now-known.heard > settleSpan {
			continue
		}
		steady = append(steady, known)
		if now-known.heard > darkAfter || known.suspect > now {
			continue
		}
		if engine.Leaving || s.core.gone(&plan, engine.Hall) || known.Draining {
			steady = steady[:len(steady)-1]
			if known.leaves(now, signed) {
				standing[name] = order.Standing{Part: known.Part, Drain: true}
			}
			continue
		}
		live = append(live, known)
	}
	byVersion := map[string][]*soft{}
	for _, each := range steady {
		byVersion[each.Version] = append(byVersion[each.Version], each)
	}
	for version, each := range byVersion {
		s.assign(service+"/"+version, now, each)
	}
	for _, each := range live {
		if !s.moves(now, each, signed) && !each.Drained {
			// An engine that still plays both is paired for the part it is about to get.
			part := each.Part
			if wanted := s.wanted[each.Name]; part == contract.Both && wanted != "" {
				part = wanted
			}
			candidates = append(candidates, contract.Candidate{Name: each.Name, Hall: each.Hall, Version: each.Version, Part: part})
		}
	}
	drawn := contract.Draw(service, s.core.Machine.Inner, round, candidates)
	drawn.Routers = s.core.routersHeard(now)
	for _, each := range live {
		if s.moves(now, each, signed) && !each.leaves(now, signed) {
			continue
		}
		wanted := order.Standing{Part: s.wanted[each.Name]}
		for _, pair := range drawn.Partners(each.Name) {
			wanted.Partners = append(wanted.Partners, order.Partner{Name: pair.Decode, Address: view.Engines[pair.Decode].Address})
		}
		standing[each.Name] = wanted
	}
	return drawn, standing
}

// leaves notes since when an engine is out of the contract that was signed, and tells
// whether every router that still takes work must have heard of it, so that no request
// meets an engine that has just changed.
func (e *soft) leaves(now schedule.Microseconds, signed contract.Contract) bool {
	if _, paired := signed.Parts[e.Name]; paired {
		e.moving = 0
		return false
	}
	if e.moving == 0 {
		e.moving = now
	}
	return now-e.moving >= moveSpan
}

// moves tells whether an engine is between its parts: out of the contract, and
// ordered over once it has left.
func (s *duty) moves(now schedule.Microseconds, each *soft, signed contract.Contract) bool {
	if each.Part == contract.Both || each.Part == s.wanted[each.Name] {
		each.moving = 0
		return false
	}
	each.leaves(now, signed)
	return true
}

// assign sets how many engines of one model version play which part, since only
// those can be paired; a single one plays both. An engine that is silent or suspect
// for a moment still counts, so that the others don't change theirs for it. The first split follows half and
// half; then the mix of busy time moves it, one engine at a time.
func (s *duty) assign(group string, now schedule.Microseconds, live []*soft) {
	slices.SortFunc(live, func(left, right *soft) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	share, known := s.shares[group]
	if !known {
		share = &contract.Share{Settle: settleSpan}
		s.shares[group] = share
	}
	readers, prefill, decode := 0, 0.0, 0.0
	for _, each := range live {
		if s.wanted[each.Name] == "" && each.Part != contract.Both {
			s.wanted[each.Name] = each.Part
		}
		if s.wanted[each.Name] == contract.Prefill {
			readers++
		}
		prefill += float64(each.PrefillBusy - each.earlier.PrefillBusy)
		decode += float64(each.DecodeBusy - each.earlier.DecodeBusy)
		each.earlier.PrefillBusy += (each.PrefillBusy - each.earlier.PrefillBusy) / 8
		each.earlier.DecodeBusy += (each.DecodeBusy - each.earlier.DecodeBusy) / 8
	}
	if len(live) < 2 {
		for _, each := range live {
			s.wanted[each.Name] = contract.Both
		}
		return
	}
	if readers == 0 {
		readers = len(live) / 2
	}
	fraction := 0.5
	if prefill+decode > 0 {
		fraction = prefill / (prefill + decode)
	}
	s.spread(live, share.Readers(now, len(live), readers, fraction))
}

func (s *duty) sign(parent context.Context, drawn contract.Contract) {
	bounded, cancel := context.WithTimeout(parent, schedule.Second.Duration())
	defer cancel()
	operation := catalogue.Operation{Kind: catalogue.Sign, Contract: drawn}
	if _, err := s.shard.propose(bounded, func() ([]byte, error) { return operation.Encode(), nil }); err != nil {
		log.Warn().Str("core", s.core.Machine.Name).Str("service", drawn.Service).Err(err).Msg("contract not signed")
	}
}

// rule decides on a trouble that a router reports: whether the request may be
// tried again, and that its engine is avoided for a while.
func (s *duty) rule(trouble Trouble) *Ruling {
	status := s.shard.status.Load()
	ruling := &Ruling{Owner: status != nil && status.Owner, Avoid: trouble.Engine}
	if !ruling.Owner {
		return ruling
	}
	ruling.Round = status.Round
	s.rulings.Add(1)
	s.lock.Lock()
	if known, held := s.soft[trouble.Engine]; held && !trouble.Proved && !trouble.Blameless {
		known.suspect = s.core.clock.Now() + suspectSpan
	}
	s.lock.Unlock()
	ruling.Retry = !trouble.Streamed && trouble.Tries < 3 && trouble.Left > 0 && (trouble.Proved || trouble.Repeats && !trouble.OneShot)
	if ruling.Retry {
		s.retries.Add(1)
	}
	return ruling
}
