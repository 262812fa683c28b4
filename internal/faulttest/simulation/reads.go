package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// pendingRead is a read of the book that no majority has confirmed yet.
type pendingRead struct {
	consensus.PendingRead
	startedAt clock.Microseconds
}

// BeginRead has the core read the book, if it owns the part.
func (s *Server) BeginRead() {
	s.runInIncarnation(s.incarnation, func() {
		read, owns, output := s.replica.BeginRead(s.LocalTime())
		if owns {
			s.pendingReads = append(s.pendingReads, pendingRead{read, s.cluster.Now()})
		}
		s.handleOutput(output)
	})
}

// completeReads answers what has been confirmed: such a read must see every line that was
// acknowledged, by whichever core, before it began.
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

func (s *Server) checkRead(read pendingRead) {
	seen := map[uint64]bool{}
	for _, entry := range s.stateMachine.Entries {
		seen[entry] = true
	}
	for entry, at := range s.cluster.AcknowledgedAt {
		if at < read.startedAt && !seen[entry] {
			s.cluster.ReportViolation("core %d read at %d ms without line %d, acknowledged at %d ms", s.slot, read.startedAt/clock.Millisecond, entry, at/clock.Millisecond)
		}
	}
}
