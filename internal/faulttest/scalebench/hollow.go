package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/gossip"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/settings"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

const (
	readEvery  = 300 * schedule.Millisecond
	readBudget = 600 * schedule.Millisecond
)

// sharedAdvance makes each state once for all hollow routers: the steps and their base are
// the same for all of them, so the bytes are, too.
type sharedAdvance struct {
	lock sync.Mutex
	made map[[3]uint64][]byte
}

func (s *sharedAdvance) advance(part int, data []byte, steps []news.Step, sequence uint64) ([]byte, bool) {
	key := [3]uint64{uint64(part), steps[0].Index, sequence}
	s.lock.Lock()
	defer s.lock.Unlock()
	if made, known := s.made[key]; known {
		return made, true
	}
	made, fits := core.Advance(part, data, steps, sequence)
	if !fits {
		return nil, false
	}
	if len(s.made) > 64 {
		clear(s.made)
	}
	s.made[key] = made
	return made, true
}

// hollow is a router without callers: it reads heads, takes part in the news and the view
// of siblings, and holds the state without putting it in force.
type hollow struct {
	machine.Machine
	meter    *hall.Meter
	inner    *circuit.Inner
	gossip   *sibling.Gossip
	seeds    []string
	served   served
	sequence [2]atomic.Uint64
	heads    atomic.Int64
	soft     atomic.Int64
	clock    *schedule.Clock
	begun    schedule.Microseconds
	whole    atomic.Int64
}

func newHollow(ground Ground, number int, place string, seeds []string, shared *sharedAdvance) (*hollow, net.Listener, error) {
	name := fmt.Sprintf("hollow-%d", number)
	network := ground.Network(name)
	listener, err := network.Listen(ground.Address(name, "inner"))
	if err != nil {
		return nil, nil, err
	}
	made := &hollow{
		Machine: machine.Machine{
			Name: name, Role: machine.Router, Hall: place, Inner: listener.Addr().String(),
			Public: listener.Addr().String(), Incarnation: setting.Incarnation(),
		},
		meter: hall.NewMeter(place), seeds: seeds, clock: schedule.NewClock(),
	}
	made.begun = made.clock.Now()
	made.inner = circuit.NewInner("coursepass", made.meter, network)
	view := sibling.NewView(made.Machine, 8, 4, made.Incarnation)
	made.gossip = sibling.NewGossip(view, news.NewStore(shared.advance, made.take), made.inner, seeds)
	return made, counting(listener, &made.served), nil
}

func (s *hollow) take(item news.Item) {
	if item.Part < len(s.sequence) {
		s.sequence[item.Part].Store(item.Sequence)
	}
	if s.sequence[0].Load() > 0 && s.sequence[1].Load() > 0 {
		s.whole.CompareAndSwap(0, int64(s.clock.Now()-s.begun))
	}
}

func (s *hollow) run(running context.Context, listener net.Listener, group *sync.WaitGroup) {
	group.Go(func() { _ = circuit.Serve(running, listener, s.inner, schedule.Millisecond) })
	group.Go(func() { s.gossip.Run(running) })
	group.Go(func() {
		turn := 0
		step := func() {
			turn++
			soft := turn%3 == 1
			for _, seed := range s.seeds {
				group.Go(func() { s.read(running, seed, soft) })
			}
		}
		step()
		schedule.Every(running, readEvery, step)
	})
}

func (s *hollow) read(running context.Context, seed string, soft bool) {
	question := &core.HeadsQuestion{From: s.Machine, Soft: soft}
	answer, _ := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](running, s.inner, seed, core.HeadsPath, readBudget, question)
	if answer == nil {
		return
	}
	s.heads.Add(1)
	s.soft.Add(int64(len(answer.Soft)))
	for _, head := range answer.Parts {
		if item, known := s.gossip.Item(head.Part); head.Current && (!known || item.Sequence < head.Sequence) {
			s.gossip.Mend(running, seed)
			return
		}
	}
}

// served counts what comes in and goes out over circuits that others have begun.
type served struct{ circuits, bytes atomic.Int64 }

type countingListener struct {
	net.Listener
	served *served
}

type countingCircuit struct {
	net.Conn
	served *served
}

func counting(listener net.Listener, served *served) net.Listener {
	return countingListener{listener, served}
}

// Accept counts a circuit.
func (c countingListener) Accept() (net.Conn, error) {
	accepted, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.served.circuits.Add(1)
	return countingCircuit{accepted, c.served}, nil
}

// Read counts what comes in.
func (c countingCircuit) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.served.bytes.Add(int64(count))
	return count, err
}

// Write counts what goes out.
func (c countingCircuit) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.served.bytes.Add(int64(count))
	return count, err
}
