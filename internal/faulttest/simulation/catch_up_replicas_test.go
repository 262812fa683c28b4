package simulation

import (
	"fmt"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// configReplica is one member of a group that keeps a configuration, on a link of bounded rate.
type configReplica struct {
	group       *replicaGroup
	slot        int
	incarnation uint64
	alive       bool
	consensus   *consensus.Replica
	state       *config.State
	disk        *wal.State
	// busy is until when the link is taken, out and in.
	outBusyUntil, inBusyUntil clock.Microseconds
	sentBytes                 int
	// largestMessage is the largest message that was sent, in bytes of content.
	largestMessage int
	// writtenBytes are the bytes that went to the disk, used the processor time of the member.
	writtenBytes int
	cpuTime      time.Duration
}

type replicaGroup struct {
	*Simulator
	consensus.Config
	replicas []*configReplica
	// bandwidth is what a link carries, in bytes a second; delay is that of an empty message.
	bandwidth int
	delay     clock.Microseconds
	label     uint64
	// dropMessage loses messages of a kind.
	dropMessage func(consensus.Message) bool
}

const messageOverhead = 150

func newReplicaGroup(seed uint64, slots, rate int, delay clock.Microseconds) *replicaGroup {
	group := &replicaGroup{Simulator: NewSimulator(seed), bandwidth: rate, delay: delay}
	group.Config = consensus.Config{Config: election.Config{Slots: slots, Delta: MaxMessageAge}, Timing: LeaseTiming, RetainedEntries: 256}
	for slot := range slots {
		name := fmt.Sprint(slot)
		group.InitialMembership.Seats = append(group.InitialMembership.Seats, consensus.Member{Identity: name, Name: name, Address: name})
	}
	for slot := range slots {
		created := &configReplica{group: group, slot: slot, disk: wal.NewState()}
		group.replicas = append(group.replicas, created)
	}
	for _, created := range group.replicas {
		created.start(true)
	}
	return group
}

func (c *configReplica) start(founding bool) {
	replicaConfig := c.group.Config
	c.incarnation++
	replicaConfig.Self, replicaConfig.Incarnation, replicaConfig.LocalMember = c.slot, c.incarnation, replicaConfig.InitialMembership.Seats[c.slot]
	history := *c.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	c.state, c.alive = config.NewState(), true
	consensusReplica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: c.state,
		Stored:       history,
		Now:          c.group.Now(),
		NewCluster:   founding,
	})
	c.consensus = consensusReplica
	c.handleOutput(output)
	incarnation := c.incarnation
	c.group.Every(20*clock.Millisecond, func() bool {
		if c.alive && c.incarnation == incarnation {
			c.handleOutput(c.consensus.Tick(c.group.Now()))
		}
		return c.incarnation == incarnation
	})
}

// stop ends a life; wiped, the disk goes with it.
func (c *configReplica) stop(wiped bool) {
	c.alive = false
	c.incarnation++
	if wiped {
		c.disk = wal.NewState()
	}
}

func (c *configReplica) handleOutput(output consensus.Output) {
	for _, message := range output.Messages {
		c.send(message)
	}
	incarnation, records := c.incarnation, append(output.Records, output.DeferredRecords...)
	if len(records)+len(output.MessagesAfterSync) == 0 {
		return
	}
	c.group.After(5*clock.Millisecond, func() {
		if !c.alive || c.incarnation != incarnation {
			return
		}
		c.writtenBytes += len(wal.AppendFrame(nil, records))
		for _, record := range records {
			c.disk.Apply(record)
		}
		for _, message := range output.MessagesAfterSync {
			c.send(message)
		}
	})
}

func (c *configReplica) send(message consensus.Message) {
	group := c.group
	message.Sender = c.consensus.LocalMember
	to := group.replicas[message.To]
	if to == c {
		group.After(0, func() { c.receive(c.incarnation, message) })
		return
	}
	size := message.Size()
	c.largestMessage = max(c.largestMessage, size)
	c.sentBytes += size + messageOverhead
	if group.dropMessage != nil && group.dropMessage(message) {
		return
	}
	duration := clock.Microseconds((size + messageOverhead) * 1_000_000 / group.bandwidth)
	c.outBusyUntil = max(c.outBusyUntil, group.Now()) + duration
	to.inBusyUntil = max(to.inBusyUntil, c.outBusyUntil+group.delay-duration) + duration
	sent, incarnation := group.Now(), to.incarnation
	group.After(to.inBusyUntil-sent, func() {
		if message.Kind != consensus.MsgElection || group.Now()-sent <= MaxMessageAge {
			to.receive(incarnation, message)
		}
	})
}

func (c *configReplica) receive(incarnation uint64, message consensus.Message) {
	if c.alive && c.incarnation == incarnation {
		startedAt := threadCPUTime()
		output := c.consensus.Receive(c.group.Now(), message)
		c.cpuTime += threadCPUTime() - startedAt
		c.handleOutput(output)
	}
}

func (r *replicaGroup) leader() *configReplica {
	for _, member := range r.replicas {
		if member.alive && member.consensus.IsLeader() {
			return member
		}
	}
	return nil
}

// runUntil lets time pass until something holds, and says how long that took.
func (r *replicaGroup) runUntil(maximum clock.Microseconds, holds func() bool) (clock.Microseconds, bool) {
	startedAt := r.Now()
	for r.Now()-startedAt < maximum {
		if holds() {
			return r.Now() - startedAt, true
		}
		r.Simulator.Run(5 * clock.Millisecond)
	}
	return r.Now() - startedAt, holds()
}

func largeRouting(label, on uint64, routes int) *config.Routing {
	routing := &config.Routing{
		Label: label, On: on, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{},
		Services: map[string]route.Service{"s": {Name: "s"}}, Bounds: &route.Limits{}, Items: map[string][]config.Item{},
	}
	for number := range routes {
		name := fmt.Sprint("route-", number)
		routing.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, GiveUp: clock.Second, Shares: []route.WeightedService{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"give-up":1000,"label":%d}`, name, name, label)
		routing.Items["routes"] = append(routing.Items["routes"], config.Item{Name: name, Text: text})
	}
	return routing
}

// proposeChange puts the next label in force: all routes first, one of them each time after that.
func (r *replicaGroup) proposeChange(routes int) bool {
	leader := r.leader()
	if leader == nil {
		return false
	}
	routing, kind := largeRouting(r.label+1, r.label, 1), config.OperationPatchRoutes
	if r.label == 0 {
		routing, kind = largeRouting(1, 0, routes), config.OperationReplaceRoutes
	} else {
		routing.Services, routing.Bounds = nil, nil
	}
	operation := config.Operation{Request: config.Request{Kind: kind, Key: fmt.Sprint("change ", r.label), Routing: routing}}
	_, _, accepted, output := leader.consensus.Propose(r.Now(), operation.Encode())
	leader.handleOutput(output)
	if accepted {
		r.label++
	}
	return accepted
}

func (r *replicaGroup) proposeChanges(t *testing.T, count, routes int, interval clock.Microseconds) {
	for target := r.label + uint64(count); r.label < target; {
		if _, hasLeader := r.runUntil(30*clock.Second, func() bool { return r.leader() != nil }); !hasLeader {
			t.Fatal("no leader")
		}
		r.proposeChange(routes)
		r.Simulator.Run(interval)
	}
}

// isCaughtUp tells whether a member has what the leader has committed, and may answer.
func (c *configReplica) isCaughtUp() bool {
	_, current := c.consensus.CommitIndex()
	return current && !c.consensus.Recovering() && c.state.Label == c.group.label
}

// routingEntrySize is the size of the entry that puts 350 routes in force; no entry is divided.
func routingEntrySize() int {
	request := config.Request{Kind: config.OperationReplaceRoutes, Routing: largeRouting(1, 0, 350)}
	return len(config.Operation{Request: request}.Encode())
}
