package resources

import "sync/atomic"

// Procedure names for control traffic other than calls between daemons. The procedure name of a call between
// daemons is its path.
const (
	ProcedureDirectory      = "directory"
	ProcedureEngineReports  = "engine-reports"
	ProcedureEngineCommands = "engine-commands"
	ProcedureOperators      = "operators"
	ProcedureReadiness      = "readiness"
	// ProcedureOther covers bytes of control connections that belong to no procedure.
	ProcedureOther = "other"
)

// Procedure counts the calls of one procedure and the bytes of these calls on the wire.
type Procedure struct {
	Calls atomic.Int64
	bytes byteCounter
}

// procedureKey identifies a [Procedure] within [Counters].
type procedureKey struct {
	side Side
	name string
}
