package simulation

import (
	"fmt"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// replica is one member of a group that keeps a configuration, on a link of bounded rate.
type replica struct {
	fleet  *replicas
	slot   int
	life   uint64
	alive  bool
	member *part.Member
	state  *configuration.State
	disk   *journal.Image
	// busy is until when the link is taken, out and in.
	out, in schedule.Microseconds
	sent    int
	// largest is the largest message that was sent, in bytes of content.
	largest int
	// written are the bytes that went to the disk, used the processor time of the member.
	written int
	used    time.Duration
}

type replicas struct {
	*World
	part.Place
	members []*replica
	// rate is what a link carries, in bytes a second; delay is that of an empty message.
	rate  int
	delay schedule.Microseconds
	label uint64
	// drop loses messages of a kind.
	drop func(part.Message) bool
}

const messageOverhead = 150

func newReplicas(seed uint64, slots, rate int, delay schedule.Microseconds) *replicas {
	fleet := &replicas{World: NewWorld(seed), rate: rate, delay: delay}
	fleet.Place = part.Place{Place: election.Place{Slots: slots, Delta: Delta}, Terms: Terms, Keep: 256}
	for slot := range slots {
		name := fmt.Sprint(slot)
		fleet.Bindings.Seats = append(fleet.Bindings.Seats, part.Seat{Identity: name, Name: name, Address: name})
	}
	for slot := range slots {
		each := &replica{fleet: fleet, slot: slot, disk: journal.NewImage()}
		fleet.members = append(fleet.members, each)
	}
	for _, each := range fleet.members {
		each.start(true)
	}
	return fleet
}

func (c *replica) start(founding bool) {
	place := c.fleet.Place
	c.life++
	place.Self, place.Life, place.Me = c.slot, c.life, place.Bindings.Seats[c.slot]
	past := *c.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	c.state, c.alive = configuration.NewState(), true
	member, output := part.Start(place, c.state, past, c.fleet.Now(), founding)
	c.member = member
	c.carry(output)
	life := c.life
	c.fleet.Every(20*schedule.Millisecond, func() bool {
		if c.alive && c.life == life {
			c.carry(c.member.Wake(c.fleet.Now()))
		}
		return c.life == life
	})
}

// stop ends a life; wiped, the disk goes with it.
func (c *replica) stop(wiped bool) {
	c.alive = false
	c.life++
	if wiped {
		c.disk = journal.NewImage()
	}
}

func (c *replica) carry(output part.Output) {
	for _, message := range output.Urgent {
		c.send(message)
	}
	life, records := c.life, append(output.Records, output.Later...)
	if len(records)+len(output.Held) == 0 {
		return
	}
	c.fleet.After(5*schedule.Millisecond, func() {
		if !c.alive || c.life != life {
			return
		}
		c.written += len(journal.Frame(nil, records))
		for _, record := range records {
			c.disk.Take(record)
		}
		for _, message := range output.Held {
			c.send(message)
		}
	})
}

func (c *replica) send(message part.Message) {
	fleet := c.fleet
	message.Sender = c.member.Me
	to := fleet.members[message.To]
	if to == c {
		fleet.After(0, func() { c.receive(c.life, message) })
		return
	}
	size := message.Size()
	c.largest = max(c.largest, size)
	c.sent += size + messageOverhead
	if fleet.drop != nil && fleet.drop(message) {
		return
	}
	span := schedule.Microseconds((size + messageOverhead) * 1_000_000 / fleet.rate)
	c.out = max(c.out, fleet.Now()) + span
	to.in = max(to.in, c.out+fleet.delay-span) + span
	sent, life := fleet.Now(), to.life
	fleet.After(to.in-sent, func() {
		if message.Kind != part.Elect || fleet.Now()-sent <= Delta {
			to.receive(life, message)
		}
	})
}

func (c *replica) receive(life uint64, message part.Message) {
	if c.alive && c.life == life {
		begun := threadTime()
		output := c.member.Receive(c.fleet.Now(), message)
		c.used += threadTime() - begun
		c.carry(output)
	}
}

func (r *replicas) leader() *replica {
	for _, each := range r.members {
		if each.alive && each.member.Owns() {
			return each
		}
	}
	return nil
}

// until lets time pass until something holds, and says how long that took.
func (r *replicas) until(most schedule.Microseconds, holds func() bool) (schedule.Microseconds, bool) {
	begun := r.Now()
	for r.Now()-begun < most {
		if holds() {
			return r.Now() - begun, true
		}
		r.World.Run(5 * schedule.Millisecond)
	}
	return r.Now() - begun, holds()
}

func largeRouting(label, on uint64, routes int) *configuration.Routing {
	routing := &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{},
		Services: map[string]route.Service{"s": {Name: "s"}}, Bounds: &route.Bounds{}, Items: map[string][]configuration.Item{},
	}
	for number := range routes {
		name := fmt.Sprint("route-", number)
		routing.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.Stream, GiveUp: schedule.Second, Shares: []route.Share{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"give-up":1000,"label":%d}`, name, name, label)
		routing.Items["routes"] = append(routing.Items["routes"], configuration.Item{Name: name, Text: text})
	}
	return routing
}

// change puts the next label in force: all routes first, one of them each time after that.
func (r *replicas) change(routes int) bool {
	leader := r.leader()
	if leader == nil {
		return false
	}
	routing, kind := largeRouting(r.label+1, r.label, 1), configuration.RoutesChange
	if r.label == 0 {
		routing, kind = largeRouting(1, 0, routes), configuration.Routes
	} else {
		routing.Services, routing.Bounds = nil, nil
	}
	operation := configuration.Operation{Request: configuration.Request{Kind: kind, Key: fmt.Sprint("change ", r.label), Routing: routing}}
	_, _, accepted, output := leader.member.Propose(r.Now(), configuration.Encode(operation))
	leader.carry(output)
	if accepted {
		r.label++
	}
	return accepted
}

func (r *replicas) changes(test *testing.T, count, routes int, gap schedule.Microseconds) {
	for target := r.label + uint64(count); r.label < target; {
		if _, led := r.until(30*schedule.Second, func() bool { return r.leader() != nil }); !led {
			test.Fatal("no leader")
		}
		r.change(routes)
		r.World.Run(gap)
	}
}

// caughtUp tells whether a member has what the leader has committed, and may answer.
func (c *replica) caughtUp() bool {
	_, current := c.member.Current()
	return current && !c.member.Recovering() && c.state.Label == c.fleet.label
}

// entrySize is the size of the entry that puts 350 routes in force; no entry is divided.
func entrySize() int {
	request := configuration.Request{Kind: configuration.Routes, Routing: largeRouting(1, 0, 350)}
	return len(configuration.Encode(configuration.Operation{Request: request}))
}
