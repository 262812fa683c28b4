package enginecommand

// TransferTarget is an engine to which prompt memory is handed.
type TransferTarget struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// DesiredState is what an engine does until it is commanded otherwise.
type DesiredState struct {
	Role            string           `json:"part"`
	Drain           bool             `json:"drain"`
	TransferTargets []TransferTarget `json:"partners"`
}

// Command is a desired state under the term of the leader that commands it.
type Command struct {
	DesiredState
	Service string `json:"service"`
	Term    uint64 `json:"round"`
	// CommandID grows with each command of a dispatcher.
	CommandID uint64 `json:"sequence"`
	Leader    string `json:"holder"`
}
