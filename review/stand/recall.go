package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	evacuationBound = 5 * time.Second
	inTouch         = 3 * time.Second
	freeze          = 4 * time.Second
	// watched is how long requests are watched once the machines are in touch again.
	watched = 10 * time.Second
)

// slotOf returns the slot of a core in the configuration's shard, and that of the leader it knows. It only serves to
// choose the machine that is frozen.
func (f *fleet) slotOf(m *machine) (slot, leader int, err error) {
	response, err := shortClient.Get("http://" + f.address(m, portFirstFree+2) + "/v1/status")
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("status of %s: %d %w", m.name, response.StatusCode, err)
	}
	var status struct {
		Parts []struct{ Slot, Leader int }
	}
	if err := json.Unmarshal(text, &status); err != nil || len(status.Parts) == 0 {
		return 0, 0, fmt.Errorf("status of %s: %w", m.name, err)
	}
	return status.Parts[0].Slot, status.Parts[0].Leader, nil
}

// recall evacuates a zone, takes it back while a core machine is frozen, and evacuates it again. A request that
// reaches the zone later than the bound after the second acknowledgement breaks the rule.
func recall(out *record, root string, trouble bool) (bool, error) {
	zones := []string{"concord-hall", "worcester-hall", "portland-hall", "burlington-hall"}
	f, c, err := begin(out, root, zones, 1, 1)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	var reserve, leader *machine
	members := map[int]*machine{}
	for _, m := range f.cores() {
		slot, lead, err := f.slotOf(m)
		if err != nil {
			return false, err
		}
		if slot < 0 {
			reserve = m
			continue
		}
		members[slot] = m
		if slot == lead {
			leader = m
		}
	}
	if reserve == nil || leader == nil || len(members) != 3 {
		return false, fmt.Errorf("no leader, or no core without a slot")
	}
	// A core without a slot forwards orders to the members in turn. It has forwarded none yet, so the next order goes
	// to slot 1; if that slot leads, a read takes its turn.
	next := 1
	if members[next] == leader {
		f.order(reserve, http.MethodGet, word("path-settings"), "", "")
		next = 2
	}
	follower := members[next]
	out.add("%s leads, %s follows, %s has no slot", leader.name, follower.name, reserve.name)
	zone := reserve.zone

	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	for _, m := range f.machines {
		if m == follower {
			continue
		}
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					f.plain(m)
				}
			}
		})
	}
	begin, finish := word("path-begin")+zone, word("path-finish")+zone
	if _, err := f.insist([]*machine{leader}, begin, "", "", 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(evacuationBound)
	frozenAt := time.Now()
	if trouble {
		f.signal(follower, syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
	}
	if _, err := f.insist([]*machine{reserve, leader}, finish, "", "", 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	acknowledgedAt, err := f.insist([]*machine{leader}, begin, "", "", 4*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if trouble {
		f.signal(follower, syscall.SIGCONT)
	}
	// Machines are in touch a while after the last event, and the bound runs from the acknowledgement.
	from := time.Now().Add(inTouch)
	if bound := acknowledgedAt.Add(evacuationBound); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from.Add(watched)))
	late := c.arrivalsWhere(func(a arrival) bool { return a.engine.zone == zone && a.at.After(from) })
	out.add("%d requests reached %s later than the bound, and %d other zones", len(late), zone,
		len(c.arrivalsWhere(func(a arrival) bool { return a.engine.zone != zone && a.at.After(from) })))
	if len(late) == 0 {
		return false, nil
	}
	last := late[len(late)-1]
	out.add("BROKEN: %s reached engine %s in %s %.2f s after the evacuation was acknowledged", last.try, last.engine.id,
		zone, last.at.Sub(acknowledgedAt).Seconds())
	return true, nil
}
