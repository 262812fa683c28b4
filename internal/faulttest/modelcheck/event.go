package explore

import (
	"fmt"
	"slices"
	"strings"

	"coursepass/internal/consensus"
)

// EventKind says what happens.
type EventKind string

// The kinds of events.
const (
	Deliver  EventKind = "deliver"
	Repeat   EventKind = "repeat"
	Sync     EventKind = "sync"
	Tick     EventKind = "tick"
	Calm     EventKind = "calm"
	Crash    EventKind = "crash"
	Restart  EventKind = "restart"
	Wipe     EventKind = "wipe"
	Freeze   EventKind = "freeze"
	Thaw     EventKind = "thaw"
	Stall    EventKind = "stall"
	Unstall  EventKind = "unstall"
	Cut      EventKind = "cut"
	Isolate  EventKind = "isolate"
	Heal     EventKind = "heal"
	Send     EventKind = "order"
	Read     EventKind = "read"
	Seek     EventKind = "seek"
	Override EventKind = "override"
	Ask      EventKind = "ask"
)

// Event is one step of a path. Its text is "kind:daemon:other:message", with "-" for
// what it does not need.
type Event struct {
	Kind EventKind
	// Daemon is whom it happens to; Other is the second daemon, the number of batches that
	// a crash leaves, or how many δ a calm lasts.
	Daemon, Other int
	// Message names a message under way; Order is what an operator sends.
	Message string
	Order   Order
}

// String is the event's text, from which ParseEvents makes it again.
func (event Event) String() string {
	text := fmt.Sprintf("%s:%d:%d", event.Kind, event.Daemon, event.Other)
	if event.Message != "" {
		text += ":" + event.Message
	}
	if event.Kind == Send {
		text += fmt.Sprintf(":%d:%d:%s", event.Order.Label, event.Order.On, event.Order.Digest)
	}
	return text
}

// ParseEvents reads events that stand between spaces.
func ParseEvents(text string) ([]Event, error) {
	var events []Event
	for _, word := range strings.Fields(text) {
		fields := strings.SplitN(word, ":", 4)
		event := Event{Kind: EventKind(fields[0])}
		if len(fields) < 3 {
			return nil, fmt.Errorf("event %q has too few fields", word)
		}
		if _, err := fmt.Sscan(fields[1], &event.Daemon); err != nil {
			return nil, fmt.Errorf("event %q: %w", word, err)
		}
		if _, err := fmt.Sscan(fields[2], &event.Other); err != nil {
			return nil, fmt.Errorf("event %q: %w", word, err)
		}
		if len(fields) == 4 && event.Kind == Send {
			if _, err := fmt.Sscanf(strings.ReplaceAll(fields[3], ":", " "), "%d %d %s", &event.Order.Label, &event.Order.On, &event.Order.Digest); err != nil {
				return nil, fmt.Errorf("event %q: %w", word, err)
			}
		} else if len(fields) == 4 {
			event.Message = fields[3]
		}
		events = append(events, event)
	}
	return events, nil
}

var kindNames = map[part.Kind]string{
	part.Elect: "elect", part.Prepare: "prepare", part.Promise: "promise", part.Append: "append", part.Appended: "appended",
	part.Ask: "ask", part.Tell: "tell", part.Confirm: "confirm", part.Fetch: "fetch", part.Content: "content",
	part.PromisePosition: "promise-position", part.TellPosition: "tell-position",
}

var electionNames = []string{"", "ok", "start", "alert", "ping", "pong"}

// name tells a message from others under way, but for those that are alike.
func (each envelope) name() string {
	message := each.message
	if each.echoes {
		return fmt.Sprintf("%d>%d.echo.%d", each.from, each.to, each.echo.Promised)
	}
	kind, known := kindNames[message.Kind]
	if !known {
		kind = fmt.Sprint("kind", message.Kind)
	}
	if message.Kind == part.Elect {
		return fmt.Sprintf("%d>%d.%s.%d", each.from, each.to, electionNames[message.Election.Kind], message.Election.Round)
	}
	return fmt.Sprintf("%d>%d.%s.%d.%d+%d", each.from, each.to, kind, message.Round, message.Index, len(message.Entries))
}

// names are the names of all messages under way, the later of two that are alike marked.
func (world *World) names() []string {
	seen := map[string]int{}
	names := make([]string, len(world.network))
	for place, each := range world.network {
		name := each.name()
		if names[place] = name; seen[name] > 0 {
			names[place] = fmt.Sprint(name, "#", seen[name])
		}
		seen[name]++
	}
	return names
}

// Apply lets an event happen; false if it can't happen now.
func (world *World) Apply(event Event) bool {
	if event.Daemon < 0 || event.Daemon >= len(world.daemons) {
		return false
	}
	if !world.happen(event, world.daemons[event.Daemon]) {
		return false
	}
	world.path = &path{event, world.path}
	world.check()
	return true
}

func (world *World) happen(event Event, daemon *daemon) bool {
	switch event.Kind {
	case Deliver, Repeat:
		return world.deliver(event)
	case Sync:
		if !world.syncable(daemon) {
			return false
		}
		world.sync(daemon)
	case Tick:
		world.Now += world.options.Delta
		world.wake()
	case Calm:
		world.calm(event.Other)
	case Send, Read:
		return world.operate(event, daemon)
	case Ask:
		other := world.daemons[event.Other%len(world.daemons)]
		if !world.asks(daemon, other) {
			return false
		}
		world.ask(daemon, other)
	default:
		return world.fail(event, daemon)
	}
	return true
}

func (world *World) syncable(daemon *daemon) bool {
	return daemon.running() && !daemon.stalled && len(daemon.pending) > 0
}

func (world *World) asks(daemon, other *daemon) bool {
	if daemon == other || !daemon.running() || !other.running() || world.cuts[[2]int{daemon.number, other.number}] || world.cuts[[2]int{other.number, daemon.number}] {
		return false
	}
	return daemon.member == nil || daemon.member.Alone(world.Now)
}

func (world *World) deliver(event Event) bool {
	place := slices.Index(world.names(), event.Message)
	if place < 0 || event.Kind == Repeat && !spend(&world.left.Repeats) {
		return false
	}
	each := world.network[place]
	if !world.deliverable(each) {
		return false
	}
	if event.Kind == Deliver {
		world.network = slices.Delete(world.network, place, place+1)
	}
	world.receive(each)
	return true
}

func (world *World) deliverable(each envelope) bool {
	return !world.daemons[each.to].frozen && !world.cuts[[2]int{each.from, each.to}]
}

func (world *World) operate(event Event, daemon *daemon) bool {
	if !daemon.running() || daemon.member == nil || !daemon.member.Confirmed(world.Now) {
		return false
	}
	if event.Kind == Read {
		if !spend(&world.left.Reads) {
			return false
		}
		world.read(daemon)
		return true
	}
	if !spend(&world.left.Orders) {
		return false
	}
	world.propose(daemon, event.Order)
	return true
}

func spend(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
