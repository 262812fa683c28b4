package enginecommand

// TransferTarget is an engine to which KV caches are transferred.
type TransferTarget struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// DesiredState is the state that an engine keeps until it receives a command with another one.
type DesiredState struct {
	Role            string           `json:"part"`
	Drain           bool             `json:"drain"`
	TransferTargets []TransferTarget `json:"partners"`
}

// Command sets the desired state of an engine. It carries the term of the leader that sends it.
type Command struct {
	DesiredState
	Service string `json:"service"`
	Term    uint64 `json:"round"`
	// CommandID increases with each command of a dispatcher.
	CommandID uint64 `json:"sequence"`
	Leader    string `json:"holder"`
}
