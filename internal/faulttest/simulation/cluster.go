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

// AppendLog is the state of the simulated part: all operations ever applied, in order.
type AppendLog struct{ Entries []uint64 }

// Apply adds a line once.
func (a *AppendLog) Apply(operation []byte) []byte {
	a.Entries = append(a.Entries, binary.LittleEndian.Uint64(operation))
	return operation
}

// Snapshot is the whole book.
func (a *AppendLog) Snapshot() []byte {
	var buffer bytes.Buffer
	_ = binary.Write(&buffer, binary.LittleEndian, a.Entries)
	return buffer.Bytes()
}

// Restore takes the whole book.
func (a *AppendLog) Restore(snapshot []byte) {
	a.Entries = make([]uint64, len(snapshot)/8)
	_ = binary.Read(bytes.NewReader(snapshot), binary.LittleEndian, a.Entries)
}

type diskWrite struct {
	records           []wal.Record
	messagesAfterSync []consensus.Message
}

// Server is one simulated control daemon with one part.
type Server struct {
	cluster     *Cluster
	slot        int
	incarnation uint64
	// wipeCount counts lost disks: each empty one gets an identity of its own.
	wipeCount        int
	alive            bool
	frozenUntil      clock.Microseconds
	clockOffset      clock.Microseconds
	clockDrift       float64
	replica          *consensus.Replica
	stateMachine     *AppendLog
	disk             *wal.State
	unsyncedRecords  []wal.Record
	pendingWrites    []diskWrite
	syncing          bool
	maxSyncTime      clock.Microseconds
	syncStartedAt    clock.Microseconds
	stalledUntil     clock.Microseconds
	ageEstimators    map[int]*messageage.Estimator
	pendingProposals map[[2]uint64]uint64
	pendingReads     []pendingRead
	wakeAt           clock.Microseconds
	wakePending      bool
}

// Cluster is all cores of one part.
type Cluster struct {
	*Network
	consensus.Config
	Servers      []*Server
	Acknowledged map[uint64]bool
	Proposed     uint64
	// AcknowledgedAt is when each line was acknowledged, by true time.
	AcknowledgedAt  map[uint64]clock.Microseconds
	ExpiredMessages int
	// ReadsAnswered counts the reads that were answered, and ReadLost those that could not be.
	ReadsAnswered, ReadsFailed int
	// leaderOfTerm are the identities that have owned a round.
	leaderOfTerm map[uint64]string
}

// Terms of simulated groups: δ 200 ms, lease-ms 3000.
var (
	MaxMessageAge = 200 * clock.Millisecond
	LeaseTiming   = lease.Timing{LeaseDuration: 3 * clock.Second, SafetyMargin: 150 * clock.Millisecond}
)

// NewCluster founds a group of so many cores.
func NewCluster(network *Network, slots int) *Cluster {
	cluster := &Cluster{
		Network: network, Acknowledged: map[uint64]bool{}, AcknowledgedAt: map[uint64]clock.Microseconds{}, leaderOfTerm: map[uint64]string{},
		Config: consensus.Config{Config: election.Config{Slots: slots, Delta: MaxMessageAge}, Timing: LeaseTiming, RetainedEntries: 24, ChunkSize: 256},
	}
	for slot := range slots {
		cluster.InitialMembership.Seats = append(cluster.InitialMembership.Seats, consensus.Member{Identity: fmt.Sprint(slot), Name: fmt.Sprint(slot), Address: fmt.Sprint(slot)})
	}
	for slot := range slots {
		server := &Server{
			cluster: cluster, slot: slot, disk: wal.NewState(), maxSyncTime: 2 * clock.Millisecond,
			clockOffset: network.RandomBetween(clock.Second, 1000*clock.Second),
		}
		cluster.Servers = append(cluster.Servers, server)
	}
	for _, server := range cluster.Servers {
		server.Start(true)
	}
	return cluster
}

// LocalTime is what the core's own monotonic clock shows.
func (s *Server) LocalTime() clock.Microseconds {
	now := s.cluster.Now()
	return s.clockOffset + now + clock.Microseconds(float64(now)*s.clockDrift)
}

// Start begins a new life with what the disk holds.
func (s *Server) Start(founding bool) {
	replicaConfig := s.cluster.Config
	replicaConfig.Self = s.slot
	s.incarnation++
	replicaConfig.Incarnation, replicaConfig.LocalMember = s.incarnation, replicaConfig.InitialMembership.Seats[s.slot]
	if s.wipeCount > 0 {
		replicaConfig.LocalMember.Identity = fmt.Sprintf("%d-%d", s.slot, s.wipeCount)
	}
	s.wakePending = false
	s.alive, s.frozenUntil, s.unsyncedRecords, s.pendingWrites, s.syncing = true, 0, nil, nil, false
	s.stateMachine, s.ageEstimators, s.pendingProposals = &AppendLog{}, map[int]*messageage.Estimator{}, map[[2]uint64]uint64{}
	s.pendingReads = nil
	for slot := range replicaConfig.Slots {
		s.ageEstimators[slot] = &messageage.Estimator{}
	}
	history := *s.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	replica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: s.stateMachine,
		Stored:       history,
		Now:          s.LocalTime(),
		NewCluster:   founding,
	})
	s.replica = replica
	s.handleOutput(output)
	s.armWakeTimer()
	s.requestMembership(s.incarnation)
}

// Crash ends a life; what was not synced is lost, but for a first few records at
// the most.
func (s *Server) Crash() {
	if !s.alive {
		return
	}
	s.alive = false
	for _, record := range s.unsyncedRecords[:s.cluster.Random.IntN(len(s.unsyncedRecords)+1)] {
		s.disk.Apply(record)
	}
	s.unsyncedRecords, s.pendingWrites = nil, nil
}

// EraseDisk loses the disk of a dead core.
func (s *Server) EraseDisk() {
	s.disk = wal.NewState()
	s.wipeCount++
}

// Freeze stops a core without its knowing, its clock running on.
func (s *Server) Freeze(duration clock.Microseconds) {
	s.frozenUntil = max(s.frozenUntil, s.cluster.Now()+duration)
}

// runInIncarnation runs an action inside a life of the core, after it thaws.
func (s *Server) runInIncarnation(incarnation uint64, action func()) {
	switch {
	case !s.alive || s.incarnation != incarnation:
	case s.frozenUntil > s.cluster.Now():
		s.cluster.After(s.frozenUntil-s.cluster.Now(), func() { s.runInIncarnation(incarnation, action) })
	default:
		action()
	}
}

func (s *Server) armWakeTimer() {
	s.restartIfRemoved()
	incarnation, wakeTime := s.incarnation, s.replica.NextTick()
	duration := max(wakeTime-s.LocalTime(), 100)
	at := s.cluster.Now() + duration
	if s.wakePending && s.wakeAt <= at && s.wakeAt > s.cluster.Now() {
		return
	}
	s.wakePending, s.wakeAt = true, at
	s.cluster.After(duration, func() {
		s.runInIncarnation(incarnation, func() {
			s.wakePending = false
			s.replica.SetDiskStalled(s.syncing && s.cluster.Now()-s.syncStartedAt > 5*MaxMessageAge)
			s.handleOutput(s.replica.Tick(s.LocalTime()))
			s.armWakeTimer()
		})
	})
}

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
			delete(s.pendingProposals, key)
		}
	}
	if output.ProposalsDropped {
		clear(s.pendingProposals)
	}
	s.completeReads()
}

// checkOneLeaderPerTerm checks that a round has one owner ever, also when its slot changes hands.
func (s *Server) checkOneLeaderPerTerm() {
	if s.replica == nil || !s.replica.IsLeader() {
		return
	}
	_, term := s.replica.Leader()
	identity, known := s.cluster.leaderOfTerm[term]
	if !known {
		s.cluster.leaderOfTerm[term] = s.replica.LocalMember.Identity
	} else if identity != s.replica.LocalMember.Identity {
		s.cluster.ReportViolation("round %d is owned by %s and by %s", term, identity, s.replica.LocalMember.Identity)
	}
}

// startSync gives the disk all that waits for it at once, as the journal does.
func (s *Server) startSync() {
	if s.syncing || len(s.pendingWrites) == 0 {
		return
	}
	incarnation, batch := s.incarnation, s.pendingWrites
	s.syncing, s.pendingWrites = true, nil
	s.syncStartedAt = s.cluster.Now()
	s.cluster.After(max(s.cluster.RandomBetween(s.maxSyncTime/4, s.maxSyncTime), s.stalledUntil-s.cluster.Now()), func() {
		if !s.alive || s.incarnation != incarnation {
			return
		}
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
	})
}

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

// send carries a message with its stamp; a core that does not know the other's
// clock asks for it first.
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

// deliver has the receiver drop elections' messages that it judges older than δ,
// and show its clock in its answer.
func (s *Server) deliver(message consensus.Message, at, sent clock.Microseconds) {
	cluster, to, incarnation := s.cluster, s.cluster.Servers[message.To], s.incarnation
	stamp := s.ageEstimators[message.To].Stamp(at)
	cluster.Send(s.slot, message.To, func() {
		to.runInIncarnation(to.incarnation, func() {
			echo := to.replica.Echo()
			s.sendClockReading(incarnation, to, func() {
				if message.RequestsEcho() {
					s.handleOutput(s.replica.ReceiveEcho(s.LocalTime(), at, to.replica.LocalMember.Address, echo))
					s.armWakeTimer()
				}
			})
			age, measurable := stamp.Age(to.LocalTime(), to.incarnation)
			if message.Kind == consensus.MsgElection {
				if !measurable || age > MaxMessageAge {
					cluster.ExpiredMessages++
					return
				}
				if realAge := cluster.Now() - sent; realAge > MaxMessageAge+MaxMessageAge/1000 {
					cluster.ReportViolation("a message of %d µs passed as young", realAge)
				}
			}
			message.Sender = s.replica.LocalMember
			to.handleOutput(to.replica.Receive(to.LocalTime(), message))
			to.armWakeTimer()
		})
	})
}

func (s *Server) sendClockReading(incarnation uint64, to *Server, callback func()) {
	reading := messageage.ClockReading{Incarnation: to.incarnation, Clock: to.LocalTime()}
	s.cluster.Send(to.slot, s.slot, func() {
		s.runInIncarnation(incarnation, func() {
			s.ageEstimators[to.slot].RecordReading(s.LocalTime(), reading)
			callback()
		})
	})
}

// Propose has the core put a new line into the book, if it owns the part.
func (s *Server) Propose() {
	incarnation := s.incarnation
	s.runInIncarnation(incarnation, func() {
		s.cluster.Proposed++
		value := s.cluster.Proposed
		index, term, accepted, output := s.replica.Propose(s.LocalTime(), binary.LittleEndian.AppendUint64(nil, value))
		if accepted {
			s.pendingProposals[[2]uint64{index, term}] = value
		}
		s.handleOutput(output)
		s.armWakeTimer()
	})
}
