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

func (each *replica) start(founding bool) {
	place := each.fleet.Place
	each.life++
	place.Self, place.Life, place.Me = each.slot, each.life, place.Bindings.Seats[each.slot]
	past := *each.disk.Past(0)
	past.Entries = append([]journal.Entry(nil), past.Entries...)
	each.state, each.alive = configuration.NewState(), true
	member, output := part.Start(place, each.state, past, each.fleet.Now(), founding)
	each.member = member
	each.carry(output)
	life := each.life
	each.fleet.Every(20*schedule.Millisecond, func() bool {
		if each.alive && each.life == life {
			each.carry(each.member.Wake(each.fleet.Now()))
		}
		return each.life == life
	})
}

// stop ends a life; wiped, the disk goes with it.
func (each *replica) stop(wiped bool) {
	each.alive = false
	each.life++
	if wiped {
		each.disk = journal.NewImage()
	}
}

func (each *replica) carry(output part.Output) {
	for _, message := range output.Urgent {
		each.send(message)
	}
	life, records := each.life, append(output.Records, output.Later...)
	if len(records)+len(output.Held) == 0 {
		return
	}
	each.fleet.After(5*schedule.Millisecond, func() {
		if !each.alive || each.life != life {
			return
		}
		each.written += len(journal.Frame(nil, records))
		for _, record := range records {
			each.disk.Take(record)
		}
		for _, message := range output.Held {
			each.send(message)
		}
	})
}

func (each *replica) send(message part.Message) {
	fleet := each.fleet
	message.Sender = each.member.Me
	to := fleet.members[message.To]
	if to == each {
		fleet.After(0, func() { each.receive(each.life, message) })
		return
	}
	size := message.Size()
	each.largest = max(each.largest, size)
	each.sent += size + messageOverhead
	if fleet.drop != nil && fleet.drop(message) {
		return
	}
	span := schedule.Microseconds((size + messageOverhead) * 1_000_000 / fleet.rate)
	each.out = max(each.out, fleet.Now()) + span
	to.in = max(to.in, each.out+fleet.delay-span) + span
	sent, life := fleet.Now(), to.life
	fleet.After(to.in-sent, func() {
		if message.Kind != part.Elect || fleet.Now()-sent <= Delta {
			to.receive(life, message)
		}
	})
}

func (each *replica) receive(life uint64, message part.Message) {
	if each.alive && each.life == life {
		begun := threadTime()
		output := each.member.Receive(each.fleet.Now(), message)
		each.used += threadTime() - begun
		each.carry(output)
	}
}

func (fleet *replicas) leader() *replica {
	for _, each := range fleet.members {
		if each.alive && each.member.Owns() {
			return each
		}
	}
	return nil
}

// until lets time pass until something holds, and says how long that took.
func (fleet *replicas) until(most schedule.Microseconds, holds func() bool) (schedule.Microseconds, bool) {
	begun := fleet.Now()
	for fleet.Now()-begun < most {
		if holds() {
			return fleet.Now() - begun, true
		}
		fleet.World.Run(5 * schedule.Millisecond)
	}
	return fleet.Now() - begun, holds()
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
func (fleet *replicas) change(routes int) bool {
	leader := fleet.leader()
	if leader == nil {
		return false
	}
	routing, kind := largeRouting(fleet.label+1, fleet.label, 1), configuration.RoutesChange
	if fleet.label == 0 {
		routing, kind = largeRouting(1, 0, routes), configuration.Routes
	} else {
		routing.Services, routing.Bounds = nil, nil
	}
	operation := configuration.Operation{Request: configuration.Request{Kind: kind, Key: fmt.Sprint("change ", fleet.label), Routing: routing}}
	_, _, accepted, output := leader.member.Propose(fleet.Now(), configuration.Encode(operation))
	leader.carry(output)
	if accepted {
		fleet.label++
	}
	return accepted
}

func (fleet *replicas) changes(test *testing.T, count, routes int, gap schedule.Microseconds) {
	for target := fleet.label + uint64(count); fleet.label < target; {
		if _, led := fleet.until(30*schedule.Second, func() bool { return fleet.leader() != nil }); !led {
			test.Fatal("no leader")
		}
		fleet.change(routes)
		fleet.World.Run(gap)
	}
}

// caughtUp tells whether a member has what the leader has committed, and may answer.
func (each *replica) caughtUp() bool {
	_, current := each.member.Current()
	return current && !each.member.Recovering() && each.state.Label == each.fleet.label
}

// entrySize is the size of the entry that puts 350 routes in force; no entry is divided.
func entrySize() int {
	request := configuration.Request{Kind: configuration.Routes, Routing: largeRouting(1, 0, 350)}
	return len(configuration.Encode(configuration.Operation{Request: request}))
}
