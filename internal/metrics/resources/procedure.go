package resources

import "sync/atomic"

// Names of control traffic that is not of calls between daemons, which are named by their paths.
const (
	ProcedureDirectory      = "directory"
	ProcedureEngineReports  = "engine-reports"
	ProcedureEngineCommands = "engine-commands"
	ProcedureOperators      = "operators"
	ProcedureReadiness      = "readiness"
	// ProcedureOther is what came over a control connection and belongs to no procedure.
	ProcedureOther = "other"
)

// Procedure counts the calls of one procedure and the bytes that they took on the wire.
type Procedure struct {
	Calls atomic.Int64
	bytes byteCounter
}

// procedureKey identifies a Procedure.
type procedureKey struct {
	side Side
	name string
}
