package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/election"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// configReplica is one member of a group that replicates a configuration, on a link of limited bandwidth.
type configReplica struct {
	group       *replicaGroup
	slot        int
	incarnation uint64
	alive       bool
	consensus   *consensus.Replica
	state       *config.State
	disk        *wal.State
	// outBusyUntil and inBusyUntil are the times until which the link is busy, by direction.
	outBusyUntil, inBusyUntil clock.Microseconds
	sentBytes                 int
	// largestMessage is the largest message that was sent, in bytes of content.
	largestMessage int
	// writtenBytes are the bytes written to the disk, cpuTime the processor time of the replica's steps.
	writtenBytes int
	cpuTime      time.Duration
}

// replicaGroup is a group of replicas in the simulator.
type replicaGroup struct {
	*Simulator
	consensus.Config
	replicas []*configReplica
	// bandwidth is that of a link, in bytes a second; delay is the latency of an empty message.
	bandwidth int
	delay     clock.Microseconds
	label     uint64
	// dropMessage, if set, decides which messages are lost.
	dropMessage func(consensus.Message) bool
}

// routeCount is the number of routes of a configuration.
const routeCount = 350

// messageOverhead is the size of an empty message, in bytes.
const messageOverhead = 150

func newReplicaGroup(seed uint64, slots, rate int, delay clock.Microseconds) *replicaGroup {
	group := &replicaGroup{Simulator: NewSimulator(seed), bandwidth: rate, delay: delay}
	group.Config = consensus.Config{
		Config:          election.Config{Slots: slots, Delta: MaxMessageAge},
		Timing:          LeaseTiming,
		RetainedEntries: 256,
	}
	for slot := range slots {
		name := fmt.Sprint(slot)
		group.InitialMembership.Members = append(group.InitialMembership.Members, consensus.Member{Identity: name, Name: name, Address: name})
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

// start begins an incarnation; bootstrap is set at the first start of the group.
func (c *configReplica) start(bootstrap bool) {
	replicaConfig := c.group.Config
	c.incarnation++
	replicaConfig.Self = c.slot
	replicaConfig.Incarnation = c.incarnation
	replicaConfig.LocalMember = replicaConfig.InitialMembership.Members[c.slot]
	history := *c.disk.Shard(0)
	history.Entries = append([]wal.Entry(nil), history.Entries...)
	c.state, c.alive = config.NewState(), true
	consensusReplica, output := consensus.StartReplica(replicaConfig, consensus.StartOptions{
		StateMachine: c.state,
		Stored:       history,
		Now:          c.group.Now(),
		NewCluster:   bootstrap,
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

// stop ends an incarnation, and loses the disk if wiped is set.
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
	incarnation := c.incarnation
	records := slices.Concat(output.Records, output.DeferredRecords)
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

// runUntil runs the simulation until a condition holds, and returns how long that took and whether it
// does.
func (r *replicaGroup) runUntil(maximum clock.Microseconds, holds func() bool) (clock.Microseconds, bool) {
	startedAt := r.Now()
	for r.Now()-startedAt < maximum {
		if holds() {
			return r.Now() - startedAt, true
		}
		r.Run(5 * clock.Millisecond)
	}
	return r.Now() - startedAt, holds()
}

func largeRouting(label, on uint64, routes int) *config.Routing {
	routing := &config.Routing{
		Label: label, ParentLabel: on, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{},
		Services: map[string]route.Service{"s": {Name: "s"}}, Bounds: &route.Limits{}, Items: map[string][]config.Item{},
	}
	for number := range routes {
		name := fmt.Sprint("route-", number)
		routing.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.KindStream, TotalTimeout: clock.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"give-up":1000,"label":%d}`, name, name, label)
		routing.Items["routes"] = append(routing.Items["routes"], config.Item{Name: name, Text: text})
	}
	return routing
}

// proposeChange proposes the next label, if there is a leader: first all routes, later one of them.
func (r *replicaGroup) proposeChange() {
	leader := r.leader()
	if leader == nil {
		return
	}
	routing, kind := largeRouting(r.label+1, r.label, 1), config.OperationPatchRoutes
	if r.label == 0 {
		routing, kind = largeRouting(1, 0, routeCount), config.OperationReplaceRoutes
	} else {
		routing.Services, routing.Bounds = nil, nil
	}
	operation := config.Operation{Request: config.Request{Kind: kind, Key: fmt.Sprint("change ", r.label), Routing: routing}}
	_, _, accepted, output := leader.consensus.Propose(r.Now(), operation.Encode())
	leader.handleOutput(output)
	if accepted {
		r.label++
	}
}

// proposeChanges has so many changes accepted, with an interval.
func (r *replicaGroup) proposeChanges(t *testing.T, count int, interval clock.Microseconds) {
	t.Helper()
	for target := r.label + uint64(count); r.label < target; {
		if _, hasLeader := r.runUntil(30*clock.Second, func() bool { return r.leader() != nil }); !hasLeader {
			t.Fatal("no leader")
		}
		r.proposeChange()
		r.Run(interval)
	}
}

// isCaughtUp reports whether a replica has all accepted changes, and may answer.
func (c *configReplica) isCaughtUp() bool {
	_, current := c.consensus.CommitIndex()
	return current && !c.consensus.Recovering() && c.state.Label == c.group.label
}

// routingEntrySize returns the size of an entry with all routes, which is never divided.
func routingEntrySize() int {
	request := config.Request{Kind: config.OperationReplaceRoutes, Routing: largeRouting(1, 0, routeCount)}
	return len(config.Operation{Request: request}.Encode())
}
