package adminclient

import (
	"fmt"
	"net/http"

	"coursepass/internal/controlplane/controlapi"
)

// ListEngines is the command that lists a service's engines.
type ListEngines struct {
	Client
	Arguments struct {
		Service string `positional-arg-name:"service"`
	} `positional-args:"yes" required:"yes"`
}

// Run prints one line for each engine.
func (l *ListEngines) Run() error {
	var engines []controlapi.EngineEntry
	if err := l.Get("/v1/services/"+l.Arguments.Service+"/engines", &engines); err != nil {
		return err
	}
	fmt.Printf("%-16s %-12s %-22s %-8s %-5s %s\n", "engine", "zone", "address", "role", "live", "draining")
	for _, entry := range engines {
		fmt.Printf("%-16s %-12s %-22s %-8s %-5t %t\n",
			entry.Name, entry.Zone, entry.Address, entry.Role, entry.Assigned, entry.Draining)
	}
	return nil
}

// DrainEngine is the command that marks an engine as draining, so that it gets no new requests.
type DrainEngine struct {
	Client
	Arguments struct {
		Service string `positional-arg-name:"service"`
		Engine  string `positional-arg-name:"engine"`
	} `positional-args:"yes" required:"yes"`
}

// Run marks the engine.
func (d *DrainEngine) Run() error {
	path := "/v1/services/" + d.Arguments.Service + "/engines/" + d.Arguments.Engine + "/leave"
	if _, err := d.send(http.MethodPost, path, nil); err != nil {
		return err
	}
	fmt.Println("marked as draining")
	return nil
}
