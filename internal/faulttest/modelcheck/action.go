package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"coursepass/internal/consensus"
)

// ActionKind says what happens.
type ActionKind string

// The kinds of events.
const (
	ActionDeliver         ActionKind = "deliver"
	ActionDuplicate       ActionKind = "repeat"
	ActionSync            ActionKind = "sync"
	ActionTick            ActionKind = "tick"
	ActionStabilize       ActionKind = "calm"
	ActionCrash           ActionKind = "crash"
	ActionRestart         ActionKind = "restart"
	ActionWipe            ActionKind = "wipe"
	ActionFreeze          ActionKind = "freeze"
	ActionThaw            ActionKind = "thaw"
	ActionStallDisk       ActionKind = "stall"
	ActionUnstallDisk     ActionKind = "unstall"
	ActionPartition       ActionKind = "cut"
	ActionIsolate         ActionKind = "isolate"
	ActionHeal            ActionKind = "heal"
	ActionPropose         ActionKind = "order"
	ActionRead            ActionKind = "read"
	ActionReplace         ActionKind = "seek"
	ActionForceReplace    ActionKind = "override"
	ActionQueryMembership ActionKind = "ask"
)

// Action is one step of a path. Its text is "kind:daemon:other:message", with "-" for
// what it does not need.
type Action struct {
	Kind ActionKind
	// Daemon is whom it happens to; Other is the second daemon, the number of batches that
	// a crash leaves, or how many δ a calm lasts.
	Daemon, Other int
	// Message names a message under way; Order is what an operator sends.
	Message string
	Change  Change
}

// String is the event's text, from which ParseEvents makes it again.
func (a Action) String() string {
	text := fmt.Sprintf("%s:%d:%d", a.Kind, a.Daemon, a.Other)
	if a.Message != "" {
		text += ":" + a.Message
	}
	if a.Kind == ActionPropose {
		text += fmt.Sprintf(":%d:%d:%s", a.Change.Label, a.Change.ParentLabel, a.Change.Digest)
	}
	return text
}

// ParseActions reads events that stand between spaces.
func ParseActions(text string) ([]Action, error) {
	var actions []Action
	for _, token := range strings.Fields(text) {
		fields := strings.SplitN(token, ":", 4)
		action := Action{Kind: ActionKind(fields[0])}
		if len(fields) < 3 {
			return nil, fmt.Errorf("event %q has too few fields", token)
		}
		if _, err := fmt.Sscan(fields[1], &action.Daemon); err != nil {
			return nil, fmt.Errorf("event %q: %w", token, err)
		}
		if _, err := fmt.Sscan(fields[2], &action.Other); err != nil {
			return nil, fmt.Errorf("event %q: %w", token, err)
		}
		if len(fields) == 4 && action.Kind == ActionPropose {
			if _, err := fmt.Sscanf(strings.ReplaceAll(fields[3], ":", " "), "%d %d %s", &action.Change.Label, &action.Change.ParentLabel, &action.Change.Digest); err != nil {
				return nil, fmt.Errorf("event %q: %w", token, err)
			}
		} else if len(fields) == 4 {
			action.Message = fields[3]
		}
		actions = append(actions, action)
	}
	return actions, nil
}

var messageKindNames = map[consensus.MessageKind]string{
	consensus.MsgElection: "elect", consensus.MsgPrepare: "prepare", consensus.MsgPromise: "promise", consensus.MsgAppend: "append", consensus.MsgAppendResponse: "appended",
	consensus.MsgRecoveryRequest: "ask", consensus.MsgRecoveryResponse: "tell", consensus.MsgConfirmLeadership: "confirm", consensus.MsgFetchRequest: "fetch", consensus.MsgFetchResponse: "content",
	consensus.MsgPromisePositionOnly: "promise-position", consensus.MsgRecoveryPositionOnly: "tell-position",
}

var electionKindNames = []string{"", "ok", "start", "alert", "ping", "pong"}

// name tells a message from others under way, but for those that are alike.
func (e envelope) name() string {
	message := e.message
	if e.isEcho {
		return fmt.Sprintf("%d>%d.echo.%d", e.from, e.to, e.echo.Promised)
	}
	kind, exists := messageKindNames[message.Kind]
	if !exists {
		kind = fmt.Sprint("kind", message.Kind)
	}
	if message.Kind == consensus.MsgElection {
		return fmt.Sprintf("%d>%d.%s.%d", e.from, e.to, electionKindNames[message.Election.Kind], message.Election.Round)
	}
	return fmt.Sprintf("%d>%d.%s.%d.%d+%d", e.from, e.to, kind, message.Round, message.Index, len(message.Entries))
}

// messageNames are the names of all messages under way, the later of two that are alike marked.
func (s *State) messageNames() []string {
	seen := map[string]int{}
	names := make([]string, len(s.inFlight))
	for index, packet := range s.inFlight {
		name := packet.name()
		if names[index] = name; seen[name] > 0 {
			names[index] = fmt.Sprint(name, "#", seen[name])
		}
		seen[name]++
	}
	return names
}

// Apply lets an event happen; false if it can't happen now.
func (s *State) Apply(action Action) bool {
	if action.Daemon < 0 || action.Daemon >= len(s.daemons) {
		return false
	}
	if !s.execute(action, s.daemons[action.Daemon]) {
		return false
	}
	s.lastStep = &pathStep{action, s.lastStep}
	s.checkInvariants()
	return true
}

func (s *State) execute(action Action, daemon *daemonState) bool {
	switch action.Kind {
	case ActionDeliver, ActionDuplicate:
		return s.deliverMessage(action)
	case ActionSync:
		if !s.canSync(daemon) {
			return false
		}
		s.syncDisk(daemon)
	case ActionTick:
		s.Now += s.options.Delta
		s.wakeReplicas()
	case ActionStabilize:
		s.stabilize(action.Other)
	case ActionPropose, ActionRead:
		return s.executeClientAction(action, daemon)
	case ActionQueryMembership:
		other := s.daemons[action.Other%len(s.daemons)]
		if !s.canQueryMembership(daemon, other) {
			return false
		}
		s.queryMembership(daemon, other)
	default:
		return s.injectFault(action, daemon)
	}
	return true
}

func (s *State) canSync(daemon *daemonState) bool {
	return daemon.isRunning() && !daemon.diskStalled && len(daemon.pendingWrites) > 0
}

func (s *State) canQueryMembership(daemon, other *daemonState) bool {
	if daemon == other || !daemon.isRunning() || !other.isRunning() || s.partitions[[2]int{daemon.number, other.number}] || s.partitions[[2]int{other.number, daemon.number}] {
		return false
	}
	return daemon.replica == nil || daemon.replica.MembershipUncertain(s.Now)
}

func (s *State) deliverMessage(action Action) bool {
	index := slices.Index(s.messageNames(), action.Message)
	if index < 0 || action.Kind == ActionDuplicate && !spendBudget(&s.remainingBudget.Duplicates) {
		return false
	}
	packet := s.inFlight[index]
	if !s.isDeliverable(packet) {
		return false
	}
	if action.Kind == ActionDeliver {
		s.inFlight = slices.Delete(s.inFlight, index, index+1)
	}
	s.receiveMessage(packet)
	return true
}

func (s *State) isDeliverable(packet envelope) bool {
	return !s.daemons[packet.to].frozen && !s.partitions[[2]int{packet.from, packet.to}]
}

func (s *State) executeClientAction(action Action, daemon *daemonState) bool {
	if !daemon.isRunning() || daemon.replica == nil || !daemon.replica.LeadershipConfirmed(s.Now) {
		return false
	}
	if action.Kind == ActionRead {
		if !spendBudget(&s.remainingBudget.Reads) {
			return false
		}
		s.beginRead(daemon)
		return true
	}
	if !spendBudget(&s.remainingBudget.Proposals) {
		return false
	}
	s.propose(daemon, action.Change)
	return true
}

func spendBudget(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}
