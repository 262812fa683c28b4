package simulation

import "coursepass/internal/clock"

// Network carries messages between numbered machines.
type Network struct {
	*Simulator
	MinLatency, MaxLatency clock.Microseconds
	LossRate               float64
	partitioned            map[[2]int]bool
	linkDelays             map[[2]int]clock.Microseconds
	MessagesSent           int
}

// NewNetwork delivers within the two spans when nothing is wrong.
func NewNetwork(simulator *Simulator, low, high clock.Microseconds) *Network {
	return &Network{Simulator: simulator, MinLatency: low, MaxLatency: high, partitioned: map[[2]int]bool{}, linkDelays: map[[2]int]clock.Microseconds{}}
}

// Partition breaks the way from one machine to another, one way only.
func (n *Network) Partition(from, to int) { n.partitioned[[2]int{from, to}] = true }

// DelayLink adds a delay to the way from one machine to another.
func (n *Network) DelayLink(from, to int, delay clock.Microseconds) {
	n.linkDelays[[2]int{from, to}] = delay
}

// Heal mends all ways.
func (n *Network) Heal() {
	clear(n.partitioned)
	clear(n.linkDelays)
	n.LossRate = 0
}

// Isolate cuts a machine off from all others, both ways.
func (n *Network) Isolate(host, count int) {
	for other := range count {
		if other != host {
			n.Partition(host, other)
			n.Partition(other, host)
		}
	}
}

// Send delivers later, or never.
func (n *Network) Send(from, to int, deliver func()) {
	n.MessagesSent++
	link := [2]int{from, to}
	if n.partitioned[link] || n.Random.Float64() < n.LossRate {
		return
	}
	n.After(n.RandomBetween(n.MinLatency, n.MaxLatency)+n.linkDelays[link], func() {
		if !n.partitioned[link] {
			deliver()
		}
	})
}
