package simulation

import (
	"syscall"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// The intervals at which operations check whether a fault has ended.
const (
	freezePollInterval = 10 * time.Millisecond
	diskPollInterval   = 20 * time.Millisecond
)

// diskFault is the fault of a host's disk.
type diskFault struct {
	syncDelay clock.Microseconds
	stalled   bool
	full      bool
}

// DelayLink adds a delay to each write from one host to another.
func (m *MemoryNetwork) DelayLink(from, to string, delay clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.linkDelays[link{from, to}] = delay
}

// Freeze holds back all data to and from a host for a duration.
func (m *MemoryNetwork) Freeze(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.frozenUntil[host] = time.Now().Add(duration.Duration())
}

// delayWrite waits for the latency of a link and while one of the hosts is frozen, unless the connection
// is closed meanwhile.
func (m *MemoryNetwork) delayWrite(conn *memoryConn) {
	from, to := conn.from, conn.to
	m.lock.Lock()
	duration := m.Latency + m.linkDelays[link{from, to}]
	m.lock.Unlock()
	time.Sleep(duration.Duration())
	for m.isOpen(conn) && (m.isFrozen(from) || m.isFrozen(to)) {
		time.Sleep(freezePollInterval)
	}
}

func (m *MemoryNetwork) isOpen(conn *memoryConn) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.conns[conn]
}

func (m *MemoryNetwork) isFrozen(host string) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return time.Now().Before(m.frozenUntil[host])
}

// diskFault returns the disk fault of a host, for changes. The lock must be held.
func (m *MemoryNetwork) diskFault(host string) *diskFault {
	fault, known := m.diskFaults[host]
	if !known {
		fault = &diskFault{}
		m.diskFaults[host] = fault
	}
	return fault
}

// SlowDisk has each sync of a host take a duration.
func (m *MemoryNetwork) SlowDisk(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).syncDelay = duration
}

// StallDisk has no sync of a host end until its disk is repaired.
func (m *MemoryNetwork) StallDisk(host string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).stalled = true
}

// FillDisk has each write of a host fail with ENOSPC.
func (m *MemoryNetwork) FillDisk(host string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).full = true
}

// RepairDisks ends all disk faults.
func (m *MemoryNetwork) RepairDisks() {
	m.lock.Lock()
	defer m.lock.Unlock()
	clear(m.diskFaults)
}

// Commit is called before a write-ahead log writes: it takes the time that the disk takes, and fails as
// the disk does, or if the host is killed meanwhile.
func (h Host) Commit() error {
	h.lock.Lock()
	fault := *h.diskFault(h.Name)
	kills := h.killCounts[h.Name]
	h.lock.Unlock()
	if fault.full {
		return errcode.Wrap(syscall.ENOSPC, errcode.LogWriteFailed, h.Name)
	}
	time.Sleep(fault.syncDelay.Duration())
	for {
		h.lock.Lock()
		stalled := h.diskFault(h.Name).stalled
		killed := h.killCounts[h.Name] != kills
		h.lock.Unlock()
		if killed {
			return errcode.New(errcode.LogWriteFailed, "%s was killed", h.Name)
		}
		if !stalled {
			return nil
		}
		time.Sleep(diskPollInterval)
	}
}
