package simulation

import (
	"fmt"

	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
)

// SendEngineCommands has every leader send commands to one engine, and returns the observer of the
// engine. Between the check of the lease and the engine a command may take up to its timeout.
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

// sendEngineCommand sends a command if the server leads with a lease that covers the timeout.
func (s *Server) sendEngineCommand(observer *emulator.Observer) {
	activeLease := s.replica.LeaderLease()
	if activeLease == nil || !s.replica.IsLeader() {
		return
	}
	guard := &enginecommand.LeaseGuard{
		Term:      activeLease.Term,
		NotBefore: activeLease.UsableFrom(),
		NotAfter:  activeLease.ExpiresAt(),
	}
	if !guard.Covers(s.LocalTime(), EngineCommandTimeout) {
		return
	}
	command := enginecommand.Command{Term: guard.Term, Leader: fmt.Sprint("core-", s.slot)}
	latency := s.cluster.RandomBetween(0, EngineCommandTimeout)
	s.cluster.After(latency, func() { observer.RecordCommand(s.cluster.Now(), command) })
}
