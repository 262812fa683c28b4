package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// unframedCase counts the answers of the case.
type unframedCase struct {
	mutex sync.Mutex
	// served counts complete answers, and cut the answers of sound engines that ended with a closed connection.
	served, cut, other int
}

// plainRoute is a route of an application service whose requests run once at most.
func plainRoute(name, kind, service string) routeItem {
	return routeItem{
		"name": name, "host": name + ".example", names["pathstart"]: "/" + name + "/", "kind": kind,
		names["giveup"]: 3000, names["target"]: 400, "priority": 0, "service": service, "tries": 1,
	}
}

// plainService is an application service, as the only one of a configuration.
func plainService(name string) []serviceItem {
	return []serviceItem{{"name": name, "health-path": "/health", "max-connections": 600, "protocol": "h1", "tls": false}}
}

// playUnframed has sound engines answer some requests without a length for five seconds.
func playUnframed(c *caseRun) (bool, error) {
	w, err := newWorld(c.record, c.root, []string{"north", "south", "west"}, 1)
	if err != nil {
		return false, err
	}
	defer w.stop()
	var engines []*engine
	var active sync.Map
	for index, zone := range w.zones {
		for range 2 {
			added, err := w.startEngine("relay", zone, fmt.Sprintf("127.0.64.%d", index+1), 32, 10*time.Millisecond)
			if err != nil {
				return false, err
			}
			defer added.stop()
			engines = append(engines, added)
		}
	}
	// Six tenths of the engines answer three requests in a hundred without a length.
	const share, part = 0.6, 0.03
	for _, chosen := range engines[:int(share*float64(len(engines)))] {
		chosen.unframed = func() bool {
			_, on := active.Load("on")
			return on && rand.Float64() < part
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	op := &operator{world: w}
	if err := op.replace([]routeItem{plainRoute("send", "unsafe", "relay")}, plainService("relay"), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	counts := &unframedCase{}
	end := time.Now().Add(14 * time.Second)
	time.AfterFunc(4*time.Second, func() {
		if c.trouble {
			c.record.write("trouble begins: answers without a length")
			active.Store("on", true)
		}
	})
	time.AfterFunc(9*time.Second, func() { active.Delete("on") })
	var clients sync.WaitGroup
	for _, host := range w.machines {
		for range 6 {
			sender := newClient(c.record, w.address(host, offsetFront))
			clients.Go(func() { counts.play(sender, end) })
		}
	}
	clients.Wait()
	c.record.write("served %d, cut %d, otherwise %d", counts.served, counts.cut, counts.other)
	if counts.served < 500 {
		return false, errNotServed
	}
	const allowed = 3
	return counts.cut > allowed, nil
}

func (u *unframedCase) play(sender *client, end time.Time) {
	for time.Now().Before(end) {
		got := sender.send("send.example", "/send/x", []byte(randomHex(40)), 3*time.Second)
		u.mutex.Lock()
		switch {
		case got.err == nil && got.status == 200 && got.seal != "":
			u.served++
		case got.err != nil && got.kept:
			u.cut++
		default:
			u.other++
		}
		u.mutex.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}
