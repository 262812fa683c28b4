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

// acknowledgement is a result that a client has received.
type acknowledgement struct {
	logPosition
	version *version
	// laggingSlots are bit sets of the slots that have since reported to be current without this
	// result, by the epoch of their membership.
	laggingSlots map[uint64]uint32
}

// logEntry identifies the entry at an index of a log.
type logEntry struct {
	term     uint64
	dataHash uint64
}

// leaseHolder is the incarnation of a daemon that has the lease of a term.
type leaseHolder struct {
	daemon      int
	incarnation uint64
}

// invariantChecker keeps what has been observed so far. The code under test never reads it.
type invariantChecker struct {
	entryHashes map[logPosition]uint64
	// committedEntries is by index.
	committedEntries  map[uint64]logEntry
	acknowledgements  []acknowledgement
	leaseHolderOfTerm map[uint64]leaseHolder
	// changeOfLabel and changeOfParent are the identities of the accepted changes, by their label
	// and by the label that they build on.
	changeOfLabel  map[uint64]string
	changeOfParent map[uint64]string
	// highestLeaseTerm is the highest term whose lease covered commands.
	highestLeaseTerm uint64
	// longestHistory is the longest history that any replica has applied.
	longestHistory *version
	// lastHeard is the time of sending of the last message received, by sender and receiver.
	lastHeard map[[2]int]clock.Microseconds
	// lastQuorumContact is the last contact of each daemon with a majority.
	lastQuorumContact map[int]clock.Microseconds
}

func newInvariantChecker() invariantChecker {
	return invariantChecker{
		entryHashes:       map[logPosition]uint64{},
		committedEntries:  map[uint64]logEntry{},
		leaseHolderOfTerm: map[uint64]leaseHolder{},
		changeOfLabel:     map[uint64]string{},
		changeOfParent:    map[uint64]string{},
		lastHeard:         map[[2]int]clock.Microseconds{},
		lastQuorumContact: map[int]clock.Microseconds{},
	}
}

var hashSeed = maphash.MakeSeed()

// maxViolations is how many violations a state keeps; later ones mostly follow from the first.
const maxViolations = 4

func (s *State) reportViolation(format string, values ...any) {
	if len(s.Violations) < maxViolations {
		s.Violations = append(s.Violations, fmt.Sprintf(format, values...))
	}
}

// recordContact records who has heard whom, and the contact with a majority that follows by the
// membership of that time: a later change of the membership does not undo it.
func (s *State) recordContact(to *daemonState, packet envelope) {
	link := [2]int{packet.from, packet.to}
	s.checker.lastHeard[link] = max(s.checker.lastHeard[link], packet.sentAt)
	previous := s.checker.lastQuorumContact[to.number]
	s.checker.lastQuorumContact[to.number] = max(previous, s.quorumContact(to))
}

// checkInvariants checks all invariants on the present state, and reports violations.
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
				s.reportViolation("leases overlap: daemons %d and %d may both send commands", leaseDaemon, daemon.number)
			}
			leaseDaemon = daemon.number
		}
	}
	s.checkCurrentSlots()
}

// checkLog checks log matching (one entry for each index and term) and that committed entries are
// never replaced.
func (s *State) checkLog(daemon *daemonState) {
	replica := daemon.replica
	last, _ := replica.LastPosition()
	commit, _ := replica.CommitIndex()
	for index := replica.Snapshot.Index + 1; index <= last; index++ {
		logged, exists := replica.Entry(index)
		if !exists {
			continue
		}
		data := maphash.Bytes(hashSeed, logged.Data)
		position := logPosition{index, logged.Term}
		if expected, seen := s.checker.entryHashes[position]; seen && expected != data {
			s.reportViolation("two entries at index %d of term %d, one at daemon %d", index, logged.Term, daemon.number)
		}
		s.checker.entryHashes[position] = data
		if index > commit {
			continue
		}
		committed := logEntry{logged.Term, data}
		if expected, seen := s.checker.committedEntries[index]; seen && expected != committed {
			s.reportViolation("daemon %d committed another entry at index %d: of term %d, not %d",
				daemon.number, index, logged.Term, expected.term)
		}
		s.checker.committedEntries[index] = committed
	}
}

// checkHistory checks that all applied states are prefixes of one history.
func (s *State) checkHistory(daemon *daemonState) {
	applied := daemon.stateMachine.version
	if s.checker.longestHistory == nil || applied.contains(s.checker.longestHistory) {
		s.checker.longestHistory = applied
	} else if !s.checker.longestHistory.contains(applied) {
		s.reportViolation("daemon %d has applied another history", daemon.number)
	}
}

// recordAcceptedChange records that a change was answered as accepted, and checks that no other
// change with its label or its parent was.
func (s *State) recordAcceptedChange(change Change) {
	content := change.identity()
	if expected, seen := s.checker.changeOfLabel[change.Label]; seen && expected != content {
		s.reportViolation("label %d was accepted twice: %s and %s", change.Label, expected, content)
	}
	if expected, seen := s.checker.changeOfParent[change.ParentLabel]; seen && expected != content {
		s.reportViolation("two changes on label %d were accepted: %s and %s", change.ParentLabel, expected, content)
	}
	s.checker.changeOfLabel[change.Label] = content
	s.checker.changeOfParent[change.ParentLabel] = content
}

// checkReadAnswer checks the answer of a read, and records it as an acknowledgement.
func (s *State) checkReadAnswer(daemon *daemonState, read pendingRead) {
	s.checkFreshness(daemon, read.acknowledgedBefore)
	s.checker.acknowledgements = append(s.checker.acknowledgements, acknowledgement{
		version:      daemon.stateMachine.version,
		laggingSlots: map[uint64]uint32{},
	})
}

// checkFreshness checks that a daemon's state has the first so many acknowledged results, which are
// those before the request.
func (s *State) checkFreshness(daemon *daemonState, acknowledged int) {
	for _, previous := range s.checker.acknowledgements[:acknowledged] {
		if !daemon.stateMachine.version.contains(previous.version) {
			s.reportViolation("daemon %d shows less than was acknowledged at index %d", daemon.number, previous.index)
		}
	}
}

// checkProposalResult checks the result of a proposal: the state has all earlier acknowledged
// results, and a change that was accepted is not rejected.
func (s *State) checkProposalResult(daemon *daemonState, pending proposal, result consensus.Result) {
	applied := daemon.stateMachine.version
	position := logPosition{result.Index, result.Term}
	s.checkFreshness(daemon, pending.acknowledgedBefore)
	outcome, err := config.DecodeOutcome(result.Response)
	if err != nil {
		s.reportViolation("the outcome of change %v can't be decoded: %v", pending.change, err)
	}
	switch {
	case outcome.Code == errcode.OK:
		s.recordAcceptedChange(pending.change)
	case applied.hasChange(pending.change) || s.checker.changeOfLabel[pending.change.Label] == pending.change.identity():
		s.reportViolation("change %v was rejected with %d though it was accepted", pending.change, outcome.Code)
	}
	recorded := acknowledgement{logPosition: position, version: applied, laggingSlots: map[uint64]uint32{}}
	s.checker.acknowledgements = append(s.checker.acknowledgements, recorded)
}

// checkLeader checks leader completeness (a leader's log has all entries that were acknowledged in
// terms up to its own) and that a leader has recently been in contact with a majority.
func (s *State) checkLeader(daemon *daemonState) {
	replica := daemon.replica
	if !replica.IsLeader() {
		return
	}
	for _, acknowledged := range s.checker.acknowledgements {
		if acknowledged.term > replica.Term() || acknowledged.index <= replica.Snapshot.Index {
			continue
		}
		if logged, exists := replica.Entry(acknowledged.index); !exists || logged.Term != acknowledged.term {
			s.reportViolation("daemon %d leads term %d without the acknowledged entry %d of term %d",
				daemon.number, replica.Term(), acknowledged.index, acknowledged.term)
		}
	}
	if s.options.MaxQuorumSilence == 0 || !replica.LeadershipConfirmed(s.Now) {
		return
	}
	sinceContact := s.Now - s.checker.lastQuorumContact[daemon.number]
	if sinceContact > s.options.MaxQuorumSilence {
		s.reportViolation("daemon %d confirms its leadership %d ms after its last contact with a majority",
			daemon.number, sinceContact/clock.Millisecond)
	}
}

// quorumContact returns the last time since which a daemon has heard from a majority of the
// members, itself included; 0 if it never has.
func (s *State) quorumContact(daemon *daemonState) clock.Microseconds {
	var contactTimes []clock.Microseconds
	for _, member := range daemon.membership.Members {
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
	majority := len(daemon.membership.Members)/2 + 1 //nolint:mnd // more than half
	if len(contactTimes) < majority {
		return 0
	}
	return contactTimes[len(contactTimes)-majority]
}

// checkLease reports whether a daemon may send commands to engines now. It checks that the lease of
// a term is held by one incarnation, and that no lower term has a lease after a higher one.
func (s *State) checkLease(daemon *daemonState) bool {
	activeLease := daemon.replica.LeaderLease()
	if activeLease == nil {
		return false
	}
	current := leaseHolder{daemon.number, daemon.incarnation}
	if expected, seen := s.checker.leaseHolderOfTerm[activeLease.Term]; seen && expected != current {
		s.reportViolation("term %d has two lease holders: daemons %d and %d", activeLease.Term, expected.daemon, daemon.number)
	}
	s.checker.leaseHolderOfTerm[activeLease.Term] = current
	if !daemon.replica.IsLeader() || !activeLease.CoversCommand(s.Now, 0) {
		return false
	}
	if activeLease.Term < s.checker.highestLeaseTerm {
		s.reportViolation("term %d sends commands after term %d", activeLease.Term, s.checker.highestLeaseTerm)
	}
	s.checker.highestLeaseTerm = max(s.checker.highestLeaseTerm, activeLease.Term)
	return true
}

// checkCurrentSlots checks that a majority read that begins after an acknowledgement finds its
// result, however the answers are spread over time: fewer than a majority of one epoch's members
// ever report to be current without it. Routers count answers of one epoch only.
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
			lagging := bits.OnesCount32(acknowledged.laggingSlots[daemon.membership.Epoch])
			if lagging > s.options.Members/2 {
				s.reportViolation("%d slots have reported to be current without the acknowledged entry %d",
					lagging, acknowledged.index)
			}
		}
	}
}

func (s *State) initialMembership() consensus.Membership {
	membership := consensus.Membership{}
	for _, daemon := range s.daemons[:s.options.Members] {
		membership.Members = append(membership.Members, daemon.member)
	}
	return membership
}
