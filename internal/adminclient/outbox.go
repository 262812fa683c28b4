package adminclient

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
)

// Outbox is the command that prints the calls to the platform that one daemon of the fleet makes at a time: what
// is not delivered yet, for how long, and when the last call of each kind succeeded.
type Outbox struct {
	Client
	JSON bool `long:"json" description:"print JSON, one line for each shard"`
}

// Run asks each server by itself and prints each shard once: as its leader knows it, or else as the server with
// the most accepted entries does.
func (o *Outbox) Run() error {
	best := map[int]controlapi.OutboxStatus{}
	reached := 0
	for _, address := range o.Cores {
		client := Client{Cores: []string{address}, Network: o.Network}
		var statuses []controlapi.OutboxStatus
		if err := client.Get("/v1/outbox", &statuses); err != nil {
			fmt.Printf("%s: %s\n", address, errcode.Text(err))
			continue
		}
		reached++
		for _, status := range statuses {
			if known, exists := best[status.Shard]; !exists || knowsMore(status, known) {
				best[status.Shard] = status
			}
		}
	}
	if reached == 0 {
		return errcode.New(errcode.ConnectionLost, "no core answered")
	}
	for _, shard := range slices.Sorted(maps.Keys(best)) {
		if err := o.print(best[shard]); err != nil {
			return err
		}
	}
	return nil
}

// knowsMore tells whether one status is to be preferred to another.
func knowsMore(status, other controlapi.OutboxStatus) bool {
	if status.Leads != other.Leads {
		return status.Leads
	}
	return status.Term > other.Term || status.Term == other.Term && status.Accepted > other.Accepted
}

func (o *Outbox) print(status controlapi.OutboxStatus) error {
	if o.JSON {
		encoded, err := json.Marshal(status)
		if err != nil {
			return errcode.Wrap(err, errcode.Malformed, "outbox")
		}
		fmt.Println(string(encoded))
		return nil
	}
	fmt.Printf("shard %d  %s  leads %t  term %d  pending %d  accepted %d  superseded %d  dropped %d  incomplete %t\n",
		status.Shard, status.Server, status.Leads, status.Term, len(status.Pending), status.Accepted, status.Superseded,
		status.Dropped, status.Incomplete)
	for _, kind := range slices.Sorted(maps.Keys(status.SinceLastSuccess)) {
		fmt.Printf("  %s  last success %d ms ago\n", kind, status.SinceLastSuccess[kind]/clock.Millisecond)
	}
	for _, entry := range status.Pending {
		fmt.Printf("  pending %s  %s  number %d  %d bytes  age %d ms  failures %d  %s\n",
			entry.Kind, entry.Subject, entry.Number, entry.Bytes, entry.Age/clock.Millisecond, entry.Failures, entry.LastError)
	}
	return nil
}
