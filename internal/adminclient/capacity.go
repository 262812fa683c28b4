package adminclient

import (
	"fmt"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
)

// Capacity is the command that prints the wanted and the present number of engines of each service in each zone.
type Capacity struct{ Client }

// Run asks each server by itself: only the leader of a service's shard answers for it.
func (c *Capacity) Run() error {
	reached, printed := 0, 0
	for _, address := range c.Cores {
		client := Client{Cores: []string{address}, Network: c.Network}
		var statuses []controlapi.CapacityStatus
		if err := client.Get("/v1/capacity", &statuses); err != nil {
			fmt.Printf("%s: %s\n", address, errcode.Text(err))
			continue
		}
		reached++
		for _, status := range statuses {
			printed++
			printCapacity(status)
		}
	}
	if reached == 0 {
		return errcode.New(errcode.ConnectionLost, "no core answered")
	}
	if printed == 0 {
		fmt.Println("no core that was asked orders engines")
	}
	return nil
}

func printCapacity(status controlapi.CapacityStatus) {
	fmt.Printf("%s  %s  wanted %d  present %d  warming up %d  draining %d  ordered %t  reason %s  load %.2f prefill %.2f decode\n",
		status.Service, status.Zone, status.Wanted, status.Present, status.WarmingUp, status.Draining, status.Ordered,
		status.Reason, status.PrefillLoad, status.DecodeLoad)
}
