package simulation

import (
	"fmt"

	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
)

// SendEngineCommands has every core that leads send orders to one engine, whose observer
// outlives restarts. Between the guard and the engine an order may lie in kernels
// for up to its budget.
func (c *Cluster) SendEngineCommands() *emulator.Observer {
	observer := emulator.NewObserver(c.LeaseDuration)
	for _, server := range c.Servers {
		c.Every(engineCommandInterval, func() bool {
			server.runInIncarnation(server.incarnation, func() { server.sendEngineCommand(observer) })
			return true
		})
	}
	return observer
}

func (s *Server) sendEngineCommand(observer *emulator.Observer) {
	activeLease := s.replica.LeaderLease()
	if activeLease == nil || !s.replica.IsLeader() {
		return
	}
	guard := &enginecommand.LeaseGuard{Term: activeLease.Term, NotBefore: activeLease.UsableFrom(), NotAfter: activeLease.ExpiresAt()}
	if !guard.Covers(s.LocalTime(), EngineCommandTimeout) {
		return
	}
	command := enginecommand.Command{Term: guard.Term, Leader: fmt.Sprint("core-", s.slot)}
	s.cluster.After(s.cluster.RandomBetween(0, EngineCommandTimeout), func() { observer.RecordCommand(s.cluster.Now(), command) })
}
