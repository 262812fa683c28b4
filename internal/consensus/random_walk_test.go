package consensus_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/faulttest/simulation"
)

var walkCount = flag.Uint64("walks", 300, "number of random walks over the members of a group, for each size")

const (
	walkSteps           = 4000
	maxInFlight         = 400
	walkRetainedEntries = 6
)

// randomWalk is one random walk over the pure members of a group. Messages wait in a bag: each
// may be delivered at any later time, twice, or never, also after its sender has lost its
// disk; records may be unsynced when their member crashes.
type randomWalk struct {
	random   *rand.Rand
	now      clock.Microseconds
	replicas []*walkReplica
	inFlight []walkMessage
	// partitioned are two members between which nothing goes for now.
	partitioned [2]int
	// committed is what any member has ever known as committed.
	committed  map[uint64]wal.Entry
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
	walk := &randomWalk{random: rand.New(rand.NewPCG(seed, 7)), now: clock.Second, committed: map[uint64]wal.Entry{}, leaders: map[uint64]string{}}
	membership := consensus.Membership{}
	for slot := range slots {
		membership.Seats = append(membership.Seats, consensus.Member{Identity: fmt.Sprint(slot), Name: fmt.Sprint(slot), Address: fmt.Sprint(slot)})
	}
	for slot := range slots {
		config := consensus.Config{
			Config: election.Config{Slots: slots, Self: slot, Delta: simulation.MaxMessageAge}, Timing: simulation.LeaseTiming, RetainedEntries: walkRetainedEntries,
			LocalMember: membership.Seats[slot], InitialMembership: membership,
		}
		walk.replicas = append(walk.replicas, &walkReplica{config: config, disk: wal.NewState()})
	}
	for slot := range slots {
		walk.start(slot, true)
	}
	return walk
}

func (r *randomWalk) start(slot int, newCluster bool) {
	node := r.replicas[slot]
	node.config.Incarnation++
	stored := *node.disk.Shard(0)
	stored.Entries = append([]wal.Entry(nil), stored.Entries...)
	replica, output := consensus.StartReplica(node.config, &simulation.AppendLog{}, stored, r.now, newCluster)
	node.Replica, node.unsyncedOutputs = replica, nil
	r.handleOutput(slot, output)
}

func (r *randomWalk) handleOutput(slot int, output consensus.Output) {
	node := r.replicas[slot]
	r.send(node, output.Messages)
	node.unsyncedOutputs = append(node.unsyncedOutputs, output)
	if r.random.IntN(4) > 0 {
		r.sync(slot)
	}
	r.checkInvariants(node)
}

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

// deliver takes a message out of the bag, or leaves a copy for later. What crosses the cut
// stays; so does, mostly, what a daemon has said that has lost its disk since. An
// election's message that is older than δ is dropped, as its receiver would.
func (r *randomWalk) deliver(index int, reliable bool) {
	message := r.inFlight[index]
	partitioned := message.From == r.partitioned[0] && message.To == r.partitioned[1] || message.From == r.partitioned[1] && message.To == r.partitioned[0]
	isElection, fromFormerMember := message.Kind == consensus.MsgElection, message.Sender != r.replicas[message.From].config.LocalMember
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

// changePartition cuts two members off from each other, or heals the cut.
func (r *randomWalk) changePartition() {
	r.partitioned = [2]int{-1, -1}
	if r.random.IntN(3) > 0 {
		first := r.random.IntN(len(r.replicas))
		r.partitioned = [2]int{first, (first + 1 + r.random.IntN(len(r.replicas)-1)) % len(r.replicas)}
	}
}

// replicaWithPendingPromise is a member of whom a promise or an acceptance is still on its way.
func (r *randomWalk) replicaWithPendingPromise(slot int) int {
	for _, message := range r.inFlight {
		if message.Accepted && message.From != message.To && message.Sender == r.replicas[message.From].config.LocalMember && r.random.IntN(4) == 0 {
			return message.From
		}
	}
	return slot
}

// canLoseDisk keeps lost disks at a number that the group must bear.
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

// checkInvariants is what must hold in every state: committed entries stay, a round has one owner,
// and leases of two rounds never overlap.
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
		case existing.Round != entry.Round || string(existing.Data) != string(entry.Data):
			r.reportViolation("entry %d of round %d and of round %d are both committed", index, existing.Round, entry.Round)
		}
	}
	if !node.IsLeader() {
		return
	}
	_, term := node.Leader()
	if leader, existing := r.leaders[term]; existing && leader != node.config.LocalMember.Identity {
		r.reportViolation("round %d is owned by %s and %s", term, leader, node.config.LocalMember.Identity)
	}
	r.leaders[term] = node.config.LocalMember.Identity
	until := node.LeaderLease().ExpiresAt()
	if until <= r.now {
		return
	}
	for _, lease := range r.leases {
		if lease.term != term && lease.until > r.now {
			r.reportViolation("rounds %d and %d have leases at once", lease.term, term)
		}
	}
	r.leases = append(r.leases, walkLease{term, until})
	if len(r.leases) > 64 {
		r.leases = r.leases[1:]
	}
}

// Groups of three and of five are walked at random: what is committed stays, each round
// has one owner, and leases don't overlap, whatever the order of messages, crashes and
// lost disks.
func TestRandomWalk_PreservesCommittedEntries(t *testing.T) {
	for _, slots := range []int{3, 5} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			commits, diskLosses, leaders, failedWalks := 0, 0, 0, 0
			for seed := range *walkCount {
				walk := newRandomWalk(seed, slots)
				for step := range walkSteps {
					if step%200 == 0 {
						walk.changePartition()
					}
					if walk.step(step%500 < 300); len(walk.violations) > 0 {
						break
					}
				}
				commits, diskLosses, leaders = commits+len(walk.committed), diskLosses+walk.diskLosses, leaders+len(walk.leaders)
				if len(walk.violations) > 0 {
					if failedWalks++; failedWalks <= 5 {
						t.Errorf("seed %d: %v", seed, walk.violations)
					}
				}
			}
			t.Logf("%d walks, %d entries committed, %d owners, %d disks lost, %d walks with a fault", *walkCount, commits, leaders, diskLosses, failedWalks)
			if commits < 10*int(*walkCount) || diskLosses < int(*walkCount) {
				t.Errorf("too little happened")
			}
		})
	}
}
