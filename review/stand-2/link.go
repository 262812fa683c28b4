package main

import (
	"net"
	"sync"
	"time"
)

// link is a link from a caller to one daemon. While the link is cut it says nothing, and it holds up what was sent;
// when the cut has healed, what was held up arrives in its order. It changes no bytes.
type link struct {
	record    *recorder
	name      string
	address   string
	target    string
	roundTrip time.Duration
	listener  net.Listener
	mutex     sync.Mutex
	healed    chan struct{}
}

func newLink(record *recorder, name, target string, roundTrip time.Duration) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.20.2:0")
	if err != nil {
		return nil, err
	}
	healed := make(chan struct{})
	close(healed)
	l := &link{
		record: record, name: name, address: listener.Addr().String(), target: target,
		roundTrip: roundTrip, listener: listener, healed: healed,
	}
	go l.accept()
	return l, nil
}

// cut cuts the link for a time.
func (l *link) cut(length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	healed := make(chan struct{})
	l.healed = healed
	l.record.write("trouble: the link %s is cut", l.name)
	time.AfterFunc(length, func() {
		l.record.write("trouble: the link %s has healed", l.name)
		close(healed)
	})
}

// wait waits while the link is cut.
func (l *link) wait() {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near.(*net.TCPConn))
	}
}

// isCut reports whether the link is cut.
func (l *link) isCut() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.healed:
		return false
	default:
		return true
	}
}

func (l *link) serve(near *net.TCPConn) {
	if l.isCut() {
		// The daemon never hears of a connection that is opened during the cut.
		l.wait()
		_ = near.Close()
		return
	}
	conn, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	go l.carry(near, far)
	l.carry(far, near)
}

// carry carries one direction. The end of a stream follows the last bytes after one round trip, as the end of a
// stream does that waited behind bytes which were sent again.
func (l *link) carry(from, to *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		l.wait()
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	time.Sleep(l.roundTrip)
	_ = to.CloseWrite()
}

func (l *link) close() { _ = l.listener.Close() }
