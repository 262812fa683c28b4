package controlplane

import (
	"sync/atomic"

	"coursepass/internal/controlplane/capacityorder"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/metrics/resources"
)

// serverCounters holds counters since the start of the process.
type serverCounters struct {
	messageCounters  messaging.Counters
	capacityCounters capacityorder.Counters
	// LateElectionMessages counts the election messages that were dropped because they were older than δ or of unknown
	// age.
	LateElectionMessages atomic.Int64
	// ReceivedMessages counts the messages that were passed to a replica.
	ReceivedMessages atomic.Int64
	// ChangesAfterPause counts the requests that were rejected because this server was suspended recently.
	ChangesAfterPause atomic.Int64
	// ChangesWithoutHead counts the requests that were rejected because they arrived on a connection for which no committed
	// index is known, such as one that was accepted after a suspension.
	ChangesWithoutHead atomic.Int64
	// UnobservedChanges counts the forwarded requests that were rejected because they name no log index.
	UnobservedChanges atomic.Int64
}

// counters returns the values of all counters by their public names.
func (s *Server) counters() map[string]int64 {
	counters := map[string]int64{
		"messages-sent":    s.messageCounters.Sent.Load(),
		"messages-taken":   s.ReceivedMessages.Load(),
		"messages-dropped": s.messageCounters.Dropped.Load(),
		"messages-late":    s.LateElectionMessages.Load(),
		"diary-mishaps":    s.reservations.LogErrors.Load(),
	}
	s.addLateChangeCounters(counters)
	s.addCopyCounters(counters)
	s.addTransportCounters(counters)
	s.addLogCounters(counters)
	s.addGossipCounters(counters)
	s.addUsageCounters(counters)
	for _, shard := range s.shards[1:] {
		if store := shard.Reservations(); store != nil {
			counters["claims"] += int64(store.Count())
		}
	}
	for _, leader := range s.serviceLeaders {
		leader.AddCounters(counters)
	}
	for _, runner := range s.singletonRunners {
		runner.AddCounters(counters)
	}
	s.capacityCounters.AddTo(counters)
	return counters
}

// addLateChangeCounters adds the counts of the requests that were rejected because they may have come too late.
func (s *Server) addLateChangeCounters(counters map[string]int64) {
	counters["changes-after-pause"] = s.ChangesAfterPause.Load()
	counters["changes-without-index"] = s.ChangesWithoutHead.Load()
	counters["changes-unobserved"] = s.UnobservedChanges.Load()
	for _, shard := range s.shards {
		counters["changes-overtaken"] += shard.OvertakenChanges.Load()
	}
}

// addCopyCounters adds the number of copies of the logs of the shards that this server leads, and the counts of what was
// dropped because of an earlier disk or a copy without progress.
func (s *Server) addCopyCounters(counters map[string]int64) {
	for _, shard := range s.shards {
		counters["messages-earlier-disk"] += shard.EarlierDiskMessages.Load()
		counters["learners-restarted"] += shard.LearnerRestarts.Load()
		status := shard.CurrentStatus()
		if status == nil {
			continue
		}
		for _, replica := range status.Copies {
			counters["copies-"+replica.State]++
		}
	}
}

func (s *Server) addTransportCounters(counters map[string]int64) {
	counters["foreign"] = s.internalTransport.ForeignRequests.Load()
	counters["garbage"] = s.internalTransport.MalformedRequests.Load()
	counters["calls"] = s.meter.Calls.Load()
	counters["bytes-inside"] = s.meter.Resources.Bytes(resources.Client, resources.SameZone)
	counters["bytes-across"] = s.meter.Resources.Bytes(resources.Client, resources.OtherZone)
	counters["bytes-unknown"] = s.meter.Resources.Bytes(resources.Client, resources.UnknownZone)
}

func (s *Server) addLogCounters(counters map[string]int64) {
	counters["journal-records"] = s.wal.Records.Load()
	counters["journal-syncs"] = s.wal.Syncs.Load()
	counters["journal-rewrites"] = s.wal.Rewrites.Load()
	counters["journal-cut"] = s.wal.TornTails.Load()
	counters["journal-waiting"] = int64(s.wal.QueueLength())
	counters["journal-failures"] = s.wal.Failures.Load()
	counters["journal-dropped"] = s.wal.DroppedBatches.Load()
	counters["journal-damaged"] = s.wal.DamagedFiles.Load()
}

func (s *Server) addGossipCounters(counters map[string]int64) {
	counters["news-taken"] = s.gossip.Accepted.Load()
	counters["news-known"] = s.gossip.Duplicates.Load()
	counters["news-passed"] = s.gossip.Forwarded.Load()
	counters["news-mended"] = s.gossip.Repaired.Load()
	counters["news-stepped"] = s.gossip.AppliedIncrementally.Load()
	counters["news-based"] = s.gossip.SnapshotsNeeded.Load()
}
