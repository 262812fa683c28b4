package simulation

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/lease"
	"coursepass/internal/consensus/messageage"
	"coursepass/internal/consensus/wal"
)

// entryBytes is the size of an encoded entry.
const entryBytes = 8

// AppendLog is the replicated state of the simulation: all entries ever applied, in order.
type AppendLog struct {
	Entries []uint64
	// Extension is a state machine beside the entries, which applies what follows an entry. It may be nil.
	Extension consensus.StateMachine
}

// Apply appends an entry, and returns it or the response of the extension.
func (a *AppendLog) Apply(operation []byte) []byte {
	a.Entries = append(a.Entries, binary.LittleEndian.Uint64(operation))
	if a.Extension != nil && len(operation) > entryBytes {
		return a.Extension.Apply(operation[entryBytes:])
	}
	return operation
}

// Snapshot returns all entries; with an extension their number goes before them, and its snapshot after them.
func (a *AppendLog) Snapshot() []byte {
	var buffer bytes.Buffer
	// A buffer takes every write.
	if a.Extension != nil {
		_ = binary.Write(&buffer, binary.LittleEndian, uint64(len(a.Entries)))
	}
	_ = binary.Write(&buffer, binary.LittleEndian, a.Entries)
	if a.Extension != nil {
		_, _ = buffer.Write(a.Extension.Snapshot())
	}
	return buffer.Bytes()
}

// Restore replaces all entries, and the state of the extension.
func (a *AppendLog) Restore(snapshot []byte) {
	if a.Extension != nil && len(snapshot) >= entryBytes {
		count := binary.LittleEndian.Uint64(snapshot)
		end := entryBytes * (1 + count)
		a.Extension.Restore(snapshot[end:])
		snapshot = snapshot[entryBytes:end]
	}
	a.Entries = make([]uint64, len(snapshot)/entryBytes)
	// The slice has as many entries as the snapshot.
	_ = binary.Read(bytes.NewReader(snapshot), binary.LittleEndian, a.Entries)
}

// diskWrite is one write to a disk, and the messages that are sent once it is synced.
type diskWrite struct {
	records           []wal.Record
	messagesAfterSync []consensus.Message
}

// Server is one simulated control plane server with a replica of one shard.
type Server struct {
	cluster     *Cluster
	slot        int
	incarnation uint64
	// wipeCount counts lost disks: each empty one gets an identity of its own.
	wipeCount int
	alive     bool
	// frozenUntil, stalledUntil, syncStartedAt and wakeAt are in true time.
	frozenUntil clock.Microseconds
	// clockOffset and clockDrift determine the server's own clock.
	clockOffset  clock.Microseconds
	clockDrift   float64
	replica      *consensus.Replica
	stateMachine *AppendLog

	disk *wal.State
	// unsyncedRecords are lost in a crash, but for a random number of the first ones.
	unsyncedRecords []wal.Record
	// pendingWrites wait for the sync that is in progress.
	pendingWrites []diskWrite
	syncing       bool
	maxSyncTime   clock.Microseconds
	syncStartedAt clock.Microseconds
	stalledUntil  clock.Microseconds

	ageEstimators map[int]*messageage.Estimator
	// pendingProposals are the proposed entries by index and term.
	pendingProposals map[[2]uint64]uint64
	pendingReads     []pendingRead
	wakeAt           clock.Microseconds
	wakePending      bool
}

// Cluster is the group of servers of one shard.
type Cluster struct {
	*Network
	consensus.Config
	Servers      []*Server
	Acknowledged map[uint64]bool
	// Proposed counts the proposals, of which each has its number as its entry.
	Proposed uint64
	// AcknowledgedAt is when each entry was acknowledged, in true time.
	AcknowledgedAt  map[uint64]clock.Microseconds
	ExpiredMessages int
	// ReadsAnswered counts the reads that were answered, and ReadsFailed those that could not be.
	ReadsAnswered, ReadsFailed int
	// leaderOfTerm are the identities that have led a term.
	leaderOfTerm map[uint64]string
	// newExtension makes the extension of a server's state machine, nil for none.
	newExtension func() consensus.StateMachine
	// answers are called with the responses to the proposals of some entries.
	answers map[uint64]func(response []byte)
}

const (
	retainedEntries = 24
	// chunkBytes is small, so that snapshots are transferred in several chunks.
	chunkBytes = 256
	// normalMaxSyncTime is the longest sync of a healthy disk.
	normalMaxSyncTime = 2 * clock.Millisecond
	// minSyncDivisor: the shortest sync takes this part of the longest.
	minSyncDivisor = 4
	minClockOffset = clock.Second
	maxClockOffset = 1000 * clock.Second
	minWakeDelay   = 100 * clock.Microseconds(1)
	// stallFactor times δ is how long a sync may take before the disk counts as stalled.
	stallFactor = 5
	// clockTolerance is the divisor of δ by which clocks may err in the age of a message.
	clockTolerance = 1000
)

// The timing of simulated groups, which is that of the default settings.
//
//nolint:mnd // a table of parameters
var (
	MaxMessageAge = 200 * clock.Millisecond
	LeaseTiming   = lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond}
)

// NewCluster makes a group of so many servers, and starts them.
func NewCluster(network *Network, slots int) *Cluster { return NewExtendedCluster(network, slots, nil) }

// NewExtendedCluster makes a group whose state machines have an extension each, unless the function is nil.
func NewExtendedCluster(network *Network, slots int, newExtension func() consensus.StateMachine) *Cluster {
	cluster := &Cluster{
		Network:        network,
		Acknowledged:   map[uint64]bool{},
		AcknowledgedAt: map[uint64]clock.Microseconds{},
		leaderOfTerm:   map[uint64]string{},
		newExtension:   newExtension,
		answers:        map[uint64]func([]byte){},
		Config: consensus.Config{
			Config:          election.Config{Slots: slots, Delta: MaxMessageAge},
			Timing:          LeaseTiming,
			RetainedEntries: retainedEntries,
			ChunkSize:       chunkBytes,
		},
	}
	for slot := range slots {
		name := fmt.Sprint(slot)
		member := consensus.Member{Identity: name, Name: name, Address: name}
		cluster.InitialMembership.Members = append(cluster.InitialMembership.Members, member)
	}
	for slot := range slots {
		server := &Server{
			cluster:     cluster,
			slot:        slot,
			disk:        wal.NewState(),
			maxSyncTime: normalMaxSyncTime,
			clockOffset: network.RandomBetween(minClockOffset, maxClockOffset),
		}
		cluster.Servers = append(cluster.Servers, server)
	}
	for _, server := range cluster.Servers {
		server.Start(true)
	}
	return cluster
}

// LocalTime is the time on the server's own monotonic clock.
func (s *Server) LocalTime() clock.Microseconds {
	now := s.cluster.Now()
	return s.clockOffset + now + clock.Microseconds(float64(now)*s.clockDrift)
}

// Start begins a new incarnation with what is on the disk; bootstrap is set at the very first start
// of the group.
func (s *Server) Start(bootstrap bool) {
	replicaConfig := s.cluster.Config
	replicaConfig.Self = s.slot
	s.incarnation++
	replicaConfig.Incarnation = s.incarnation
	replicaConfig.LocalMember = replicaConfig.InitialMembership.Members[s.slot]
	if s.wipeCount > 0 {
		replicaConfig.LocalMember.Identity = fmt.Sprintf("%d-%d", s.slot, s.wipeCount)
	}
	s.alive = true
	s.frozenUntil = 0
	s.unsyncedRecords = nil
	s.pendingWrites = nil
	s.syncing = false
	s.stateMachine = s.cluster.newStateMachine()
	s.ageEstimators = map[int]*messageage.Estimator{}
	s.pendingProposals = map[[2]uint64]uint64{}
	s.pendingReads = nil
	s.wakePending = false
	for slot := range replicaConfig.Slots {
		s.ageEstimators[slot] = &messageage.Estimator{}
	}
	history := *s.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	replica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: s.stateMachine,
		Stored:       history,
		Now:          s.LocalTime(),
		NewCluster:   bootstrap,
	})
	s.replica = replica
	s.handleOutput(output)
	s.armWakeTimer()
	s.requestMembership(s.incarnation)
}

// Crash ends an incarnation. Of the unsynced records all are lost but for a random number of the
// first ones.
func (s *Server) Crash() {
	if !s.alive {
		return
	}
	s.alive = false
	for _, record := range s.unsyncedRecords[:s.cluster.Random.IntN(len(s.unsyncedRecords)+1)] {
		s.disk.Apply(record)
	}
	s.unsyncedRecords = nil
	s.pendingWrites = nil
}

// EraseDisk replaces the disk of a crashed server by an empty one.
func (s *Server) EraseDisk() {
	s.disk = wal.NewState()
	s.wipeCount++
}

// Freeze stops a server for a while, as a suspended process; its clock runs on.
func (s *Server) Freeze(duration clock.Microseconds) {
	s.frozenUntil = max(s.frozenUntil, s.cluster.Now()+duration)
}

// runInIncarnation runs an action in an incarnation of the server, if it has not ended, once the
// server is not frozen.
func (s *Server) runInIncarnation(incarnation uint64, action func()) {
	switch {
	case !s.alive || s.incarnation != incarnation:
	case s.frozenUntil > s.cluster.Now():
		s.cluster.After(s.frozenUntil-s.cluster.Now(), func() { s.runInIncarnation(incarnation, action) })
	default:
		action()
	}
}

// armWakeTimer has the replica tick when it asks to, if no earlier tick is pending.
func (s *Server) armWakeTimer() {
	s.restartIfRemoved()
	incarnation := s.incarnation
	duration := max(s.replica.NextTick()-s.LocalTime(), minWakeDelay)
	at := s.cluster.Now() + duration
	if s.wakePending && s.wakeAt <= at && s.wakeAt > s.cluster.Now() {
		return
	}
	s.wakePending = true
	s.wakeAt = at
	s.cluster.After(duration, func() {
		s.runInIncarnation(incarnation, func() {
			s.wakePending = false
			syncTime := s.cluster.Now() - s.syncStartedAt
			s.replica.SetDiskStalled(s.syncing && syncTime > stallFactor*MaxMessageAge)
			s.handleOutput(s.replica.Tick(s.LocalTime()))
			s.armWakeTimer()
		})
	})
}

// handleOutput does what a step of the replica asks for.
func (s *Server) handleOutput(output consensus.Output) {
	s.checkOneLeaderPerTerm()
	for _, message := range output.Messages {
		s.send(message)
	}
	if len(output.DeferredRecords) > 0 {
		output.Records = append(output.Records, output.DeferredRecords...)
	}
	if len(output.Records)+len(output.MessagesAfterSync) > 0 {
		s.pendingWrites = append(s.pendingWrites, diskWrite{output.Records, output.MessagesAfterSync})
		s.unsyncedRecords = append(s.unsyncedRecords, output.Records...)
		s.startSync()
	}
	for _, result := range output.Results {
		key := [2]uint64{result.Index, result.Term}
		if value, known := s.pendingProposals[key]; known {
			s.cluster.Acknowledged[value] = true
			s.cluster.AcknowledgedAt[value] = s.cluster.Now()
			if answer := s.cluster.answers[value]; answer != nil {
				answer(result.Response)
			}
			delete(s.pendingProposals, key)
		}
	}
	if output.ProposalsDropped {
		clear(s.pendingProposals)
	}
	s.completeReads()
}

// checkOneLeaderPerTerm checks that a term has at most one leader, also when its slot gets another
// member.
func (s *Server) checkOneLeaderPerTerm() {
	if s.replica == nil || !s.replica.IsLeader() {
		return
	}
	_, term := s.replica.Leader()
	identity, known := s.cluster.leaderOfTerm[term]
	if !known {
		s.cluster.leaderOfTerm[term] = s.replica.LocalMember.Identity
	} else if identity != s.replica.LocalMember.Identity {
		s.cluster.ReportViolation("term %d is led by %s and by %s", term, identity, s.replica.LocalMember.Identity)
	}
}

// startSync syncs all pending writes at once, as the write-ahead log does.
func (s *Server) startSync() {
	if s.syncing || len(s.pendingWrites) == 0 {
		return
	}
	incarnation := s.incarnation
	batch := s.pendingWrites
	s.pendingWrites = nil
	s.syncing = true
	s.syncStartedAt = s.cluster.Now()
	syncTime := s.cluster.RandomBetween(s.maxSyncTime/minSyncDivisor, s.maxSyncTime)
	remainingStall := s.stalledUntil - s.cluster.Now()
	s.cluster.After(max(syncTime, remainingStall), func() {
		if s.alive && s.incarnation == incarnation {
			s.completeSync(batch)
		}
	})
}

// completeSync makes a batch durable, sends the messages that waited for it and starts the next sync.
func (s *Server) completeSync(batch []diskWrite) {
	incarnation := s.incarnation
	s.syncing = false
	for _, batchWrite := range batch {
		for _, record := range batchWrite.records {
			s.disk.Apply(record)
		}
	}
	s.unsyncedRecords = nil
	for _, batchWrite := range s.pendingWrites {
		s.unsyncedRecords = append(s.unsyncedRecords, batchWrite.records...)
	}
	for _, batchWrite := range batch {
		s.runInIncarnation(incarnation, func() { s.sendAfterSync(batchWrite.messagesAfterSync) })
	}
	s.startSync()
}

// sendAfterSync sends messages; those to the server itself are received at once.
func (s *Server) sendAfterSync(messages []consensus.Message) {
	for _, message := range messages {
		if message.To != s.slot {
			s.send(message)
			continue
		}
		s.handleOutput(s.replica.Receive(s.LocalTime(), message))
		s.armWakeTimer()
	}
}

// send sends a message with a stamp by which its age can be judged. A server that does not know the
// receiver's clock asks for it first.
func (s *Server) send(message consensus.Message) {
	at, sent := s.LocalTime(), s.cluster.Now()
	if s.ageEstimators[message.To].Stamp(at).Known {
		s.deliver(message, at, sent)
		return
	}
	to, incarnation := s.cluster.Servers[message.To], s.incarnation
	s.cluster.Send(s.slot, message.To, func() {
		to.runInIncarnation(to.incarnation, func() {
			s.sendClockReading(incarnation, to, func() { s.deliver(message, at, sent) })
		})
	})
}

// deliver delivers a message that was sent at a time on the server's clock and in true time. The
// receiver answers with its clock, and with an echo if the message asks for one.
func (s *Server) deliver(message consensus.Message, at, sent clock.Microseconds) {
	to := s.cluster.Servers[message.To]
	incarnation := s.incarnation
	stamp := s.ageEstimators[message.To].Stamp(at)
	s.cluster.Send(s.slot, message.To, func() {
		to.runInIncarnation(to.incarnation, func() {
			echo := to.replica.Echo()
			s.sendClockReading(incarnation, to, func() {
				if message.RequestsEcho() {
					s.handleOutput(s.replica.ReceiveEcho(s.LocalTime(), at, to.replica.LocalMember.Address, echo))
					s.armWakeTimer()
				}
			})
			if message.Kind == consensus.MsgElection && to.isExpired(stamp, sent) {
				return
			}
			message.Sender = s.replica.LocalMember
			to.handleOutput(to.replica.Receive(to.LocalTime(), message))
			to.armWakeTimer()
		})
	})
}

// isExpired reports whether a received election message must be dropped, because it may be older than
// δ. It checks that messages that are accepted are not older in true time.
func (s *Server) isExpired(stamp messageage.Stamp, sent clock.Microseconds) bool {
	age, measurable := stamp.Age(s.LocalTime(), s.incarnation)
	if !measurable || age > MaxMessageAge {
		s.cluster.ExpiredMessages++
		return true
	}
	trueAge := s.cluster.Now() - sent
	if trueAge > MaxMessageAge+MaxMessageAge/clockTolerance {
		s.cluster.ReportViolation("an election message of age %d µs was accepted", trueAge)
	}
	return false
}

// sendClockReading sends a reading of the receiver's clock back to an incarnation of this server.
func (s *Server) sendClockReading(incarnation uint64, to *Server, callback func()) {
	reading := messageage.ClockReading{Incarnation: to.incarnation, Clock: to.LocalTime()}
	s.cluster.Send(to.slot, s.slot, func() {
		s.runInIncarnation(incarnation, func() {
			s.ageEstimators[to.slot].RecordReading(s.LocalTime(), reading)
			callback()
		})
	})
}

// newStateMachine returns the empty state of a server.
func (c *Cluster) newStateMachine() *AppendLog {
	if c.newExtension == nil {
		return &AppendLog{}
	}
	return &AppendLog{Extension: c.newExtension()}
}

// Propose has the server propose a new entry, which only a leader accepts.
func (s *Server) Propose() { s.ProposeExtended(nil, nil) }

// ProposeExtended is Propose with an operation of the extension. It calls begin once the proposal is accepted, unless
// that is nil, and then the function that begin returns with the response, if there is ever one.
func (s *Server) ProposeExtended(extension []byte, begin func() (answer func(response []byte))) {
	incarnation := s.incarnation
	s.runInIncarnation(incarnation, func() {
		s.cluster.Proposed++
		value := s.cluster.Proposed
		operation := append(binary.LittleEndian.AppendUint64(nil, value), extension...)
		index, term, accepted, output := s.replica.Propose(s.LocalTime(), operation)
		if accepted && begin != nil {
			s.cluster.answers[value] = begin()
		}
		if accepted {
			s.pendingProposals[[2]uint64{index, term}] = value
		}
		s.handleOutput(output)
		s.armWakeTimer()
	})
}
