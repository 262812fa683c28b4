// Package core is the control daemon: it keeps its share of each part on disk,
// takes part in the elections, and does the leader's duties where it leads.
package core

import (
	"context"
	"hash/fnv"
	"net"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/catalogue"
	"coursepass/internal/circuit"
	"coursepass/internal/configuration"
	"coursepass/internal/election"
	"coursepass/internal/grant"
	"coursepass/internal/hall"
	"coursepass/internal/journal"
	"coursepass/internal/link"
	"coursepass/internal/machine"
	"coursepass/internal/mishap"
	"coursepass/internal/news"
	"coursepass/internal/part"
	"coursepass/internal/schedule"
	"coursepass/internal/setting"
	"coursepass/internal/sibling"
)

// Settings of a core.
type Settings struct {
	setting.Place
	setting.Inner
	setting.Lengths
	Data    string `long:"data" description:"data folder"`
	Rewrite int    `long:"rewrite-mib" description:"size at which the journal is rewritten" default:"16"`
}

// Check declines settings that can't work.
func (settings Settings) Check() error {
	for _, check := range []func() error{settings.Place.Check, settings.Inner.Check, settings.Lengths.Check} {
		if failure := check(); failure != nil {
			return failure
		}
	}
	if settings.Data == "" {
		return mishap.New(mishap.SettingBad, "--data: a core needs a data folder")
	}
	if settings.Rewrite < 1 || settings.Rewrite > 1024 {
		return mishap.New(mishap.SettingBad, "--rewrite-mib: %d is not between 1 and 1024", settings.Rewrite)
	}
	if slices.Index(settings.Seeds, settings.Inner.Inner) < 0 {
		return mishap.New(mishap.SettingBad, "--inner: %s is not among the seeds; a core stands at a seed address", settings.Inner.Inner)
	}
	return nil
}

// Core is one control daemon.
type Core struct {
	Settings
	senderCounters
	machine.Machine
	slot    int
	clock   *schedule.Clock
	meter   *hall.Meter
	inner   *circuit.Inner
	journal *journal.Journal
	gossip  *sibling.Gossip
	senders []*sender
	shards  []*shard
	duties  []*duty
	configs *configuration.State
}

// ServicePart is the part that holds a service's engines.
func ServicePart(service string, parts int) int {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return 1 + int(hash.Sum32()%uint32(parts-1))
}

// New makes a core from checked settings.
func New(settings Settings, incarnation uint64, network circuit.Network) (*Core, error) {
	if failure := settings.Check(); failure != nil {
		return nil, failure
	}
	disk, failure := journal.Open(settings.Data, int64(settings.Rewrite)<<20)
	if failure != nil {
		return nil, failure
	}
	core := &Core{
		Settings: settings,
		Machine: machine.Machine{
			Name: settings.Place.Name, Role: machine.Core, Hall: settings.Place.Hall,
			Inner: settings.Inner.Inner, Public: settings.Place.Public, Incarnation: incarnation,
		},
		slot:    slices.Index(settings.Seeds, settings.Inner.Inner),
		clock:   schedule.NewClock(),
		meter:   hall.NewMeter(settings.Place.Hall),
		journal: disk,
	}
	core.inner = circuit.NewInner(settings.Fleet, core.meter, network)
	view := sibling.NewView(core.Machine, 8, 4, incarnation)
	core.gossip = sibling.NewGossip(view, news.NewStore(nil), core.inner, settings.Seeds)
	for _, address := range settings.Seeds {
		core.senders = append(core.senders, &sender{
			senderCounters: &core.senderCounters, inner: core.inner, clock: core.clock, self: core.slot,
			address: address, delta: settings.DeltaSpan(), queue: make(chan outgoing, 256),
		})
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
		core.shards = append(core.shards, each)
	}
	core.serveInner()
	return core, nil
}

func (core *Core) place(index int) part.Place {
	lease := core.LeaseSpan()
	return part.Place{
		Part:  index,
		Place: election.Place{Slots: len(core.Seeds), Self: core.slot, Delta: core.DeltaSpan()},
		Terms: grant.Terms{Lease: lease, Margin: lease / 20},
		Keep:  256,
		Life:  core.Incarnation,
	}
}

func (core *Core) post(context context.Context, message part.Message) {
	core.senders[message.To].send(context, message)
}

// Listeners are the two sockets of a daemon.
type Listeners struct{ Inner, Public net.Listener }

// Listen opens both sockets of a daemon.
func Listen(network circuit.Network, inner, public string) (Listeners, error) {
	listeners := Listeners{}
	var failure error
	if listeners.Inner, failure = network.Listen(inner); failure != nil {
		return listeners, failure
	}
	listeners.Public, failure = network.Listen(public)
	return listeners, failure
}

// Run serves until the context ends; its error is final.
func (core *Core) Run(parent context.Context, listeners Listeners) error {
	running, cancel := context.WithCancel(parent)
	defer cancel()
	ended := make(chan error, 3)
	var group sync.WaitGroup
	launch := func(action func() error) {
		group.Go(func() {
			if failure := action(); failure != nil {
				ended <- failure
				cancel()
			}
		})
	}
	image := core.journal.Image()
	pasts := make([]journal.Past, len(core.shards))
	for index := range core.shards {
		pasts[index] = *image.Past(index)
	}
	core.journal.Write([]journal.Record{{Kind: journal.Identity, Entry: journal.Entry{Data: []byte(core.Machine.Name)}}}, func() {})
	launch(func() error { return core.journal.Run(running) })
	for _, each := range core.senders {
		launch(func() error { each.run(running); return nil })
	}
	for index, each := range core.shards {
		launch(func() error { each.run(running, pasts[index]); return nil })
	}
	launch(func() error { return circuit.Serve(running, listeners.Inner, core.inner, schedule.Second) })
	launch(func() error { return circuit.Serve(running, listeners.Public, core.public(), schedule.Second) })
	launch(func() error { core.gossip.Run(running); return nil })
	for _, each := range core.duties {
		launch(func() error { each.run(running); return nil })
	}
	log.Info().Str("core", core.Machine.Name).Int("slot", core.slot).Bool("new", len(image.Name) == 0).Msg("core runs")
	group.Wait()
	select {
	case failure := <-ended:
		return failure
	default:
		return nil
	}
}

func (core *Core) serveInner() {
	circuit.Answer(core.inner, deliverPath, func(context context.Context, parcel *Parcel) (*link.Reading, error) {
		now := core.clock.Now()
		reading := &link.Reading{Incarnation: core.Incarnation, Clock: now}
		if parcel.From < 0 || parcel.From >= len(core.senders) {
			return nil, mishap.New(mishap.Garbage, "slot %d", parcel.From)
		}
		age, judged := parcel.Age(now, core.Incarnation)
		for _, message := range parcel.Messages {
			switch {
			case message.From != parcel.From || message.To != core.slot || message.Part < 0 || message.Part >= len(core.shards):
				core.inner.Garbage.Add(1)
			case message.Kind == part.Elect && (!judged || age > core.DeltaSpan()):
				core.Late.Add(1)
			default:
				core.Taken.Add(1)
				core.shards[message.Part].receive(context, message)
			}
		}
		return reading, nil
	})
	core.serveRouters()
	core.serveErrands()
}
