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
func (core *Core) BeginRead() {
	core.step(core.life, func() {
		read, owns, output := core.member.BeginRead(core.Clock())
		if owns {
			core.reads = append(core.reads, pendingRead{read, core.group.Now()})
		}
		core.carry(output)
	})
}

// answerReads answers what has been confirmed: such a read must see every line that was
// acknowledged, by whichever core, before it began.
func (core *Core) answerReads() {
	waiting := core.reads
	core.reads = nil
	for _, read := range waiting {
		switch core.member.Judge(core.Clock(), read.Read) {
		case part.ReadWaits:
			core.reads = append(core.reads, read)
		case part.ReadLost:
			core.group.ReadLost++
		default:
			core.group.Read++
			core.checkRead(read)
		}
	}
}

func (core *Core) checkRead(read pendingRead) {
	seen := map[uint64]bool{}
	for _, line := range core.book.Lines {
		seen[line] = true
	}
	for line, at := range core.group.AckedAt {
		if at < read.begun && !seen[line] {
			core.group.Violate("core %d read at %d ms without line %d, acknowledged at %d ms", core.slot, read.begun/schedule.Millisecond, line, at/schedule.Millisecond)
		}
	}
}
