// Package modelcheck searches the state space of a small group of control plane servers for
// violations of the consensus invariants. The state machines are the real ones: consensus.Replica
// (with election, log and lease inside) and the configuration of state/config. Network, disks and
// timers are simulated and driven by the search, one Action at a time.
//
// New makes a group and Scenario.Begin one in a certain situation. Search expands all actions
// breadth first, State.RandomWalk takes random ones, and every step checks the invariants; State
// collects violations. Shrink shortens a failing path, FormatActions writes it and Replay takes it
// again.
package modelcheck

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// Options are the parameters of a group and the bounds of a search.
type Options struct {
	// Members is the number of daemons that are members at first; Newcomers are the others.
	Members, Newcomers int
	// Delta is the bound δ on the delay of messages in a stable period.
	Delta clock.Microseconds
	lease.Timing
	// RetainedEntries is how many applied entries a log keeps before it takes a snapshot.
	RetainedEntries int
	// MaxInFlight is how many messages may be in flight; beyond it the oldest is lost.
	MaxInFlight int
	// Budget bounds the faults and requests of one path.
	Budget Budget
	// MaxQuorumSilence is how long a replica may confirm its leadership without having heard from a
	// majority; zero leaves that unchecked.
	MaxQuorumSilence clock.Microseconds
	// AcceptOlderMembership plants a fault: a daemon without a replica becomes a member also by an
	// older membership than it knows, and no message shows the epoch of its sender, by which a
	// recovering replica would detect this.
	AcceptOlderMembership bool
}

// Budget is how often each kind of action may be in one path.
type Budget struct {
	Crashes, Wipes, Freezes, Partitions, Duplicates, Proposals, Reads, Replacements, DiskStalls int
}

// StandardOptions returns the options for a group of so many members and one newcomer.
//
//nolint:mnd // a table of parameters
func StandardOptions(members int) *Options {
	return &Options{
		Members:          members,
		Newcomers:        1,
		Delta:            200 * clock.Millisecond,
		Timing:           lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond},
		RetainedEntries:  4,
		MaxInFlight:      12,
		MaxQuorumSilence: 800 * clock.Millisecond,
		Budget: Budget{
			Crashes:      2,
			Wipes:        1,
			Freezes:      1,
			Partitions:   2,
			Duplicates:   1,
			Proposals:    2,
			Reads:        1,
			Replacements: 1,
			DiskStalls:   1,
		},
	}
}

// diskWrite is one write to a disk, and the messages that are sent once it is synced.
type diskWrite struct {
	records           []wal.Record
	messagesAfterSync []consensus.Message
}

// proposal is a change that waits for its result.
type proposal struct {
	change Change
	// acknowledgedBefore is how many results had been acknowledged when it was proposed.
	acknowledgedBefore int
}

// pendingRead is a read that waits until a majority has confirmed that its daemon leads.
type pendingRead struct {
	consensus.PendingRead
	// acknowledgedBefore is how many results had been acknowledged when it began.
	acknowledgedBefore int
}

// logPosition identifies a log entry.
type logPosition struct{ index, term uint64 }

// daemonState is one control plane server with its disk.
type daemonState struct {
	number int
	member consensus.Member
	// incarnation counts the starts and ends of the process.
	incarnation uint64
	crashed     bool
	frozen      bool
	diskStalled bool
	// diskWiped is set from the loss of the disk until it has a promise again.
	diskWiped bool
	// replica is nil while the daemon is down or no member.
	replica      *consensus.Replica
	stateMachine *stateMachine
	// membership is the last one that the daemon has seen.
	membership consensus.Membership
	disk       *wal.State
	// pendingWrites are not synced yet, oldest first.
	pendingWrites    []diskWrite
	pendingProposals map[logPosition]proposal
	pendingReads     []pendingRead
	// replaces is the name of the member that this daemon is to replace; forceReplace does so also
	// if that member is alive.
	replaces     string
	forceReplace bool
}

func (d *daemonState) isRunning() bool { return !d.crashed && !d.frozen }

// envelope is a message in flight between two daemons.
type envelope struct {
	from, to int
	// The incarnations are those at the time of sending.
	receiverIncarnation, senderIncarnation uint64
	sentAt                                 clock.Microseconds
	message                                consensus.Message
	// isEcho marks the echo that a receiver's transport answers to a request sent at requestSentAt.
	isEcho        bool
	echo          consensus.Echo
	requestSentAt clock.Microseconds
}

// State is the state of a group, with what the invariant checkers have observed on the way to it.
type State struct {
	Now      clock.Microseconds
	options  *Options
	daemons  []*daemonState
	inFlight []envelope
	// partitions are the links, sender and receiver, on which messages are lost.
	partitions      map[[2]int]bool
	remainingBudget Budget
	proposalCount   int
	rootVersion     *version
	checker         invariantChecker
	Violations      []string
	lastStep        *pathStep
}

// pathStep is a linked list of the actions that led to a state, last first.
type pathStep struct {
	action   Action
	previous *pathStep
}

// startTime is the time at which a group is made.
const startTime = 1000 * clock.Second

// New makes a group whose members have just been bootstrapped.
func New(options *Options) *State {
	state := &State{
		Now:             startTime,
		options:         options,
		remainingBudget: options.Budget,
		partitions:      map[[2]int]bool{},
		rootVersion:     newRootVersion(),
		checker:         newInvariantChecker(),
	}
	initial := consensus.Membership{}
	for number := range options.Members + options.Newcomers {
		name := fmt.Sprint(number)
		created := &daemonState{
			number: number,
			member: consensus.Member{Identity: name, Name: name, Address: name},
			disk:   wal.NewState(),
		}
		state.daemons = append(state.daemons, created)
		if number < options.Members {
			initial.Members = append(initial.Members, created.member)
		}
	}
	for _, created := range state.daemons {
		created.membership = initial
		state.startReplica(created, initial, true)
	}
	return state
}

func (s *State) clone() *State { return deepClone(s) }

// startReplica starts a daemon's replica from its disk, if the daemon is a member by the membership
// or by a later one on the disk, as a server of the control plane does.
func (s *State) startReplica(daemon *daemonState, membership consensus.Membership, bootstrap bool) {
	history := *daemon.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	if persisted, read := consensus.LatestMembership(history); read && persisted.Epoch >= membership.Epoch {
		membership = persisted
	}
	daemon.membership = membership
	daemon.replica = nil
	daemon.pendingProposals = map[logPosition]proposal{}
	daemon.stateMachine = &stateMachine{s.rootVersion}
	slot := membership.Slot(daemon.member)
	if slot < 0 {
		return
	}
	daemon.incarnation++
	replicaConfig := consensus.Config{
		Config:            election.Config{Slots: s.options.Members, Self: slot, Delta: s.options.Delta},
		Timing:            s.options.Timing,
		RetainedEntries:   s.options.RetainedEntries,
		Incarnation:       uint64(daemon.number+1)<<16 + daemon.incarnation,
		LocalMember:       daemon.member,
		InitialMembership: membership,
	}
	replica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: daemon.stateMachine,
		Stored:       history,
		Now:          s.Now,
		NewCluster:   bootstrap,
	})
	daemon.replica = replica
	s.handleOutput(daemon, output)
}

// handleOutput does what a step of a replica asks for, and ends the replica if its daemon is no
// longer the member of its slot.
func (s *State) handleOutput(daemon *daemonState, output consensus.Output) {
	daemon.membership = daemon.replica.Membership()
	slot := daemon.replica.Self
	for _, message := range output.Messages {
		s.sendMessage(daemon, message)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		daemon.pendingWrites = append(daemon.pendingWrites, diskWrite{output.Records, output.MessagesAfterSync})
	}
	if len(output.DeferredRecords) > 0 {
		daemon.pendingWrites = append(daemon.pendingWrites, diskWrite{records: output.DeferredRecords})
	}
	s.handleResults(daemon, output)
	if daemon.replica.Slots != len(daemon.membership.Members) || daemon.membership.Slot(daemon.member) != slot {
		daemon.replica = nil
		daemon.pendingProposals = map[logPosition]proposal{}
	}
	s.completeReads(daemon)
}

// completeReads answers the reads that a majority has confirmed, and drops those that have failed.
func (s *State) completeReads(daemon *daemonState) {
	waiting := daemon.pendingReads
	daemon.pendingReads = nil
	for _, read := range waiting {
		readState := consensus.ReadAborted
		if daemon.replica != nil {
			readState = daemon.replica.CheckRead(s.Now, read.PendingRead)
		}
		switch readState {
		case consensus.ReadReady:
			s.checkReadAnswer(daemon, read)
		case consensus.ReadPending:
			daemon.pendingReads = append(daemon.pendingReads, read)
		case consensus.ReadAborted:
			// The client would be told to ask another daemon.
		}
	}
}

// sendMessage sends a message to the address that it names, or else to the member of its slot by the membership that the
// sender knows.
func (s *State) sendMessage(daemon *daemonState, message consensus.Message) {
	address := message.Address
	if address == "" {
		address = daemon.membership.Members[message.To].Address
	}
	if address == "" || address == daemon.member.Address {
		return
	}
	for _, to := range s.daemons {
		if to.member.Address == address {
			s.inFlight = append(s.inFlight, envelope{
				from:                daemon.number,
				to:                  to.number,
				receiverIncarnation: to.incarnation,
				senderIncarnation:   daemon.incarnation,
				sentAt:              s.Now,
				message:             message,
			})
		}
	}
	if len(s.inFlight) > s.options.MaxInFlight {
		s.inFlight = s.inFlight[1:]
	}
}

// receiveMessage delivers a message. As in the daemons, an election message that is older than δ, or
// was sent to an earlier incarnation, is dropped.
func (s *State) receiveMessage(packet envelope) {
	to := s.daemons[packet.to]
	message := packet.message
	if to.crashed || to.replica == nil {
		return
	}
	if packet.isEcho {
		if packet.receiverIncarnation == to.incarnation {
			s.recordContact(to, packet)
			sender := s.daemons[packet.from].member.Address
			s.handleOutput(to, to.replica.ReceiveEcho(s.Now, packet.requestSentAt, sender, packet.echo))
		}
		return
	}
	if message.RequestsEcho() {
		s.inFlight = append(s.inFlight, envelope{
			from:                packet.to,
			to:                  packet.from,
			receiverIncarnation: packet.senderIncarnation,
			sentAt:              s.Now,
			isEcho:              true,
			echo:                to.replica.Echo(),
			requestSentAt:       packet.sentAt,
		})
	}
	if message.Kind == consensus.MsgConfirmLeadership {
		return
	}
	isExpired := s.Now-packet.sentAt > s.options.Delta || packet.receiverIncarnation != to.incarnation
	if message.Kind == consensus.MsgElection && isExpired {
		return
	}
	message.Sender = s.daemons[packet.from].member
	if s.options.AcceptOlderMembership {
		message.Epoch = 0
	}
	s.recordContact(to, packet)
	s.handleOutput(to, to.replica.Receive(s.Now, message))
}

// syncDisk makes the oldest write of a daemon durable, and sends the messages that waited for it.
func (s *State) syncDisk(daemon *daemonState) {
	batch := daemon.pendingWrites[0]
	daemon.pendingWrites = daemon.pendingWrites[1:]
	for _, record := range batch.records {
		daemon.disk.Apply(record)
	}
	if daemon.disk.Shard(0).HasPromise {
		daemon.diskWiped = false
	}
	for _, message := range batch.messagesAfterSync {
		if daemon.replica == nil {
			return
		}
		if message.To != daemon.replica.Self {
			s.sendMessage(daemon, message)
			continue
		}
		s.handleOutput(daemon, daemon.replica.Receive(s.Now, message))
	}
}

// wakeReplicas fires the timers of all running replicas.
func (s *State) wakeReplicas() {
	for _, daemon := range s.daemons {
		if daemon.isRunning() && daemon.replica != nil {
			daemon.replica.SetDiskStalled(daemon.diskStalled)
			s.handleOutput(daemon, daemon.replica.Tick(s.Now))
		}
	}
}

// crash ends an incarnation; of the pending writes the first durableBatches are on the disk.
func (s *State) crash(daemon *daemonState, durableBatches int) {
	for _, batch := range daemon.pendingWrites[:min(durableBatches, len(daemon.pendingWrites))] {
		for _, record := range batch.records {
			daemon.disk.Apply(record)
		}
	}
	daemon.crashed = true
	daemon.frozen = false
	daemon.diskStalled = false
	daemon.replica = nil
	daemon.pendingWrites = nil
	daemon.pendingProposals = nil
	daemon.pendingReads = nil
	daemon.incarnation++
}

// queryMembership has a daemon ask another for its membership, and to become a member if it is to
// replace one, as package controlplane does.
func (s *State) queryMembership(daemon, other *daemonState) {
	if daemon.replaces != "" && daemon.replica == nil {
		s.replaceMember(other, daemon)
	}
	membership := other.membership
	slot := membership.Slot(daemon.member)
	switch {
	case membership.Epoch < daemon.membership.Epoch && !s.options.AcceptOlderMembership:
	case membership.Epoch <= daemon.membership.Epoch && (daemon.replica != nil || slot < 0):
	case daemon.replica == nil && slot >= 0:
		s.startReplica(daemon, membership, false)
	case daemon.replica == nil:
		daemon.membership = membership
	case slot < 0:
		daemon.replica = nil
		daemon.membership = membership
		daemon.pendingProposals = map[logPosition]proposal{}
	}
}

// replaceMember makes a newcomer the member of a slot, if the daemon that is asked is the leader.
func (s *State) replaceMember(leader, newcomer *daemonState) {
	if leader.replica == nil || !leader.replica.IsLeader() {
		return
	}
	slot, membership := -1, leader.replica.Membership()
	for index, member := range membership.Members {
		if member.Vacant() || member.Name == newcomer.replaces {
			slot = index
		}
	}
	if slot < 0 {
		return
	}
	mayReplace := membership.Members[slot].Vacant() ||
		newcomer.forceReplace ||
		leader.replica.SinceLastContact(s.Now, slot) >= s.options.LeaseDuration
	if !mayReplace {
		return
	}
	_, output := leader.replica.ReplaceMember(s.Now, slot, newcomer.member, s.options.LeaseDuration)
	s.handleOutput(leader, output)
}

// beginRead begins a read at the leader.
func (s *State) beginRead(daemon *daemonState) {
	started, isLeader, output := daemon.replica.BeginRead(s.Now)
	if !isLeader {
		return
	}
	daemon.pendingReads = append(daemon.pendingReads, pendingRead{started, len(s.checker.acknowledgements)})
	s.handleOutput(daemon, output)
}

// propose sends a change to a daemon; only a leader accepts it.
func (s *State) propose(daemon *daemonState, change Change) {
	s.proposalCount++
	pending := proposal{change, len(s.checker.acknowledgements)}
	index, term, accepted, output := daemon.replica.Propose(s.Now, change.encode(s.proposalCount))
	if !accepted {
		return
	}
	daemon.pendingProposals[logPosition{index, term}] = pending
	s.handleOutput(daemon, output)
}

// handleResults checks the results of a step that daemon has proposed.
func (s *State) handleResults(daemon *daemonState, output consensus.Output) {
	for _, result := range output.Results {
		position := logPosition{result.Index, result.Term}
		if pending, exists := daemon.pendingProposals[position]; exists {
			delete(daemon.pendingProposals, position)
			s.checkProposalResult(daemon, pending, result)
		}
	}
	if output.ProposalsDropped {
		clear(daemon.pendingProposals)
	}
}
