package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

const (
	// cutLength is how long the link is cut: the length of a cut in the site file.
	cutLength = 5500 * time.Millisecond
	// evacuateWithin is the bound evacuate-ms.
	evacuateWithin = 5 * time.Second
	// linkRoundTrip is the round trip of a link to a client of the site.
	linkRoundTrip = 6 * time.Millisecond
)

// arrivals notes when requests begin to run at the engines of a zone.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
}

func (a *arrivals) note() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.times = append(a.times, time.Now())
	return false
}

func (a *arrivals) countAfter(from time.Time) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := 0
	for _, at := range a.times {
		if at.After(from) {
			count++
		}
	}
	return count
}

// lateCase is the state of the case.
type lateCase struct {
	*caseRun
	world    *world
	operator *operator
	north    *arrivals
	// kept is the operator's connection to the first daemon, which goes through path.
	kept *http.Client
	path *link
}

// playLate has an order of the operator held up by a cut, while the operator gives it up and has a contrary order
// acknowledged.
func playLate(c *caseRun) (bool, error) {
	w, err := newWorld(c.record, c.root, []string{"north", "south", "west"}, 2)
	if err != nil {
		return false, err
	}
	defer w.stop()
	played := &lateCase{caseRun: c, world: w, north: &arrivals{}, kept: &http.Client{Timeout: time.Second}}
	if err := played.prepare(); err != nil {
		return false, err
	}
	defer played.path.close()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, host := range w.machines {
		for range 3 {
			sender := newClient(c.record, w.address(host, offsetFront))
			clients.Go(func() { sendUntil(sender, stop) })
		}
	}
	acked, err := played.giveOrders()
	if err == nil {
		time.Sleep(15 * time.Second)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return false, err
	}
	late := played.north.countAfter(acked.Add(evacuateWithin))
	c.record.write("requests that ran in north later than %s after its last evacuation was acknowledged: %d", evacuateWithin, late)
	return late > 0, nil
}

// prepare starts engines and processes, and brings a configuration into force.
func (l *lateCase) prepare() error {
	w := l.world
	for index, zone := range w.zones {
		for range 2 {
			host := fmt.Sprintf("127.0.64.%d", index+1)
			added, err := w.startEngine("relay", zone, host, 32, 10*time.Millisecond)
			if err != nil {
				return err
			}
			if zone == "north" {
				added.unframed = l.north.note
			}
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	first := w.cores()[0]
	path, err := newLink(l.record, "from the operator to "+first.name, w.address(first, offsetControl), linkRoundTrip)
	if err != nil {
		return err
	}
	l.path = path
	l.operator = &operator{world: w, links: map[*machine]string{first: path.address}}
	routes := []routeItem{plainRoute("send", "unsafe", "relay")}
	if err := l.operator.replace(routes, plainService("relay"), 20*time.Second); err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// giveOrders gives the orders. It returns the time at which the last one was acknowledged.
func (l *lateCase) giveOrders() (time.Time, error) {
	begin, finish := names["begin"]+"north", names["finish"]+"north"
	if l.keptCall(begin) != http.StatusOK {
		return time.Time{}, fmt.Errorf("%w: the first evacuation", errSetup)
	}
	time.Sleep(evacuateWithin + time.Second)
	if l.trouble {
		l.path.cut(cutLength)
	}
	if l.keptCall(finish) != http.StatusOK {
		// The daemon has been silent for a second: the same order goes to another one.
		if err := l.order(finish); err != nil {
			return time.Time{}, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	err := l.order(begin)
	return time.Now(), err
}

// order sends an order until it is acknowledged.
func (l *lateCase) order(path string) error {
	if status, _ := l.operator.send(http.MethodPost, path, -1, nil, 4*time.Second); status != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", errSetup, path, status)
	}
	return nil
}

// keptCall sends an order on the operator's kept connection to the first daemon. After a second of silence the
// operator closes the connection.
func (l *lateCase) keptCall(path string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+l.path.address+path, nil)
	if err != nil {
		return 0
	}
	l.record.write("operator sends POST %s to %s, on a kept connection", path, l.world.cores()[0].name)
	response, err := l.kept.Do(request)
	if err != nil {
		l.record.write("operator has no answer to POST %s, and closes the connection: %v", path, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.record.write("operator POST %s: status %d", path, response.StatusCode)
	return response.StatusCode
}

// sendUntil sends requests on a kept connection.
func sendUntil(sender *client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
			sender.send("send.example", "/send/x", []byte(randomHex(40)), 3*time.Second)
		}
	}
}
