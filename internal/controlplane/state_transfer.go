package controlplane

import (
	"coursepass/internal/consensus"
	"coursepass/internal/consensus/wal"
	"coursepass/internal/gossip"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// ApplyEntries makes a part's state from an earlier one and the log's steps after it: what
// travels are operations, which every side applies alike.
func ApplyEntries(index int, data []byte, entries []gossip.Entry, revision uint64) ([]byte, bool) {
	membership, snapshot, valid := consensus.DecodeSnapshot(data)
	if !valid {
		return nil, false
	}
	var state stateMachine = config.NewState()
	if index > 0 {
		state = registry.NewState()
	}
	state.Restore(snapshot)
	for _, entry := range entries {
		consensus.ApplyEntry(state, &membership, wal.Entry{Index: entry.Index, Round: entry.Round, Data: entry.Data})
	}
	if state.Revision() != revision {
		return nil, false
	}
	return consensus.EncodeSnapshot(membership, state.Snapshot()), true
}

// entriesSincePublished are the entries since what was published last, if all of them are still held.
func (s *shardReplica) entriesSincePublished(applied uint64) []gossip.Entry {
	var entries []gossip.Entry
	for index := s.publishedIndex + 1; s.publishedIndex > 0 && index <= applied; index++ {
		entry, retained := s.replica.Entry(index)
		if !retained {
			return nil
		}
		entries = append(entries, gossip.Entry{Index: entry.Index, Round: entry.Round, Data: entry.Data})
	}
	return entries
}
