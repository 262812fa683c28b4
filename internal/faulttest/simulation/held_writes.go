package simulation

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// HeldWrites holds back what some hosts send to others: on each connection, everything from the first write that
// contains a marker on. The senders notice nothing, as if the data was in the buffers of their kernels. A sender that
// closes such a connection closes it only for itself.
type HeldWrites struct {
	network *MemoryNetwork
	links   map[link]bool
	marker  []byte
	// held are the connections with data that is held back, in the order of their first write. The network's lock
	// guards it.
	held      []*memoryConn
	delivered sync.WaitGroup
}

// HoldWrites holds back data with a marker that any of some hosts sends to any of others, until Deliver is called.
func (m *MemoryNetwork) HoldWrites(from, to []string, marker string) *HeldWrites {
	hold := &HeldWrites{network: m, links: map[link]bool{}, marker: []byte(marker)}
	for _, sender := range from {
		for _, receiver := range to {
			hold.links[link{sender, receiver}] = true
		}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.holds = append(m.holds, hold)
	return hold
}

// Connections returns the number of connections on which data is held back.
func (h *HeldWrites) Connections() int {
	h.network.lock.Lock()
	defer h.network.lock.Unlock()
	return len(h.held)
}

// Deliver stops holding back data and delivers what was held. The receivers see these connections open until one of
// the two hosts is killed, whether the senders have closed them or not.
func (h *HeldWrites) Deliver() {
	h.network.lock.Lock()
	h.links = nil
	conns := h.held
	h.held = nil
	h.network.lock.Unlock()
	for _, conn := range conns {
		h.network.lock.Lock()
		data := conn.heldData
		conn.heldData = nil
		h.network.lock.Unlock()
		h.delivered.Go(func() { _, _ = conn.Conn.Write(data) }) // Fails only if a host was killed meanwhile.
	}
	h.delivered.Wait()
}

// holdBack holds back data if it must be, and reports whether it did. The lock must be held.
func (m *MemoryNetwork) holdBack(conn *memoryConn, data []byte) bool {
	if conn.heldData != nil {
		conn.heldData = append(conn.heldData, data...)
		return true
	}
	for _, hold := range m.holds {
		if hold.links[link{conn.from, conn.to}] && bytes.Contains(data, hold.marker) {
			conn.heldData = bytes.Clone(data)
			conn.wasHeld = true
			hold.held = append(hold.held, conn)
			return true
		}
	}
	return false
}

// closeForSender ends the reads of a connection whose data was held back, and leaves it open for the receiver. What
// the receiver answers is dropped.
func (m *memoryConn) closeForSender() {
	_ = m.SetReadDeadline(time.Unix(1, 0)) // Setting the deadline of a pipe fails only after it was closed.
	go func() {
		time.Sleep(freezePollInterval)
		_ = m.SetReadDeadline(time.Time{}) // As above.
		_, _ = io.Copy(io.Discard, m.Conn) // Ends when a host is killed.
	}()
}
