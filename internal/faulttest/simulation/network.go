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
func (n *Network) Cut(from, to int) { n.cut[[2]int{from, to}] = true }

// Slow adds a delay to the way from one machine to another.
func (n *Network) Slow(from, to int, delay schedule.Microseconds) {
	n.slow[[2]int{from, to}] = delay
}

// Heal mends all ways.
func (n *Network) Heal() {
	clear(n.cut)
	clear(n.slow)
	n.Loss = 0
}

// Isolate cuts a machine off from all others, both ways.
func (n *Network) Isolate(machine, count int) {
	for other := range count {
		if other != machine {
			n.Cut(machine, other)
			n.Cut(other, machine)
		}
	}
}

// Send delivers later, or never.
func (n *Network) Send(from, to int, deliver func()) {
	n.Sent++
	way := [2]int{from, to}
	if n.cut[way] || n.Chance.Float64() < n.Loss {
		return
	}
	n.After(n.Between(n.Low, n.High)+n.slow[way], func() {
		if !n.cut[way] {
			deliver()
		}
	})
}
