// Package emulator is the stand-in engine: it takes the time of reading prompts and
// making tokens, hands prompt memory over, and watches what it is asked to do.
package emulator

// RunLogPath is where the emulator tells its log of runs, beside the paths of an engine.
const RunLogPath = "/ledger"

// WirePrototypes are zero values of the types without exported names that stand on disk,
// by stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{"engine-book-line": runLogEntry{}}
}

// RunLogResponse is the engine's book: all runs begun in any life, and violations seen.
type RunLogResponse struct {
	Records    []RunRecord `json:"lines"`
	Violations []string    `json:"violations"`
}
