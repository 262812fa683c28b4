package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["rejoin"] = playRejoin }

const (
	// changesBefore is the number of changes before the first loss, and changeGap the time between two of them.
	changesBefore = 40
	changeGap     = 200 * time.Millisecond
	// routeCount is the number of routes of the configuration.
	routeCount = 80
	// darkFor is how long a machine is down when it loses its disk.
	darkFor = time.Second
	// darkAgainFor is how long it is down when it loses its disk once more.
	darkAgainFor = 500 * time.Millisecond
	// lossGap is the time between a machine's return and the next loss. It is longer than catch-up-s, and within
	// it the core is settled again for longer than in-touch-ms.
	lossGap = 9 * time.Second
	// recoverWithin is the bound recover-s.
	recoverWithin = 12 * time.Second
	// readBackFor is how long the operator asks for the configuration at the end.
	readBackFor = 12 * time.Second
)

// rejoinCase is the state of the case.
type rejoinCase struct {
	*caseRun
	world    *world
	operator *operator
	routes   []routeItem
}

// playRejoin replaces one machine of the core by another at a new address, which leads then. A second machine loses
// its disk, and loses it once more while it catches up. Long after that, the third one leaves for good.
func playRejoin(c *caseRun) (bool, error) {
	w, err := newWorld(c.record, c.root, []string{"north", "south", "west"}, 2)
	if err != nil {
		return false, err
	}
	defer w.stop()
	// The second machines of the zones may join during the day.
	for index, host := range w.machines {
		if index%2 == 1 {
			host.spare, host.disk = true, true
		}
	}
	north, northSpare, south, southSpare, west := w.machines[0], w.machines[1], w.machines[2], w.machines[3], w.machines[4]
	for index, zone := range w.zones {
		if _, err := w.startEngine("relay", zone, fmt.Sprintf("127.0.64.%d", index+1), 32, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	played := &rejoinCase{caseRun: c, world: w, operator: &operator{world: w}}
	for number := range routeCount {
		played.routes = append(played.routes, plainRoute(fmt.Sprintf("route-%02d", number), "unsafe", "relay"))
	}
	for range changesBefore {
		if err := played.operator.replace(played.routes, plainService("relay"), 20*time.Second); err != nil {
			return false, err
		}
		time.Sleep(changeGap)
	}
	if c.trouble {
		if err := played.disturb(north, northSpare, south, southSpare, west); err != nil {
			return false, err
		}
		time.Sleep(recoverWithin)
	} else {
		time.Sleep(20 * time.Second)
	}
	_, acked := played.change(4 * time.Second)
	c.record.write("operator: a valid change was acknowledged at the end: %t", acked)
	return !played.readBack(), nil
}

// disturb brings about the losses, one at a time.
func (r *rejoinCase) disturb(north, northSpare, south, southSpare, west *machine) error {
	if err := r.replaceMachine(south, southSpare); err != nil {
		return err
	}
	time.Sleep(lossGap)
	if err := r.lose(north, 3*time.Second, false); err != nil {
		return err
	}
	time.Sleep(lossGap)
	if _, acked := r.change(4 * time.Second); !acked {
		return fmt.Errorf("%w: no acknowledgement before the loss of a disk", errSetup)
	}
	if err := r.lose(west, darkFor, true); err != nil {
		return err
	}
	if err := r.killWhileCatchingUp(west); err != nil {
		return err
	}
	time.Sleep(lossGap)
	if _, acked := r.change(4 * time.Second); !acked {
		return fmt.Errorf("%w: no acknowledgement before the last loss", errSetup)
	}
	return r.replaceMachine(north, northSpare)
}

// killWhileCatchingUp kills the daemon of a machine while it copies the log to its empty disk, and starts it again
// with an empty disk. If the log does not reach the size at which it kills, the daemon is left alone: then it has lost its
// disk once only.
func (r *rejoinCase) killWhileCatchingUp(host *machine) error {
	core := host.process("core")
	end := time.Now().Add(5 * time.Second)
	for r.storedBytes(core) < storedEnough {
		if time.Now().After(end) {
			r.record.write("trouble: %s loses its disk once only: its log has %d bytes after 5 s", host.name, r.storedBytes(core))
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	core.signal(syscall.SIGKILL)
	<-core.ended
	r.record.write("trouble: %s was killed while it caught up, with %d bytes in its log", core.name(), r.storedBytes(core))
	if err := os.RemoveAll(core.path("-data")); err != nil {
		return err
	}
	r.record.write("trouble: %s has lost its disk again", host.name)
	time.Sleep(darkAgainFor)
	return core.start()
}

// storedEnough is the size of the files at which a daemon that catches up is killed.
const storedEnough = 60 << 10

// storedBytes returns the size of the log in the data folder of a process.
func (r *rejoinCase) storedBytes(core *process) int64 {
	total := int64(0)
	_ = filepath.WalkDir(core.path("-data"), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.Contains(entry.Name(), "journal") {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

// change sends one change, again and again for a time, and reports whether it was acknowledged.
func (r *rejoinCase) change(limit time.Duration) (time.Duration, bool) {
	sent := time.Now()
	err := r.operator.replace(r.routes, plainService("relay"), limit)
	return time.Since(sent).Round(time.Millisecond), err == nil
}

// replaceMachine has one machine leave for good, and another with an empty disk join at another address.
func (r *rejoinCase) replaceMachine(old, successor *machine) error {
	r.record.write("trouble: %s leaves for good", old.name)
	old.gone = true
	for _, running := range old.roles {
		running.signal(syscall.SIGKILL)
		<-running.ended
	}
	time.Sleep(2 * time.Second)
	successor.spare = false
	r.record.write("trouble: %s joins with an empty disk", successor.name)
	return r.world.startMachine(successor, false)
}

// lose kills the control daemon of a machine and starts it again, with or without its disk.
func (r *rejoinCase) lose(host *machine, dark time.Duration, disk bool) error {
	core := host.process("core")
	core.signal(syscall.SIGKILL)
	<-core.ended
	if disk {
		if err := os.RemoveAll(core.path("-data")); err != nil {
			return err
		}
		r.record.write("trouble: %s has lost its disk", host.name)
	}
	time.Sleep(dark)
	return core.start()
}

// readBack asks all daemons for the configuration, and reports whether the newest acknowledged one came.
func (r *rejoinCase) readBack() bool {
	end := time.Now().Add(readBackFor)
	for time.Now().Before(end) {
		status, text := r.operator.send(http.MethodGet, names["get"], -1, nil, time.Second)
		var document struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(text, &document) == nil && document.Version >= r.operator.version {
			r.record.write("operator reads version %d back, %d was acknowledged", document.Version, r.operator.version)
			return true
		}
	}
	for _, host := range r.world.cores() {
		r.record.write("platform: %s runs: %t", host.process("core").name(), host.process("core").running())
	}
	r.record.write("operator got no configuration in %s; version %d was acknowledged", readBackFor, r.operator.version)
	return false
}
