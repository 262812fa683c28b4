// Package core is the control daemon: it keeps its share of each part on disk,
// takes part in the elections, and does the leader's duties where it leads.
package core

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/errcode"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/settings"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/registry"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Settings of a core.
type Settings struct {
	setting.Place
	setting.Inner
	setting.Lengths
	Data     string `long:"data" description:"data folder"`
	Replaces string `long:"replaces" description:"name of the core whose seat it takes, if it has none; its own name if not given"`
	Override bool   `long:"override" description:"take the seat even if its holder still answers"`
	Joining  bool   `long:"joining" description:"the seeds only show the way: no seat is taken for standing at one of their addresses"`
	First    bool   `long:"first" description:"the whole fleet starts for the first time, on empty disks: nothing is to be recovered"`
	Seatless bool   `long:"seatless" description:"never take a seat, only pass errands on to those who have one"`
	Reserve  bool   `long:"reserve" description:"without a seat, take any that is vacant or whose holder has been silent for a while, as long as no hall gets too many"`
	Reading  int    `long:"usual-reading-percent" description:"share of reading in the work of mirrored engines, as long as routers tell too little; 0 leaves their parts as listed until then"`
	Rewrite  int    `long:"rewrite-mib" description:"size at which the journal is rewritten" default:"16"`
}

// Check declines settings that can't work.
func (s Settings) Check() error {
	for _, check := range []func() error{s.Place.Check, s.Inner.Check, s.Lengths.Check} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.Data == "" {
		return mishap.New(mishap.SettingBad, "--data: a core needs a data folder")
	}
	if s.Reading < 0 || s.Reading > 100 {
		return mishap.New(mishap.SettingBad, "--usual-reading-percent: %d is not between 0 and 100", s.Reading)
	}
	if s.Rewrite < 1 || s.Rewrite > 1024 {
		return mishap.New(mishap.SettingBad, "--rewrite-mib: %d is not between 1 and 1024", s.Rewrite)
	}
	return nil
}

// reserved is the least disk space that is kept free for rewriting the journal.
const reserved = 1 << 20

// Core is one control daemon.
type Core struct {
	Settings
	senderCounters
	machine.Machine
	seat        part.Seat
	clock       *schedule.Clock
	meter       *hall.Meter
	inner       *circuit.Inner
	journal     *journal.Journal
	diary       *claim.Diary
	gossip      *sibling.Gossip
	senders     map[string]*sender
	routers     map[string]routerHeard
	lock        sync.Mutex
	running     context.Context
	shards      []*shard
	duties      []*duty
	turn        atomic.Uint32
	configs     *configuration.State
	configuring chan struct{}
	board       notice.Board
	standstill  standstill
}

// ServicePart is the part that holds a service's engines.
func ServicePart(service string, parts int) int {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return 1 + int(hash.Sum32()%uint32(parts-1))
}

// New makes a core from checked settings.
func New(settings Settings, incarnation uint64, network circuit.Network) (*Core, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	device, _ := network.(journal.Device)
	options := journal.Options{Folder: settings.Data, Rewrite: int64(settings.Rewrite) << 20, Device: device}
	if !settings.Seatless {
		options.Reserve = reserved
	}
	disk, err := journal.Open(options)
	if err != nil {
		return nil, err
	}
	diary := claim.OpenDiary(journal.OperatingSystem{}, settings.Data)
	// A damaged journal was answered for, so this is no first start.
	settings.First = settings.First && !disk.Lost()
	core := &Core{
		Settings: settings,
		Machine: machine.Machine{
			Name: settings.Place.Name, Role: machine.Core, Hall: settings.Place.Hall,
			Inner: settings.Inner.Inner, Public: settings.Place.Public, Incarnation: incarnation,
		},
		clock:   circuit.NewClock(network),
		meter:   hall.NewMeter(settings.Place.Hall),
		journal: disk, diary: diary, senders: map[string]*sender{}, routers: map[string]routerHeard{}, configuring: make(chan struct{}, 1),
	}
	core.inner = circuit.NewInner(settings.Fleet, core.meter, network)
	view := sibling.NewView(core.Machine, 8, 4, incarnation)
	core.gossip = sibling.NewGossip(view, news.NewStore(Advance, nil), core.inner, settings.Seeds)
	core.seat = part.Seat{Identity: string(disk.Image().Name), Name: core.Machine.Name, Address: core.Machine.Inner, Hall: core.Machine.Hall}
	if core.seat.Identity == "" {
		core.seat.Identity = rand.Text()
	}
	core.configs = configuration.NewState()
	for index := range settings.Parts {
		each := &shard{Loop: schedule.NewLoop[func()](core.clock, 1024), core: core, index: index, waiting: map[spot]chan []byte{}}
		each.state = core.configs
		if index > 0 {
			engines := catalogue.NewState()
			each.state = engines
			core.duties = append(core.duties, newDuty(core, each, engines))
		}
		each.blank = each.state.Snapshot()
		core.shards = append(core.shards, each)
	}
	core.serveInner()
	return core, nil
}

func (s *Core) place(index, slot int, bindings part.Bindings) part.Place {
	lease := s.LeaseSpan()
	return part.Place{
		Part:  index,
		Place: election.Place{Slots: s.Group(), Self: slot, Delta: s.DeltaSpan()},
		Terms: grant.Terms{Lease: lease, Margin: lease / 20},
		Keep:  256,
		Life:  s.Incarnation,
		Me:    s.seat, Bindings: bindings,
	}
}

// post sends a message for as long as this core runs: what it answers must not end with
// the call that brought the question.
func (s *Core) post(message part.Message) {
	address := message.Address
	if address == "" {
		address = s.shards[message.Part].seats.Load().Seats[message.To].Address
	}
	if address != "" && address != s.seat.Address {
		s.sender(address).send(s.running, message)
	}
}

func (s *Core) sender(address string) *sender {
	s.lock.Lock()
	defer s.lock.Unlock()
	found, known := s.senders[address]
	if !known {
		found = &sender{
			senderCounters: &s.senderCounters, inner: s.inner, clock: s.clock, self: s.seat,
			address: address, delta: s.DeltaSpan(), queue: make(chan outgoing, 256),
		}
		found.echoed = func(asked schedule.Microseconds, echo part.Echo) {
			if echo.Part >= 0 && echo.Part < len(s.shards) {
				s.shards[echo.Part].echoed(s.running, asked, address, echo)
			}
		}
		s.senders[address] = found
		go found.run(s.running)
	}
	return found
}

// SetSeeds takes other seeds, as the settings name them now. Seats are not moved by it.
func (s *Core) SetSeeds(seeds []string) { s.gossip.SetSeeds(seeds) }

// Listeners are the two sockets of a daemon.
type Listeners struct{ Inner, Public net.Listener }

// Listen opens both sockets of a daemon.
func Listen(network circuit.Network, inner, public string) (Listeners, error) {
	listeners := Listeners{}
	var err error
	if listeners.Inner, err = network.Listen(inner); err != nil {
		return listeners, err
	}
	listeners.Public, err = network.Listen(public)
	return listeners, err
}

// Run serves until the context ends; its error is final.
func (s *Core) Run(parent context.Context, listeners Listeners) error {
	running, cancel := context.WithCancel(parent)
	defer cancel()
	ended := make(chan error, 3)
	var group sync.WaitGroup
	launch := func(action func() error) {
		group.Go(func() {
			if err := action(); err != nil {
				ended <- err
				cancel()
			}
		})
	}
	s.running = running
	defer s.diary.Close()
	fresh := len(s.journal.Image().Name) == 0
	s.journal.Write([]journal.Record{{Kind: journal.Identity, Entry: journal.Entry{Data: []byte(s.seat.Identity)}}}, func() {})
	launch(func() error { return s.journal.Run(running) })
	for _, each := range s.shards {
		launch(func() error { each.run(running); return nil })
	}
	launch(func() error {
		schedule.Every(running, standstillTick, func() { s.standstill.note(s.clock.Now()) })
		return nil
	})
	launch(func() error { s.seek(running); return nil })
	launch(func() error { s.rebuild(running); return nil })
	launch(func() error { return circuit.Serve(running, listeners.Inner, s.inner, schedule.Second) })
	launch(func() error { return circuit.Serve(running, listeners.Public, s.public(), schedule.Second) })
	launch(func() error { s.gossip.Run(running); return nil })
	launch(func() error { s.remind(running); return nil })
	for _, each := range s.duties {
		launch(func() error { each.run(running); return nil })
	}
	log.Info().Str("core", s.Machine.Name).Str("identity", s.seat.Identity).Bool("new", fresh).Msg("core runs")
	group.Wait()
	select {
	case err := <-ended:
		return err
	default:
		return nil
	}
}

func (s *Core) serveInner() {
	circuit.Answer(s.inner, deliverPath, func(ctx context.Context, parcel *Parcel) (*Receipt, error) {
		now := s.clock.Now()
		receipt := &Receipt{Incarnation: s.Incarnation, Clock: now}
		age, judged := parcel.Age(now, s.Incarnation)
		for _, message := range parcel.Messages {
			if message.Part < 0 || message.Part >= len(s.shards) {
				s.inner.Garbage.Add(1)
				continue
			}
			if echo, seated := s.shards[message.Part].echo(); seated && message.Echoes() {
				receipt.Echoes = append(receipt.Echoes, echo)
			}
			switch {
			case message.Kind == part.Confirm:
			case message.Kind == part.Elect && (!judged || age > s.DeltaSpan()):
				s.Late.Add(1)
			default:
				s.Taken.Add(1)
				message.Sender = parcel.Sender
				s.shards[message.Part].receive(ctx, message)
			}
		}
		return receipt, nil
	})
	s.serveRouters()
	s.serveErrands()
	s.serveJoins()
	s.serveClaims()
}
