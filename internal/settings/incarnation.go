package settings

import "time"

// NewIncarnation returns a number for one run of a daemon's process. It grows with the wall clock,
// and is only compared with other incarnations of the same daemon.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMicro()) }
