package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"coursepass/internal/consensus"
)

// ActionKind is a kind of action. Its text is part of the replay format, so it stays.
type ActionKind string

// The kinds of actions: deliveries and time, faults and their ends, and what clients and
// operators do.
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

// The replay format of an action: kind, daemon, other and an optional detail, between colons.
const (
	minActionFields = 3
	maxActionFields = 4
)

// Action is one step of a path. Its text is "kind:daemon:other", followed by ":message" or, for a
// proposal, by ":label:parent:digest".
type Action struct {
	Kind ActionKind
	// Daemon is the number of the daemon that is acted on. Other is the second daemon, the number
	// of writes that a crash leaves on disk, the direction of an isolation, or the length of a
	// stable period in δ.
	Daemon, Other int
	// Message is the name of a message in flight; Change is what a proposal asks for.
	Message string
	Change  Change
}

// String returns the action in the replay format, which ParseActions reads.
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

// ParseActions reads actions in the replay format, separated by spaces.
func ParseActions(text string) ([]Action, error) {
	var actions []Action
	for _, token := range strings.Fields(text) {
		action, err := parseAction(token)
		if err != nil {
			return nil, fmt.Errorf("action %q: %w", token, err)
		}
		actions = append(actions, action)
	}
	return actions, nil
}

func parseAction(token string) (Action, error) {
	fields := strings.SplitN(token, ":", maxActionFields)
	action := Action{Kind: ActionKind(fields[0])}
	if len(fields) < minActionFields {
		return Action{}, errors.New("too few fields")
	}
	if _, err := fmt.Sscan(fields[1], &action.Daemon); err != nil {
		return Action{}, err
	}
	if _, err := fmt.Sscan(fields[2], &action.Other); err != nil {
		return Action{}, err
	}
	if len(fields) < maxActionFields {
		return action, nil
	}
	detail := fields[maxActionFields-1]
	if action.Kind != ActionPropose {
		action.Message = detail
		return action, nil
	}
	change := &action.Change
	_, err := fmt.Sscanf(strings.ReplaceAll(detail, ":", " "), "%d %d %s", &change.Label, &change.ParentLabel, &change.Digest)
	return action, err
}

// messageKindNames are the names of messages in the replay format.
var messageKindNames = map[consensus.MessageKind]string{
	consensus.MsgElection:             "elect",
	consensus.MsgPrepare:              "prepare",
	consensus.MsgPromise:              "promise",
	consensus.MsgAppend:               "append",
	consensus.MsgAppendResponse:       "appended",
	consensus.MsgRecoveryRequest:      "ask",
	consensus.MsgRecoveryResponse:     "tell",
	consensus.MsgConfirmLeadership:    "confirm",
	consensus.MsgFetchRequest:         "fetch",
	consensus.MsgFetchResponse:        "content",
	consensus.MsgPromisePositionOnly:  "promise-position",
	consensus.MsgRecoveryPositionOnly: "tell-position",
}

// electionKindNames are the names of election messages in the replay format, by their kind.
var electionKindNames = []string{"", "ok", "start", "alert", "ping", "pong"}

// name returns the name of a message in flight. Messages that are alike have the same name.
func (e envelope) name() string {
	message := e.message
	if e.isEcho {
		return fmt.Sprintf("%d>%d.echo.%d", e.from, e.to, e.echo.PromisedTerm)
	}
	kind, exists := messageKindNames[message.Kind]
	if !exists {
		kind = fmt.Sprint("kind", message.Kind)
	}
	if message.Kind == consensus.MsgElection {
		return fmt.Sprintf("%d>%d.%s.%d", e.from, e.to, electionKindNames[message.Election.Kind], message.Election.Term)
	}
	return fmt.Sprintf("%d>%d.%s.%d.%d+%d", e.from, e.to, kind, message.Term, message.Index, len(message.Entries))
}

// messageNames returns the names of all messages in flight; the later ones of a name are numbered.
func (s *State) messageNames() []string {
	seen := map[string]int{}
	names := make([]string, len(s.inFlight))
	for index, packet := range s.inFlight {
		name := packet.name()
		names[index] = name
		if seen[name] > 0 {
			names[index] = fmt.Sprint(name, "#", seen[name])
		}
		seen[name]++
	}
	return names
}

// Apply takes a step and checks the invariants; it returns false, and changes nothing, if the
// action is not enabled now.
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

// execute takes a step that is not a fault, and passes faults on to injectFault.
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
	if daemon == other || !daemon.isRunning() || !other.isRunning() {
		return false
	}
	if s.partitions[[2]int{daemon.number, other.number}] || s.partitions[[2]int{other.number, daemon.number}] {
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

// executeClientAction starts a read or a proposal at a daemon that confirms its leadership.
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

// spendBudget takes one from a budget and reports false if it is used up.
func spendBudget(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}
