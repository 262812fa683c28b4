package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// pendingRead is a read that no majority has confirmed yet.
type pendingRead struct {
	consensus.PendingRead
	// startedAt is in true time.
	startedAt clock.Microseconds
}

// BeginRead has the server begin a read, which only a leader does.
func (s *Server) BeginRead() {
	s.runInIncarnation(s.incarnation, func() {
		read, isLeader, output := s.replica.BeginRead(s.LocalTime())
		if isLeader {
			s.pendingReads = append(s.pendingReads, pendingRead{read, s.cluster.Now()})
		}
		s.handleOutput(output)
	})
}

// completeReads answers the reads that have been confirmed.
func (s *Server) completeReads() {
	waiting := s.pendingReads
	s.pendingReads = nil
	for _, read := range waiting {
		switch s.replica.CheckRead(s.LocalTime(), read.PendingRead) {
		case consensus.ReadPending:
			s.pendingReads = append(s.pendingReads, read)
		case consensus.ReadAborted:
			s.cluster.ReadsFailed++
		default:
			s.cluster.ReadsAnswered++
			s.checkRead(read)
		}
	}
}

// checkRead checks that a read sees every entry that was acknowledged, by any server, before it began.
func (s *Server) checkRead(read pendingRead) {
	seen := map[uint64]bool{}
	for _, entry := range s.stateMachine.Entries {
		seen[entry] = true
	}
	for entry, at := range s.cluster.AcknowledgedAt {
		if at < read.startedAt && !seen[entry] {
			s.cluster.ReportViolation("server %d read at %d ms without entry %d, acknowledged at %d ms",
				s.slot, read.startedAt/clock.Millisecond, entry, at/clock.Millisecond)
		}
	}
}
