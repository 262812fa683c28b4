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
	// answer is called with the extension once the read is confirmed. It may be nil.
	answer func(extension consensus.StateMachine)
}

// BeginRead has the server begin a read, which only a leader does.
func (s *Server) BeginRead() { s.BeginExtendedRead(nil) }

// BeginExtendedRead is BeginRead with a function that is called once the read has begun, and returns the one that is
// called with the extension once the read is confirmed. It may be nil.
func (s *Server) BeginExtendedRead(begin func() func(extension consensus.StateMachine)) {
	s.runInIncarnation(s.incarnation, func() {
		read, isLeader, output := s.replica.BeginRead(s.LocalTime())
		if isLeader {
			pending := pendingRead{PendingRead: read, startedAt: s.cluster.Now()}
			if begin != nil {
				pending.answer = begin()
			}
			s.pendingReads = append(s.pendingReads, pending)
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
			if read.answer != nil {
				read.answer(s.stateMachine.Extension)
			}
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
