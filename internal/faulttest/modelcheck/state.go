// Package modelcheck searches the states of a small group of control daemons: the real
// pure machines of internal/part (with the election, the log and the lease inside) and
// internal/configuration, under a network, disks and timers that the search drives.
package modelcheck

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/wal"
)

// Options are the lengths and bounds of a search.
type Options struct {
	// Members have the seats at first; Newcomers have none.
	Members, Newcomers int
	Delta              clock.Microseconds
	lease.Timing
	// RetainedEntries is how many applied entries a log keeps before it takes a snapshot.
	RetainedEntries int
	// MaxInFlight is how many messages may be under way; beyond it the oldest is lost.
	MaxInFlight int
	// Budget bounds the failures and orders of one path.
	Budget Budget
	// MaxQuorumSilence is how long a member may say that it owns the part without having heard a
	// majority; zero leaves that unchecked.
	MaxQuorumSilence clock.Microseconds
	// AcceptOlderMembership has a daemon without a member take a seat also from older bindings than it
	// knows: the guard against that is taken out.
	AcceptOlderMembership bool
}

// Budget is how often each kind of event may stand in one path.
type Budget struct {
	Crashes, Wipes, Freezes, Partitions, Duplicates, Proposals, Reads, Replacements, DiskStalls int
}

// StandardOptions are options for a group of so many members.
func StandardOptions(members int) *Options {
	return &Options{
		Members: members, Newcomers: 1, Delta: 200 * clock.Millisecond,
		Timing:          lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond},
		RetainedEntries: 4, MaxInFlight: 12, MaxQuorumSilence: 800 * clock.Millisecond,
		Budget: Budget{Crashes: 2, Wipes: 1, Freezes: 1, Partitions: 2, Duplicates: 1, Proposals: 2, Reads: 1, Replacements: 1, DiskStalls: 1},
	}
}

// diskWrite is one batch given to a disk, and what goes out once it is synced.
type diskWrite struct {
	records           []wal.Record
	messagesAfterSync []consensus.Message
}

// proposal is an order that waits for its result.
type proposal struct {
	change Change
	// acknowledgedBefore is how many acknowledgements had been given when it began.
	acknowledgedBefore int
}

// pendingRead is a read that waits until a majority has confirmed that its daemon leads.
type pendingRead struct {
	consensus.PendingRead
	acknowledgedBefore int
}

type logPosition struct{ index, term uint64 }

// daemonState is one control daemon with its disk.
type daemonState struct {
	number       int
	member       consensus.Member
	incarnation  uint64
	crashed      bool
	frozen       bool
	diskStalled  bool
	diskWiped    bool
	replica      *consensus.Replica
	stateMachine *stateMachine
	// membership are the last bindings that were seen.
	membership       consensus.Membership
	disk             *wal.State
	pendingWrites    []diskWrite
	pendingProposals map[logPosition]proposal
	pendingReads     []pendingRead
	// replaces is the name of the daemon whose seat this one is to have.
	replaces     string
	forceReplace bool
}

func (d *daemonState) isRunning() bool { return !d.crashed && !d.frozen }

// envelope is a message under way between two daemons.
type envelope struct {
	from, to int
	// receiverIncarnation is the receiver's life when the message was sent, asker the sender's.
	receiverIncarnation, senderIncarnation uint64
	sentAt                                 clock.Microseconds
	message                                consensus.Message
	// isEcho marks what a receiver's transport answers to a message sent at a moment.
	isEcho        bool
	echo          consensus.Echo
	requestSentAt clock.Microseconds
}

// State is one state of the search.
type State struct {
	Now             clock.Microseconds
	options         *Options
	daemons         []*daemonState
	inFlight        []envelope
	partitions      map[[2]int]bool
	remainingBudget Budget
	proposalCount   int
	rootVersion     *version
	checker         invariantChecker
	Violations      []string
	lastStep        *pathStep
}

// pathStep is the list of events that led to a state, last first.
type pathStep struct {
	action   Action
	previous *pathStep
}

// New founds a group.
func New(options *Options) *State {
	state := &State{
		Now: 1000 * clock.Second, options: options, remainingBudget: options.Budget, partitions: map[[2]int]bool{}, rootVersion: newRootVersion(),
		checker: newInvariantChecker(),
	}
	initial := consensus.Membership{}
	for number := range options.Members + options.Newcomers {
		name := fmt.Sprint(number)
		created := &daemonState{number: number, member: consensus.Member{Identity: name, Name: name, Address: name}, disk: wal.NewState()}
		state.daemons = append(state.daemons, created)
		if number < options.Members {
			initial.Seats = append(initial.Seats, created.member)
		}
	}
	for _, created := range state.daemons {
		created.membership = initial
		state.startReplica(created, initial, true)
	}
	return state
}

func (s *State) clone() *State { return deepClone(s) }

// startReplica starts the member that the bindings give to a daemon, if any, as a shard of a
// core does.
func (s *State) startReplica(daemon *daemonState, membership consensus.Membership, bootstrap bool) {
	history := *daemon.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	if persisted, read := consensus.LatestMembership(history); read && persisted.Epoch >= membership.Epoch {
		membership = persisted
	}
	daemon.membership, daemon.replica = membership, nil
	daemon.pendingProposals = map[logPosition]proposal{}
	daemon.stateMachine = &stateMachine{s.rootVersion}
	slot := membership.Slot(daemon.member)
	if slot < 0 {
		return
	}
	daemon.incarnation++
	replicaConfig := consensus.Config{
		Config: election.Config{Slots: s.options.Members, Self: slot, Delta: s.options.Delta}, Timing: s.options.Timing,
		RetainedEntries: s.options.RetainedEntries, Incarnation: uint64(daemon.number+1)<<16 + daemon.incarnation, LocalMember: daemon.member, InitialMembership: membership,
	}
	member, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: daemon.stateMachine,
		Stored:       history,
		Now:          s.Now,
		NewCluster:   bootstrap,
	})
	daemon.replica = member
	s.handleOutput(daemon, output)
}

// handleOutput does what a step of a member asks for, and ends a member whose seat is another's.
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
	if daemon.replica.Slots != len(daemon.membership.Seats) || daemon.membership.Slot(daemon.member) != slot {
		daemon.replica, daemon.pendingProposals = nil, map[logPosition]proposal{}
	}
	s.completeReads(daemon)
}

// completeReads answers the reads that a majority has confirmed: they must show all that was
// acknowledged before they began.
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
		}
	}
}

// sendMessage puts a message under way to whoever has the seat, as the sender knows.
func (s *State) sendMessage(daemon *daemonState, message consensus.Message) {
	member := daemon.membership.Seats[message.To]
	if member.Vacant() || member.Address == daemon.member.Address {
		return
	}
	for _, to := range s.daemons {
		if to.member.Address == member.Address {
			s.inFlight = append(s.inFlight, envelope{from: daemon.number, to: to.number, receiverIncarnation: to.incarnation, senderIncarnation: daemon.incarnation, sentAt: s.Now, message: message})
		}
	}
	if len(s.inFlight) > s.options.MaxInFlight {
		s.inFlight = s.inFlight[1:]
	}
}

// receiveMessage hands over a message; one of an election that is older than δ, or was sent to
// an earlier life, is dropped as the daemons do.
func (s *State) receiveMessage(packet envelope) {
	to, message := s.daemons[packet.to], packet.message
	if to.crashed || to.replica == nil {
		return
	}
	if packet.isEcho {
		if packet.receiverIncarnation == to.incarnation {
			s.recordContact(to, packet)
			s.handleOutput(to, to.replica.ReceiveEcho(s.Now, packet.requestSentAt, s.daemons[packet.from].member.Address, packet.echo))
		}
		return
	}
	if message.RequestsEcho() {
		s.inFlight = append(s.inFlight, envelope{
			from: packet.to, to: packet.from, receiverIncarnation: packet.senderIncarnation, sentAt: s.Now, isEcho: true, echo: to.replica.Echo(), requestSentAt: packet.sentAt,
		})
	}
	if message.Kind == consensus.MsgConfirmLeadership {
		return
	}
	if message.Kind == consensus.MsgElection && (s.Now-packet.sentAt > s.options.Delta || packet.receiverIncarnation != to.incarnation) {
		return
	}
	message.Sender = s.daemons[packet.from].member
	s.recordContact(to, packet)
	s.handleOutput(to, to.replica.Receive(s.Now, message))
}

// syncDisk makes the oldest batch of a daemon durable, and sends what waited for it.
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

// wakeReplicas lets the time of all daemons that run pass.
func (s *State) wakeReplicas() {
	for _, daemon := range s.daemons {
		if daemon.isRunning() && daemon.replica != nil {
			daemon.replica.SetDiskStalled(daemon.diskStalled)
			s.handleOutput(daemon, daemon.replica.Tick(s.Now))
		}
	}
}

// crash ends a life; of what was not synced the first batches may be on the disk.
func (s *State) crash(daemon *daemonState, durableBatches int) {
	for _, batch := range daemon.pendingWrites[:min(durableBatches, len(daemon.pendingWrites))] {
		for _, record := range batch.records {
			daemon.disk.Apply(record)
		}
	}
	daemon.crashed, daemon.frozen, daemon.diskStalled = true, false, false
	daemon.replica, daemon.pendingWrites, daemon.pendingProposals, daemon.pendingReads = nil, nil, nil, nil
	daemon.incarnation++
}

// queryMembership has a daemon ask another for a seat and for the bindings, as internal/core does.
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
		daemon.replica, daemon.membership, daemon.pendingProposals = nil, membership, map[logPosition]proposal{}
	}
}

// replaceMember gives a seat to a daemon that has none, if the one that is asked owns the part.
func (s *State) replaceMember(leader, newcomer *daemonState) {
	if leader.replica == nil || !leader.replica.IsLeader() {
		return
	}
	slot, membership := -1, leader.replica.Membership()
	for index, member := range membership.Seats {
		if member.Vacant() || member.Name == newcomer.replaces {
			slot = index
		}
	}
	if slot < 0 || !membership.Seats[slot].Vacant() && !newcomer.forceReplace && leader.replica.SinceLastContact(s.Now, slot) < s.options.LeaseDuration {
		return
	}
	_, output := leader.replica.ReplaceMember(s.Now, slot, newcomer.member, s.options.LeaseDuration)
	s.handleOutput(leader, output)
}

// beginRead begins a read at a daemon that owns the part.
func (s *State) beginRead(daemon *daemonState) {
	started, isLeader, output := daemon.replica.BeginRead(s.Now)
	if !isLeader {
		return
	}
	daemon.pendingReads = append(daemon.pendingReads, pendingRead{started, len(s.checker.acknowledgements)})
	s.handleOutput(daemon, output)
}

// propose sends an order to a daemon; only an owner takes it.
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

// handleResults takes the results of a step.
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
