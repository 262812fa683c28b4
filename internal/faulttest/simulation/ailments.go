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
func (fabric *Fabric) Slow(from, to string, delay schedule.Microseconds) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.slow[[2]string{from, to}] = delay
}

// Freeze holds all that a machine sends and is sent until it wakes.
func (fabric *Fabric) Freeze(machine string, span schedule.Microseconds) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.frozen[machine] = time.Now().Add(span.Duration())
}

// rest lets a write take its time; one whose circuit was closed meanwhile ends.
func (fabric *Fabric) rest(circuit *fabricCircuit) {
	from, to := circuit.from, circuit.to
	fabric.lock.Lock()
	span := fabric.Latency + fabric.slow[[2]string{from, to}]
	fabric.lock.Unlock()
	time.Sleep(span.Duration())
	for fabric.open(circuit) && (fabric.asleep(from) || fabric.asleep(to)) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (fabric *Fabric) open(circuit *fabricCircuit) bool {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	return fabric.circuits[circuit]
}

func (fabric *Fabric) asleep(machine string) bool {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	return time.Now().Before(fabric.frozen[machine])
}

func (fabric *Fabric) disk(machine string) *disk {
	found, known := fabric.disks[machine]
	if !known {
		found = &disk{}
		fabric.disks[machine] = found
	}
	return found
}

// SlowDisk has each sync of a machine take so long.
func (fabric *Fabric) SlowDisk(machine string, span schedule.Microseconds) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.disk(machine).slow = span
}

// StallDisk has no sync of a machine end until its disk is mended.
func (fabric *Fabric) StallDisk(machine string) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.disk(machine).stalled = true
}

// FillDisk has each write of a machine fail.
func (fabric *Fabric) FillDisk(machine string) {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	fabric.disk(machine).full = true
}

// MendDisks mends all disks.
func (fabric *Fabric) MendDisks() {
	fabric.lock.Lock()
	defer fabric.lock.Unlock()
	clear(fabric.disks)
}

// Commit is asked before a journal writes: it takes the time that the disk takes, and
// fails as the disk does.
func (port Port) Commit() error {
	port.lock.Lock()
	ailing, kills := *port.disk(port.Machine), port.kills[port.Machine]
	port.lock.Unlock()
	if ailing.full {
		return mishap.Wrap(syscall.ENOSPC, mishap.JournalWrite, port.Machine)
	}
	time.Sleep(ailing.slow.Duration())
	for {
		port.lock.Lock()
		stalled, killed := port.disk(port.Machine).stalled, port.kills[port.Machine] != kills
		port.lock.Unlock()
		if killed {
			return mishap.New(mishap.JournalWrite, "%s was killed", port.Machine)
		}
		if !stalled {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
