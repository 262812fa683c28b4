package simulation

import "coursepass/internal/clock"

// Network delivers messages between numbered hosts in virtual time.
type Network struct {
	*Simulator
	MinLatency, MaxLatency clock.Microseconds
	// LossRate is the probability that a message is lost.
	LossRate     float64
	MessagesSent int
	// partitioned and linkDelays are by sender and receiver.
	partitioned map[[2]int]bool
	linkDelays  map[[2]int]clock.Microseconds
}

// NewNetwork makes a network with latencies between two durations.
func NewNetwork(simulator *Simulator, low, high clock.Microseconds) *Network {
	return &Network{
		Simulator:   simulator,
		MinLatency:  low,
		MaxLatency:  high,
		partitioned: map[[2]int]bool{},
		linkDelays:  map[[2]int]clock.Microseconds{},
	}
}

// Partition loses all messages from one host to another, in this direction only.
func (n *Network) Partition(from, to int) { n.partitioned[[2]int{from, to}] = true }

// DelayLink adds a delay to the messages from one host to another.
func (n *Network) DelayLink(from, to int, delay clock.Microseconds) {
	n.linkDelays[[2]int{from, to}] = delay
}

// Heal ends all partitions, delays and losses.
func (n *Network) Heal() {
	clear(n.partitioned)
	clear(n.linkDelays)
	n.LossRate = 0
}

// Isolate partitions a host from all others of a count, in both directions.
func (n *Network) Isolate(host, count int) {
	for other := range count {
		if other != host {
			n.Partition(host, other)
			n.Partition(other, host)
		}
	}
}

// Send calls deliver after the latency of the link. A message is lost at random, or if the link is
// partitioned when it is sent or when it would arrive.
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
