package modelcheck

import (
	"fmt"
	"hash/maphash"
	"math/bits"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// acknowledgement is an answered result.
type acknowledgement struct {
	logPosition
	version *version
	// laggingSlots are the slots that have called themselves current since without it, by the
	// epoch of their bindings.
	laggingSlots map[uint64]uint32
}

// logEntry is what stands at a place of a log.
type logEntry struct {
	term     uint64
	dataHash uint64
}

// leaseHolder is who holds the lease of a round.
type leaseHolder struct {
	daemon      int
	incarnation uint64
}

// invariantChecker are the observers: what they note is never read by the code under test.
type invariantChecker struct {
	entryHashes       map[logPosition]uint64
	committedEntries  map[uint64]logEntry
	acknowledgements  []acknowledgement
	leaseHolderOfTerm map[uint64]leaseHolder
	changeOfLabel     map[uint64]string
	changeOfParent    map[uint64]string
	// highestLeaseTerm is the highest round that has given orders.
	highestLeaseTerm uint64
	// longestHistory is the longest history that any replica has applied.
	longestHistory *version
	lastHeard      map[[2]int]clock.Microseconds
	// lastQuorumContact are the last contacts of each daemon with a majority.
	lastQuorumContact map[int]clock.Microseconds
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{
		entryHashes: map[logPosition]uint64{}, committedEntries: map[uint64]logEntry{}, leaseHolderOfTerm: map[uint64]leaseHolder{},
		changeOfLabel: map[uint64]string{}, changeOfParent: map[uint64]string{}, lastHeard: map[[2]int]clock.Microseconds{}, lastQuorumContact: map[int]clock.Microseconds{},
	}
}

var hashSeed = maphash.MakeSeed()

func (s *State) reportViolation(format string, values ...any) {
	if len(s.Violations) < 4 {
		s.Violations = append(s.Violations, fmt.Sprintf(format, values...))
	}
}

// recordContact notes who has heard whom, and the contact with a majority that this makes by the
// bindings of that moment: a later change of seats does not undo it.
func (s *State) recordContact(to *daemonState, packet envelope) {
	link := [2]int{packet.from, packet.to}
	s.checker.lastHeard[link] = max(s.checker.lastHeard[link], packet.sentAt)
	s.checker.lastQuorumContact[to.number] = max(s.checker.lastQuorumContact[to.number], s.quorumContact(to))
}

// checkInvariants has all observers look at a state.
func (s *State) checkInvariants() {
	leaseDaemon := -1
	for _, daemon := range s.daemons {
		if daemon.crashed || daemon.replica == nil {
			continue
		}
		s.checkLog(daemon)
		s.checkHistory(daemon)
		s.checkLeader(daemon)
		if s.checkLease(daemon) {
			if leaseDaemon >= 0 {
				s.reportViolation("leases overlap: daemons %d and %d both give orders", leaseDaemon, daemon.number)
			}
			leaseDaemon = daemon.number
		}
	}
	s.checkCurrentSlots()
}

// checkLog: one log for each round, and committed entries stay.
func (s *State) checkLog(daemon *daemonState) {
	member := daemon.replica
	last, _ := member.LastPosition()
	commit, _ := member.CommitIndex()
	for index := member.Snapshot.Index + 1; index <= last; index++ {
		logged, exists := member.Entry(index)
		if !exists {
			continue
		}
		data := maphash.Bytes(hashSeed, logged.Data)
		position := logPosition{index, logged.Round}
		if expected, seen := s.checker.entryHashes[position]; seen && expected != data {
			s.reportViolation("two entries at index %d of round %d, one at daemon %d", index, logged.Round, daemon.number)
		}
		s.checker.entryHashes[position] = data
		if index > commit {
			continue
		}
		if expected, seen := s.checker.committedEntries[index]; seen && expected != (logEntry{logged.Round, data}) {
			s.reportViolation("daemon %d committed another entry at index %d: of round %d, not %d", daemon.number, index, logged.Round, expected.term)
		}
		s.checker.committedEntries[index] = logEntry{logged.Round, data}
	}
}

// checkHistory: all applied states are of one history, in which each label and each base
// was taken at most once.
func (s *State) checkHistory(daemon *daemonState) {
	applied := daemon.stateMachine.version
	if s.checker.longestHistory == nil || applied.contains(s.checker.longestHistory) {
		s.checker.longestHistory = applied
	} else if !s.checker.longestHistory.contains(applied) {
		s.reportViolation("daemon %d has applied another history", daemon.number)
	}
}

// recordAcceptedChange notes that an order was answered as in force.
func (s *State) recordAcceptedChange(change Change) {
	content := change.identity()
	if expected, seen := s.checker.changeOfLabel[change.Label]; seen && expected != content {
		s.reportViolation("label %d was accepted twice: %s and %s", change.Label, expected, content)
	}
	if expected, seen := s.checker.changeOfParent[change.ParentLabel]; seen && expected != content {
		s.reportViolation("two orders on base %d were accepted: %s and %s", change.ParentLabel, expected, content)
	}
	s.checker.changeOfLabel[change.Label], s.checker.changeOfParent[change.ParentLabel] = content, content
}

// checkReadAnswer takes an answered read.
func (s *State) checkReadAnswer(daemon *daemonState, read pendingRead) {
	s.checkFreshness(daemon, read.acknowledgedBefore)
	s.checker.acknowledgements = append(s.checker.acknowledgements, acknowledgement{version: daemon.stateMachine.version, laggingSlots: map[uint64]uint32{}})
}

// checkFreshness: what a daemon shows has all that was acknowledged before it was asked.
func (s *State) checkFreshness(daemon *daemonState, acknowledged int) {
	for _, previous := range s.checker.acknowledgements[:acknowledged] {
		if !daemon.stateMachine.version.contains(previous.version) {
			s.reportViolation("daemon %d shows less than was acknowledged at index %d", daemon.number, previous.index)
		}
	}
}

// checkProposalResult takes a result: what was acknowledged before must be in it, and an order that
// is in force must not be refused.
func (s *State) checkProposalResult(daemon *daemonState, pending proposal, result consensus.Result) {
	applied, position := daemon.stateMachine.version, logPosition{result.Index, result.Term}
	s.checkFreshness(daemon, pending.acknowledgedBefore)
	outcome, err := config.DecodeOutcome(result.Response)
	if err != nil {
		s.reportViolation("the outcome of order %v can't be read: %v", pending.change, err)
	}
	switch {
	case outcome.Code == errcode.OK:
		s.recordAcceptedChange(pending.change)
	case applied.hasChange(pending.change) || s.checker.changeOfLabel[pending.change.Label] == pending.change.identity():
		s.reportViolation("order %v was refused with %d though it was taken", pending.change, outcome.Code)
	}
	recorded := acknowledgement{logPosition: position, version: applied, laggingSlots: map[uint64]uint32{}}
	s.checker.acknowledgements = append(s.checker.acknowledgements, recorded)
}

// checkLeader: who owns the part has all that was acknowledged in earlier rounds, and has
// heard a majority lately.
func (s *State) checkLeader(daemon *daemonState) {
	member := daemon.replica
	if !member.IsLeader() {
		return
	}
	for _, acknowledged := range s.checker.acknowledgements {
		if acknowledged.term > member.Term() || acknowledged.index <= member.Snapshot.Index {
			continue
		}
		if logged, exists := member.Entry(acknowledged.index); !exists || logged.Round != acknowledged.term {
			s.reportViolation("daemon %d owns round %d without the acknowledged entry %d of round %d", daemon.number, member.Term(), acknowledged.index, acknowledged.term)
		}
	}
	if s.options.MaxQuorumSilence == 0 || !member.LeadershipConfirmed(s.Now) {
		return
	}
	if sinceContact := s.Now - s.checker.lastQuorumContact[daemon.number]; sinceContact > s.options.MaxQuorumSilence {
		s.reportViolation("daemon %d says it owns the part %d ms after its last contact with a majority", daemon.number, sinceContact/clock.Millisecond)
	}
}

// quorumContact is the last moment after which a majority of seats has said something that the
// daemon has heard, itself included.
func (s *State) quorumContact(daemon *daemonState) clock.Microseconds {
	var contactTimes []clock.Microseconds
	for _, member := range daemon.membership.Seats {
		for _, other := range s.daemons {
			switch {
			case member.Vacant() || other.member.Address != member.Address:
			case other == daemon:
				contactTimes = append(contactTimes, s.Now)
			default:
				contactTimes = append(contactTimes, s.checker.lastHeard[[2]int{other.number, daemon.number}])
			}
		}
	}
	slices.Sort(contactTimes)
	majority := len(daemon.membership.Seats)/2 + 1
	if len(contactTimes) < majority {
		return 0
	}
	return contactTimes[len(contactTimes)-majority]
}

// checkLease tells whether a daemon may give orders now. The right of a round is one
// life's, and no lower round has it after a higher one.
func (s *State) checkLease(daemon *daemonState) bool {
	activeLease := daemon.replica.LeaderLease()
	if activeLease == nil {
		return false
	}
	current := leaseHolder{daemon.number, daemon.incarnation}
	if expected, seen := s.checker.leaseHolderOfTerm[activeLease.Term]; seen && expected != current {
		s.reportViolation("round %d has two holders: daemons %d and %d", activeLease.Term, expected.daemon, daemon.number)
	}
	s.checker.leaseHolderOfTerm[activeLease.Term] = current
	if !daemon.replica.IsLeader() || !activeLease.CoversCommand(s.Now, 0) {
		return false
	}
	if activeLease.Term < s.checker.highestLeaseTerm {
		s.reportViolation("round %d gives orders after round %d", activeLease.Term, s.checker.highestLeaseTerm)
	}
	s.checker.highestLeaseTerm = max(s.checker.highestLeaseTerm, activeLease.Term)
	return true
}

// checkCurrentSlots: a majority read that begins after an acknowledgement finds it, however
// its answers are spread over time: fewer than a majority with bindings of one epoch ever
// call themselves current without it. Routers count answers of one epoch only.
func (s *State) checkCurrentSlots() {
	for _, daemon := range s.daemons {
		if daemon.crashed || daemon.replica == nil {
			continue
		}
		commit, current := daemon.replica.CommitIndex()
		if !current || daemon.replica.Isolated(s.Now) {
			continue
		}
		for index := range s.checker.acknowledgements {
			acknowledged := &s.checker.acknowledgements[index]
			if commit >= acknowledged.index {
				continue
			}
			acknowledged.laggingSlots[daemon.membership.Epoch] |= 1 << daemon.replica.Self
			if lagging := bits.OnesCount32(acknowledged.laggingSlots[daemon.membership.Epoch]); lagging > s.options.Members/2 {
				s.reportViolation("%d slots have called themselves current without the acknowledged entry %d", lagging, acknowledged.index)
			}
		}
	}
}

func (s *State) initialMembership() consensus.Membership {
	membership := consensus.Membership{}
	for _, daemon := range s.daemons[:s.options.Members] {
		membership.Seats = append(membership.Seats, daemon.member)
	}
	return membership
}
