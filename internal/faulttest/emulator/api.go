// Package emulator emulates a prefill/decode inference engine for tests on loopback and in the
// simulation. It speaks the HTTP API of package engineapi, takes the time that prefill, decode and
// KV cache transfer would take, and computes tokens that a caller can verify.
//
// An Engine is one incarnation of an engine process; its Observer outlives it, keeps the log of
// all runs that were started, and records violations of the protocol, such as commands of two
// service leaders within one lease. Callers make an Observer, then an Engine by New, and call
// Run, which registers the engine with the control plane and serves until its context ends.
package emulator

// RunLogPath is the HTTP path of the run log, in addition to the paths of package engineapi.
const RunLogPath = "/ledger"

// WirePrototypes returns zero values of the unexported types that are persisted, by stable
// labels, for the checks of format compatibility.
func WirePrototypes() map[string]any {
	return map[string]any{"engine-book-line": runLogEntry{}}
}

// RunLogResponse is the answer at RunLogPath: all runs started in any incarnation, and the
// violations that the observer recorded.
type RunLogResponse struct {
	Records    []RunRecord `json:"lines"`
	Violations []string    `json:"violations"`
}
