package usage

import (
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// meterWindows is the number of windows that a meter retains, including the current one. The earlier windows are
	// sent again to servers that have lost their counts.
	meterWindows = 6
	// maxMeterCounts is the maximum number of counts, one per window and tenant, that a meter retains.
	maxMeterCounts = 1 << 16
)

// tenantCount is the number of requests of a tenant in a window.
type tenantCount struct {
	requests uint64
	// changedAt is the version of the meter at the last change of the count.
	changedAt uint64
}

// Meter counts the requests that engines began for one router.
type Meter struct {
	windows Windows
	now     func() clock.Microseconds
	// changed has a buffer of one and receives a value after each change, unless one is already pending.
	changed chan struct{}
	// Dropped counts the requests that were not counted because the meter had reached maxMeterCounts.
	Dropped atomic.Int64

	// lock guards the fields below.
	lock sync.Mutex
	// version is incremented by each change.
	version uint64
	// counts maps windows and tenants to counts. countTotal is the number of counts in all windows.
	counts     map[uint64]map[string]*tenantCount
	countTotal int
}

// NewMeter returns an empty meter. The function now must return the true time.
func NewMeter(windows Windows, now func() clock.Microseconds) *Meter {
	return &Meter{
		windows: windows,
		now:     now,
		changed: make(chan struct{}, 1),
		counts:  map[uint64]map[string]*tenantCount{},
	}
}

// RecordRun counts a request of a tenant that an engine has just begun. A request without a tenant is not counted.
func (m *Meter) RecordRun(tenant string) {
	if tenant == "" {
		return
	}
	window := m.windows.At(m.now())
	m.lock.Lock()
	defer m.lock.Unlock()
	count := m.count(window, tenant)
	if count == nil {
		m.Dropped.Add(1)
		return
	}
	m.version++
	count.requests++
	count.changedAt = m.version
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// count returns the count of a tenant in a window, which it creates if necessary. It returns nil if the count does not
// exist and the meter has reached maxMeterCounts. The lock must be held.
func (m *Meter) count(window uint64, tenant string) *tenantCount {
	counts, exists := m.counts[window]
	if !exists {
		m.deleteOldWindows(window)
		counts = map[string]*tenantCount{}
		m.counts[window] = counts
	}
	count := counts[tenant]
	if count == nil && m.countTotal < maxMeterCounts {
		count = &tenantCount{}
		counts[tenant] = count
		m.countTotal++
	}
	return count
}

// deleteOldWindows deletes the windows that are too old to be retained when current is the current window. It also
// deletes windows more than one ahead of the current one, which result from a wrong estimate of the time. The lock must
// be held.
func (m *Meter) deleteOldWindows(current uint64) {
	for window, counts := range m.counts {
		if window+meterWindows <= current || window > current+1 {
			delete(m.counts, window)
			m.countTotal -= len(counts)
		}
	}
}

// Changed returns a channel that receives a value after the meter has changed. Several changes may be signaled by one
// value. At most one goroutine may receive from the channel at a time.
func (m *Meter) Changed() <-chan struct{} { return m.changed }

// Version returns the version of the meter, which is 0 until the first request is counted.
func (m *Meter) Version() uint64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.version
}

// ChangesSince returns the retained counts that have changed after a version, by window and tenant, and the current
// version of the meter. For version 0 it returns all retained counts.
func (m *Meter) ChangesSince(version uint64) (map[uint64]Counts, uint64) {
	current := m.windows.At(m.now())
	m.lock.Lock()
	defer m.lock.Unlock()
	m.deleteOldWindows(current)
	changes := map[uint64]Counts{}
	for window, counts := range m.counts {
		for tenant, count := range counts {
			if count.changedAt <= version {
				continue
			}
			if changes[window] == nil {
				changes[window] = Counts{}
			}
			changes[window][tenant] = count.requests
		}
	}
	return changes, m.version
}

// IsEmpty reports whether the meter has no counts.
func (m *Meter) IsEmpty() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.countTotal == 0
}
