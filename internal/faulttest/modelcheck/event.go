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
func (a Event) String() string {
	text := fmt.Sprintf("%s:%d:%d", a.Kind, a.Daemon, a.Other)
	if a.Message != "" {
		text += ":" + a.Message
	}
	if a.Kind == Send {
		text += fmt.Sprintf(":%d:%d:%s", a.Order.Label, a.Order.On, a.Order.Digest)
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
func (e envelope) name() string {
	message := e.message
	if e.echoes {
		return fmt.Sprintf("%d>%d.echo.%d", e.from, e.to, e.echo.Promised)
	}
	kind, known := kindNames[message.Kind]
	if !known {
		kind = fmt.Sprint("kind", message.Kind)
	}
	if message.Kind == part.Elect {
		return fmt.Sprintf("%d>%d.%s.%d", e.from, e.to, electionNames[message.Election.Kind], message.Election.Round)
	}
	return fmt.Sprintf("%d>%d.%s.%d.%d+%d", e.from, e.to, kind, message.Round, message.Index, len(message.Entries))
}

// names are the names of all messages under way, the later of two that are alike marked.
func (s *World) names() []string {
	seen := map[string]int{}
	names := make([]string, len(s.network))
	for place, each := range s.network {
		name := each.name()
		if names[place] = name; seen[name] > 0 {
			names[place] = fmt.Sprint(name, "#", seen[name])
		}
		seen[name]++
	}
	return names
}

// Apply lets an event happen; false if it can't happen now.
func (s *World) Apply(event Event) bool {
	if event.Daemon < 0 || event.Daemon >= len(s.daemons) {
		return false
	}
	if !s.happen(event, s.daemons[event.Daemon]) {
		return false
	}
	s.path = &path{event, s.path}
	s.check()
	return true
}

func (s *World) happen(event Event, daemon *daemon) bool {
	switch event.Kind {
	case Deliver, Repeat:
		return s.deliver(event)
	case Sync:
		if !s.syncable(daemon) {
			return false
		}
		s.sync(daemon)
	case Tick:
		s.Now += s.options.Delta
		s.wake()
	case Calm:
		s.calm(event.Other)
	case Send, Read:
		return s.operate(event, daemon)
	case Ask:
		other := s.daemons[event.Other%len(s.daemons)]
		if !s.asks(daemon, other) {
			return false
		}
		s.ask(daemon, other)
	default:
		return s.fail(event, daemon)
	}
	return true
}

func (s *World) syncable(daemon *daemon) bool {
	return daemon.running() && !daemon.stalled && len(daemon.pending) > 0
}

func (s *World) asks(daemon, other *daemon) bool {
	if daemon == other || !daemon.running() || !other.running() || s.cuts[[2]int{daemon.number, other.number}] || s.cuts[[2]int{other.number, daemon.number}] {
		return false
	}
	return daemon.member == nil || daemon.member.Alone(s.Now)
}

func (s *World) deliver(event Event) bool {
	place := slices.Index(s.names(), event.Message)
	if place < 0 || event.Kind == Repeat && !spend(&s.left.Repeats) {
		return false
	}
	each := s.network[place]
	if !s.deliverable(each) {
		return false
	}
	if event.Kind == Deliver {
		s.network = slices.Delete(s.network, place, place+1)
	}
	s.receive(each)
	return true
}

func (s *World) deliverable(each envelope) bool {
	return !s.daemons[each.to].frozen && !s.cuts[[2]int{each.from, each.to}]
}

func (s *World) operate(event Event, daemon *daemon) bool {
	if !daemon.running() || daemon.member == nil || !daemon.member.Confirmed(s.Now) {
		return false
	}
	if event.Kind == Read {
		if !spend(&s.left.Reads) {
			return false
		}
		s.read(daemon)
		return true
	}
	if !spend(&s.left.Orders) {
		return false
	}
	s.propose(daemon, event.Order)
	return true
}

func spend(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}
