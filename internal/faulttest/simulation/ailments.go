package simulation

import (
	"syscall"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// disk is what ails a machine's disk.
type disk struct {
	slow    schedule.Microseconds
	stalled bool
	full    bool
}

// Slow adds a delay to each write from one machine to another.
func (m *Fabric) Slow(from, to string, delay schedule.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.slow[[2]string{from, to}] = delay
}

// Freeze holds all that a machine sends and is sent until it wakes.
func (m *Fabric) Freeze(machine string, span schedule.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.frozen[machine] = time.Now().Add(span.Duration())
}

// rest lets a write take its time; one whose circuit was closed meanwhile ends.
func (m *Fabric) rest(circuit *fabricCircuit) {
	from, to := circuit.from, circuit.to
	m.lock.Lock()
	span := m.Latency + m.slow[[2]string{from, to}]
	m.lock.Unlock()
	time.Sleep(span.Duration())
	for m.open(circuit) && (m.asleep(from) || m.asleep(to)) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *Fabric) open(circuit *fabricCircuit) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.circuits[circuit]
}

func (m *Fabric) asleep(machine string) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return time.Now().Before(m.frozen[machine])
}

func (m *Fabric) disk(machine string) *disk {
	found, known := m.disks[machine]
	if !known {
		found = &disk{}
		m.disks[machine] = found
	}
	return found
}

// SlowDisk has each sync of a machine take so long.
func (m *Fabric) SlowDisk(machine string, span schedule.Microseconds) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.disk(machine).slow = span
}

// StallDisk has no sync of a machine end until its disk is mended.
func (m *Fabric) StallDisk(machine string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.disk(machine).stalled = true
}

// FillDisk has each write of a machine fail.
func (m *Fabric) FillDisk(machine string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.disk(machine).full = true
}

// MendDisks mends all disks.
func (m *Fabric) MendDisks() {
	m.lock.Lock()
	defer m.lock.Unlock()
	clear(m.disks)
}

// Commit is asked before a journal writes: it takes the time that the disk takes, and
// fails as the disk does.
func (h Port) Commit() error {
	h.lock.Lock()
	ailing, kills := *h.disk(h.Machine), h.kills[h.Machine]
	h.lock.Unlock()
	if ailing.full {
		return mishap.Wrap(syscall.ENOSPC, mishap.JournalWrite, h.Machine)
	}
	time.Sleep(ailing.slow.Duration())
	for {
		h.lock.Lock()
		stalled, killed := h.disk(h.Machine).stalled, h.kills[h.Machine] != kills
		h.lock.Unlock()
		if killed {
			return mishap.New(mishap.JournalWrite, "%s was killed", h.Machine)
		}
		if !stalled {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
