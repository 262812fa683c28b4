package simulation

import (
	"coursepass/internal/clock"
	"coursepass/internal/consensus"
)

// pendingRead is a read of the book that no majority has confirmed yet.
type pendingRead struct {
	part.Read
	begun schedule.Microseconds
}

// BeginRead has the core read the book, if it owns the part.
func (s *Core) BeginRead() {
	s.step(s.life, func() {
		read, owns, output := s.member.BeginRead(s.Clock())
		if owns {
			s.reads = append(s.reads, pendingRead{read, s.group.Now()})
		}
		s.carry(output)
	})
}

// answerReads answers what has been confirmed: such a read must see every line that was
// acknowledged, by whichever core, before it began.
func (s *Core) answerReads() {
	waiting := s.reads
	s.reads = nil
	for _, read := range waiting {
		switch s.member.Judge(s.Clock(), read.Read) {
		case part.ReadWaits:
			s.reads = append(s.reads, read)
		case part.ReadLost:
			s.group.ReadLost++
		default:
			s.group.Read++
			s.checkRead(read)
		}
	}
}

func (s *Core) checkRead(read pendingRead) {
	seen := map[uint64]bool{}
	for _, line := range s.book.Lines {
		seen[line] = true
	}
	for line, at := range s.group.AckedAt {
		if at < read.begun && !seen[line] {
			s.group.Violate("core %d read at %d ms without line %d, acknowledged at %d ms", s.slot, read.begun/schedule.Millisecond, line, at/schedule.Millisecond)
		}
	}
}
