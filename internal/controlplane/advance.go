package core

import (
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// Advance makes a part's state from an earlier one and the log's steps after it: what
// travels are operations, which every side applies alike.
func Advance(index int, data []byte, steps []news.Step, sequence uint64) ([]byte, bool) {
	bindings, capture, read := part.Unpack(data)
	if !read {
		return nil, false
	}
	var state replica = configuration.NewState()
	if index > 0 {
		state = catalogue.NewState()
	}
	state.Restore(capture)
	for _, step := range steps {
		part.Replay(state, &bindings, journal.Entry{Index: step.Index, Round: step.Round, Data: step.Data})
	}
	if state.Number() != sequence {
		return nil, false
	}
	return part.Pack(bindings, state.Snapshot()), true
}

// steps are the entries since what was published last, if all of them are still held.
func (s *shard) steps(applied uint64) []news.Step {
	var steps []news.Step
	for index := s.published + 1; s.published > 0 && index <= applied; index++ {
		entry, held := s.member.Entry(index)
		if !held {
			return nil
		}
		steps = append(steps, news.Step{Index: entry.Index, Round: entry.Round, Data: entry.Data})
	}
	return steps
}
