package simulation

import (
	"syscall"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// diskFault is what ails a machine's disk.
type diskFault struct {
	syncDelay clock.Microseconds
	stalled   bool
	full      bool
}

// DelayLink adds a delay to each write from one machine to another.
func (m *MemoryNetwork) DelayLink(from, to string, delay clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.linkDelays[[2]string{from, to}] = delay
}

// Freeze holds all that a machine sends and is sent until it wakes.
func (m *MemoryNetwork) Freeze(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.frozenUntil[host] = time.Now().Add(duration.Duration())
}

// delayWrite lets a write take its time; one whose circuit was closed meanwhile ends.
func (m *MemoryNetwork) delayWrite(conn *memoryConn) {
	from, to := conn.from, conn.to
	m.lock.Lock()
	duration := m.Latency + m.linkDelays[[2]string{from, to}]
	m.lock.Unlock()
	time.Sleep(duration.Duration())
	for m.isOpen(conn) && (m.isFrozen(from) || m.isFrozen(to)) {
		time.Sleep(10 * time.Millisecond)
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

func (m *MemoryNetwork) diskFault(host string) *diskFault {
	fault, known := m.diskFaults[host]
	if !known {
		fault = &diskFault{}
		m.diskFaults[host] = fault
	}
	return fault
}

// SlowDisk has each sync of a machine take so long.
func (m *MemoryNetwork) SlowDisk(host string, duration clock.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).syncDelay = duration
}

// StallDisk has no sync of a machine end until its disk is mended.
func (m *MemoryNetwork) StallDisk(host string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).stalled = true
}

// FillDisk has each write of a machine fail.
func (m *MemoryNetwork) FillDisk(host string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.diskFault(host).full = true
}

// RepairDisks mends all disks.
func (m *MemoryNetwork) RepairDisks() {
	m.lock.Lock()
	defer m.lock.Unlock()
	clear(m.diskFaults)
}

// Commit is asked before a journal writes: it takes the time that the disk takes, and
// fails as the disk does.
func (h Host) Commit() error {
	h.lock.Lock()
	fault, kills := *h.diskFault(h.Name), h.killCounts[h.Name]
	h.lock.Unlock()
	if fault.full {
		return errcode.Wrap(syscall.ENOSPC, errcode.LogWriteFailed, h.Name)
	}
	time.Sleep(fault.syncDelay.Duration())
	for {
		h.lock.Lock()
		stalled, killed := h.diskFault(h.Name).stalled, h.killCounts[h.Name] != kills
		h.lock.Unlock()
		if killed {
			return errcode.New(errcode.LogWriteFailed, "%s was killed", h.Name)
		}
		if !stalled {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
