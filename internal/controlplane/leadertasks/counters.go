package leadertasks

// AddCounters adds the counters of the leader's tasks to the given counters of the server. The keys are the
// names under which operators see the counters.
func (l *ServiceLeader) AddCounters(counters map[string]int64) {
	counters["orders-sent"] += l.dispatcher.Sent.Load()
	counters["orders-acked"] += l.dispatcher.Acknowledged.Load()
	counters["orders-held"] += l.dispatcher.Blocked.Load()
	counters["orders-mishaps"] += l.dispatcher.Failed.Load()
	counters["polls"] += l.polls.Load()
	counters["rulings"] += l.retryDecisions.Load()
	counters["rulings-retry"] += l.retries.Load()
}
