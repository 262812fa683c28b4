package simulation

import "coursepass/internal/clock"

// Network carries messages between numbered machines.
type Network struct {
	*World
	Low, High schedule.Microseconds
	Loss      float64
	cut       map[[2]int]bool
	slow      map[[2]int]schedule.Microseconds
	Sent      int
}

// NewNetwork delivers within the two spans when nothing is wrong.
func NewNetwork(world *World, low, high schedule.Microseconds) *Network {
	return &Network{World: world, Low: low, High: high, cut: map[[2]int]bool{}, slow: map[[2]int]schedule.Microseconds{}}
}

// Cut breaks the way from one machine to another, one way only.
func (network *Network) Cut(from, to int) { network.cut[[2]int{from, to}] = true }

// Slow adds a delay to the way from one machine to another.
func (network *Network) Slow(from, to int, delay schedule.Microseconds) {
	network.slow[[2]int{from, to}] = delay
}

// Heal mends all ways.
func (network *Network) Heal() {
	clear(network.cut)
	clear(network.slow)
	network.Loss = 0
}

// Isolate cuts a machine off from all others, both ways.
func (network *Network) Isolate(machine, count int) {
	for other := range count {
		if other != machine {
			network.Cut(machine, other)
			network.Cut(other, machine)
		}
	}
}

// Send delivers later, or never.
func (network *Network) Send(from, to int, deliver func()) {
	network.Sent++
	way := [2]int{from, to}
	if network.cut[way] || network.Chance.Float64() < network.Loss {
		return
	}
	network.After(network.Between(network.Low, network.High)+network.slow[way], func() {
		if !network.cut[way] {
			deliver()
		}
	})
}
