package usage

import (
	"sync"
	"sync/atomic"

	"coursepass/internal/clock"
)

const (
	// heldWindows is how many windows a meter holds: the current one, and earlier ones for servers that have lost
	// what they were sent.
	heldWindows = 6
	// maxMeterCounts bounds the counts of a meter, over all windows.
	maxMeterCounts = 1 << 16
)

// tenantCount is the count of a tenant in a window.
type tenantCount struct {
	runs uint64
	// changedAt is the version of the meter in which the count has changed last.
	changedAt uint64
}

// Meter counts the requests that engines began for one router.
type Meter struct {
	windows Windows
	now     func() clock.Microseconds
	changed chan struct{}
	// Dropped counts requests that were not counted since there are too many tenants.
	Dropped atomic.Int64

	// lock guards what follows.
	lock sync.Mutex
	// version is raised by each change.
	version uint64
	// counts are by window and tenant, countTotal is how many there are.
	counts     map[uint64]map[string]*tenantCount
	countTotal int
}

// NewMeter returns an empty meter. The function returns the true time.
func NewMeter(windows Windows, now func() clock.Microseconds) *Meter {
	return &Meter{
		windows: windows,
		now:     now,
		changed: make(chan struct{}, 1),
		counts:  map[uint64]map[string]*tenantCount{},
	}
}

// RecordRun counts a request of a tenant that an engine has just begun. A request without a tenant is nobody's
// usage.
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
	count.runs++
	count.changedAt = m.version
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// count returns the count of a tenant in the current window, nil if there are too many. The lock must be held.
func (m *Meter) count(window uint64, tenant string) *tenantCount {
	counts, exists := m.counts[window]
	if !exists {
		m.forgetOldWindows(window)
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

// forgetOldWindows forgets the windows that are not held once a window has begun, and those that a wrong estimate
// of the time has placed in the future. The lock must be held.
func (m *Meter) forgetOldWindows(current uint64) {
	for window, counts := range m.counts {
		if window+heldWindows <= current || window > current+1 {
			delete(m.counts, window)
			m.countTotal -= len(counts)
		}
	}
}

// Changed returns the channel that receives after the meter has changed. One receiver may wait at a time.
func (m *Meter) Changed() <-chan struct{} { return m.changed }

// Version returns the version of the meter, 0 as long as nothing was counted.
func (m *Meter) Version() uint64 {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.version
}

// ChangesSince returns the counts that have changed after a version, by window and tenant, and the version that
// they bring their receiver to. Since version 0 all that is held has changed.
func (m *Meter) ChangesSince(version uint64) (map[uint64]Counts, uint64) {
	current := m.windows.At(m.now())
	m.lock.Lock()
	defer m.lock.Unlock()
	m.forgetOldWindows(current)
	changes := map[uint64]Counts{}
	for window, counts := range m.counts {
		for tenant, count := range counts {
			if count.changedAt <= version {
				continue
			}
			if changes[window] == nil {
				changes[window] = Counts{}
			}
			changes[window][tenant] = count.runs
		}
	}
	return changes, m.version
}

// IsEmpty reports whether the meter holds no counts.
func (m *Meter) IsEmpty() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.countTotal == 0
}
