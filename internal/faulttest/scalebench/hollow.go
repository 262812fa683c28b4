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

func (shared *sharedAdvance) advance(part int, data []byte, steps []news.Step, sequence uint64) ([]byte, bool) {
	key := [3]uint64{uint64(part), steps[0].Index, sequence}
	shared.lock.Lock()
	defer shared.lock.Unlock()
	if made, known := shared.made[key]; known {
		return made, true
	}
	made, fits := core.Advance(part, data, steps, sequence)
	if !fits {
		return nil, false
	}
	if len(shared.made) > 64 {
		clear(shared.made)
	}
	shared.made[key] = made
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

func (hollow *hollow) take(item news.Item) {
	if item.Part < len(hollow.sequence) {
		hollow.sequence[item.Part].Store(item.Sequence)
	}
	if hollow.sequence[0].Load() > 0 && hollow.sequence[1].Load() > 0 {
		hollow.whole.CompareAndSwap(0, int64(hollow.clock.Now()-hollow.begun))
	}
}

func (hollow *hollow) run(running context.Context, listener net.Listener, group *sync.WaitGroup) {
	group.Go(func() { _ = circuit.Serve(running, listener, hollow.inner, schedule.Millisecond) })
	group.Go(func() { hollow.gossip.Run(running) })
	group.Go(func() {
		turn := 0
		step := func() {
			turn++
			soft := turn%3 == 1
			for _, seed := range hollow.seeds {
				group.Go(func() { hollow.read(running, seed, soft) })
			}
		}
		step()
		schedule.Every(running, readEvery, step)
	})
}

func (hollow *hollow) read(running context.Context, seed string, soft bool) {
	question := &core.HeadsQuestion{From: hollow.Machine, Soft: soft}
	answer, _ := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](running, hollow.inner, seed, core.HeadsPath, readBudget, question)
	if answer == nil {
		return
	}
	hollow.heads.Add(1)
	hollow.soft.Add(int64(len(answer.Soft)))
	for _, head := range answer.Parts {
		if item, known := hollow.gossip.Item(head.Part); head.Current && (!known || item.Sequence < head.Sequence) {
			hollow.gossip.Mend(running, seed)
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
func (listener countingListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	listener.served.circuits.Add(1)
	return countingCircuit{accepted, listener.served}, nil
}

// Read counts what comes in.
func (circuit countingCircuit) Read(buffer []byte) (int, error) {
	count, err := circuit.Conn.Read(buffer)
	circuit.served.bytes.Add(int64(count))
	return count, err
}

// Write counts what goes out.
func (circuit countingCircuit) Write(buffer []byte) (int, error) {
	count, err := circuit.Conn.Write(buffer)
	circuit.served.bytes.Add(int64(count))
	return count, err
}
