package consensus_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

var walkCount = flag.Uint64("walks", 300, "number of random walks for each cluster size")

const (
	walkSteps           = 4000
	maxInFlight         = 400
	walkRetainedEntries = 6
)

// randomWalk is a random walk through the states of a cluster. A message in flight may be delivered
// at any later time, twice or never, also after its sender has lost its disk. Records may be
// unsynced when their replica crashes.
type randomWalk struct {
	random   *rand.Rand
	now      clock.Microseconds
	replicas []*walkReplica
	inFlight []walkMessage
	// partitioned holds two slots between which no messages are delivered at present.
	partitioned [2]int
	// committed holds, by index, each entry that any replica has ever known to be committed.
	committed map[uint64]wal.Entry
	// leaders holds the identities of all leaders, by term.
	leaders    map[uint64]string
	leases     []walkLease
	proposals  uint64
	diskLosses int
	violations []string
}

type walkMessage struct {
	consensus.Message
	sentAt clock.Microseconds
}

type walkLease struct {
	term  uint64
	until clock.Microseconds
}

type walkReplica struct {
	*consensus.Replica
	config          consensus.Config
	disk            *wal.State
	unsyncedOutputs []consensus.Output
}

func newRandomWalk(seed uint64, slots int) *randomWalk {
	walk := &randomWalk{
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       clock.Second,
		committed: map[uint64]wal.Entry{},
		leaders:   map[uint64]string{},
	}
	membership := consensus.Membership{}
	for slot := range slots {
		name := strconv.Itoa(slot)
		member := consensus.Member{Identity: name, Name: name, Address: name}
		membership.Members = append(membership.Members, member)
	}
	for slot := range slots {
		config := consensus.Config{
			Config:            election.Config{Slots: slots, Self: slot, Delta: simulation.MaxMessageAge},
			Timing:            simulation.LeaseTiming,
			RetainedEntries:   walkRetainedEntries,
			LocalMember:       membership.Members[slot],
			InitialMembership: membership,
		}
		walk.replicas = append(walk.replicas, &walkReplica{config: config, disk: wal.NewState()})
	}
	for slot := range slots {
		walk.start(slot, true)
	}
	return walk
}

// start starts the replica of a slot from its disk.
func (r *randomWalk) start(slot int, newCluster bool) {
	node := r.replicas[slot]
	node.config.Incarnation++
	stored := *node.disk.Shard(0)
	stored.Entries = append([]wal.Entry(nil), stored.Entries...)
	replica, output := consensus.StartReplica(node.config, consensus.StartOptions{
		StateMachine: &simulation.AppendLog{},
		Stored:       stored,
		Now:          r.now,
		NewCluster:   newCluster,
	})
	node.Replica, node.unsyncedOutputs = replica, nil
	r.handleOutput(slot, output)
}

// handleOutput sends the messages of an output, and syncs its records at once in three of four
// cases.
func (r *randomWalk) handleOutput(slot int, output consensus.Output) {
	node := r.replicas[slot]
	r.send(node, output.Messages)
	node.unsyncedOutputs = append(node.unsyncedOutputs, output)
	if r.random.IntN(4) > 0 {
		r.sync(slot)
	}
	r.checkInvariants(node)
}

// send puts messages in flight, and drops some of the oldest if there are more than maxInFlight.
func (r *randomWalk) send(from *walkReplica, messages []consensus.Message) {
	for _, message := range messages {
		message.Sender = from.config.LocalMember
		r.inFlight = append(r.inFlight, walkMessage{message, r.now})
	}
	for len(r.inFlight) > maxInFlight {
		r.drop(r.random.IntN(maxInFlight / 2))
	}
}

func (r *randomWalk) drop(index int) {
	r.inFlight = slices.Delete(r.inFlight, index, index+1)
}

// sync applies the unsynced records of a slot to its disk, and sends the messages that waited for
// the sync.
func (r *randomWalk) sync(slot int) {
	node := r.replicas[slot]
	outputs := node.unsyncedOutputs
	node.unsyncedOutputs = nil
	for _, output := range outputs {
		for _, record := range output.Records {
			node.disk.Apply(record)
		}
	}
	for _, output := range outputs {
		r.send(node, output.MessagesAfterSync)
	}
}

// step performs one random step. In a reliable phase no replica crashes and no message is lost.
func (r *randomWalk) step(reliable bool) {
	slot := r.random.IntN(len(r.replicas))
	choice := r.random.IntN(1000)
	switch {
	case choice < 880 && len(r.inFlight) > 0:
		index := r.random.IntN(len(r.inFlight))
		if reliable || r.random.IntN(3) > 0 {
			index = max(0, len(r.inFlight)-1-r.random.IntN(8))
		}
		r.deliver(index, reliable)
	case choice < 960:
		r.now += clock.Microseconds(r.random.Int64N(int64(simulation.MaxMessageAge) / 4))
		r.handleOutput(slot, r.replicas[slot].Tick(r.now))
	case choice < 985:
		r.proposals++
		_, _, _, output := r.replicas[slot].Propose(r.now, binary.LittleEndian.AppendUint64(nil, r.proposals))
		r.handleOutput(slot, output)
	case reliable:
		r.sync(slot)
	case choice < 992:
		r.start(slot, false)
	default:
		if slot = r.replicaWithPendingPromise(slot); !r.canLoseDisk(slot) {
			return
		}
		r.diskLosses++
		node := r.replicas[slot]
		node.disk = wal.NewState()
		node.config.LocalMember.Identity = fmt.Sprintf("%d-%d", slot, r.diskLosses)
		r.start(slot, false)
	}
}

// deliver delivers a message, and may leave a copy of it in flight. A message that crosses the
// partition stays in flight. So does, in three of four cases, a message of a daemon that has lost
// its disk since. An election message that is older than δ is dropped, as its receiver would drop
// it.
func (r *randomWalk) deliver(index int, reliable bool) {
	message := r.inFlight[index]
	link := [2]int{message.From, message.To}
	reverse := [2]int{message.To, message.From}
	partitioned := link == r.partitioned || reverse == r.partitioned
	isElection := message.Kind == consensus.MsgElection
	fromFormerMember := message.Sender != r.replicas[message.From].config.LocalMember
	if isElection && (partitioned || r.now-message.sentAt > simulation.MaxMessageAge) {
		r.drop(index)
		return
	}
	if partitioned || fromFormerMember && r.random.IntN(4) > 0 {
		return
	}
	if reliable || isElection || r.random.IntN(8) > 0 {
		r.drop(index)
	}
	r.handleOutput(message.To, r.replicas[message.To].Receive(r.now, message.Message))
}

// changePartition ends the present partition and, in two of three cases, starts another one between
// two slots.
func (r *randomWalk) changePartition() {
	r.partitioned = [2]int{-1, -1}
	if r.random.IntN(3) > 0 {
		first := r.random.IntN(len(r.replicas))
		r.partitioned = [2]int{first, (first + 1 + r.random.IntN(len(r.replicas)-1)) % len(r.replicas)}
	}
}

// replicaWithPendingPromise returns a slot from which a promise or an acceptance is in flight, or
// else the given slot.
func (r *randomWalk) replicaWithPendingPromise(slot int) int {
	for _, message := range r.inFlight {
		if !message.Accepted || message.From == message.To {
			continue
		}
		if message.Sender == r.replicas[message.From].config.LocalMember && r.random.IntN(4) == 0 {
			return message.From
		}
	}
	return slot
}

// canLoseDisk reports whether the cluster must tolerate the loss of the slot's disk in addition to
// the disks that are lost already.
func (r *randomWalk) canLoseDisk(slot int) bool {
	lostDisks := 0
	for index, node := range r.replicas {
		if index != slot && !node.disk.Shard(0).HasPromise {
			lostDisks++
		}
	}
	return lostDisks < (len(r.replicas)-1)/2
}

func (r *randomWalk) reportViolation(format string, values ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, values...))
}

// checkInvariants checks the invariants that hold in every state: committed entries never change, a
// term has one leader, and leases of two terms never overlap.
func (r *randomWalk) checkInvariants(node *walkReplica) {
	commit, _ := node.CommitIndex()
	for index := uint64(1); index <= commit; index++ {
		entry, ok := node.Entry(index)
		if !ok {
			continue
		}
		existing, seen := r.committed[index]
		switch {
		case !seen:
			r.committed[index] = entry
		case existing.Term != entry.Term || string(existing.Data) != string(entry.Data):
			r.reportViolation("two entries are committed at index %d: one of term %d and one of term %d", index, existing.Term, entry.Term)
		}
	}
	if !node.IsLeader() {
		return
	}
	_, term := node.Leader()
	if leader, existing := r.leaders[term]; existing && leader != node.config.LocalMember.Identity {
		r.reportViolation("term %d is led by %s and %s", term, leader, node.config.LocalMember.Identity)
	}
	r.leaders[term] = node.config.LocalMember.Identity
	until := node.LeaderLease().ExpiresAt()
	if until <= r.now {
		return
	}
	for _, lease := range r.leases {
		if lease.term != term && lease.until > r.now {
			r.reportViolation("leases of terms %d and %d overlap", lease.term, term)
		}
	}
	r.leases = append(r.leases, walkLease{term, until})
	if len(r.leases) > 64 {
		r.leases = r.leases[1:]
	}
}

// walkTotals holds the sums over the walks of one cluster size.
type walkTotals struct {
	commits, diskLosses, leaders, failures int
}

func (w *walkTotals) add(walk *randomWalk) {
	w.commits += len(walk.committed)
	w.diskLosses += walk.diskLosses
	w.leaders += len(walk.leaders)
	if len(walk.violations) > 0 {
		w.failures++
	}
}

// runWalk runs a walk to its end or to the first violation. Reliable phases, in which no replica
// crashes and no message is lost, alternate with unreliable phases.
func runWalk(seed uint64, slots int) *randomWalk {
	walk := newRandomWalk(seed, slots)
	for step := range walkSteps {
		if step%200 == 0 {
			walk.changePartition()
		}
		walk.step(step%500 < 300)
		if len(walk.violations) > 0 {
			break
		}
	}
	return walk
}

// Guards against orders of messages, crashes and lost disks in which a committed entry is lost, a
// term gets two leaders, or leases of two terms overlap.
func TestRandomWalk_PreservesCommittedEntries(t *testing.T) {
	for _, slots := range []int{3, 5} {
		t.Run(strconv.Itoa(slots), func(t *testing.T) {
			totals := walkTotals{}
			for seed := range *walkCount {
				walk := runWalk(seed, slots)
				totals.add(walk)
				if len(walk.violations) > 0 && totals.failures <= 5 {
					t.Errorf("seed %d: %v", seed, walk.violations)
				}
			}
			t.Logf("%d walks, %d entries committed, %d leaders, %d disks lost, %d walks with a violation",
				*walkCount, totals.commits, totals.leaders, totals.diskLosses, totals.failures)
			if totals.commits < 10*int(*walkCount) || totals.diskLosses < int(*walkCount) {
				t.Errorf("too few entries committed or disks lost: %d and %d in %d walks, want at least %d and %d",
					totals.commits, totals.diskLosses, *walkCount, 10*int(*walkCount), int(*walkCount))
			}
		})
	}
}
