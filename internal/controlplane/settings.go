package controlplane

import (
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

const (
	maxPercent       = 100
	maxCompactionMiB = 1024
	bytesPerMiB      = 1 << 20
)

// Settings of a server. Check must have passed before New uses them.
type Settings struct {
	settings.Common
	settings.Internal
	settings.Timing
	DataDirectory         string `long:"data" description:"data directory"`
	ReplaceMember         string `long:"replaces" description:"name of the member whose slot this server takes if it has none; its own name if not given"`
	ForceReplace          bool   `long:"override" description:"take the slot even if its member still responds"`
	JoinExisting          bool   `long:"joining" description:"use the seeds for discovery only: no slot belongs to a server for being at the address of a seed"`
	FirstStart            bool   `long:"first" description:"the whole fleet starts for the first time, on empty disks: there is nothing to recover"`
	NonMember             bool   `long:"non-member" description:"never take a slot, only forward requests to members"`
	Standby               bool   `long:"standby" description:"without a slot, take any that is vacant or whose member has been silent for a while, as long as no zone gets too many"`
	DefaultPrefillPercent int    `long:"default-prefill-percent" description:"share of prefill in the work of engines listed by a directory, as long as routers report too little; 0 leaves their roles as listed until then"`
	CompactionMiB         int    `long:"compaction-mib" description:"size in MiB at which the log is compacted" default:"16"`
	settings.Reporting
}

// Check returns an error with code InvalidSetting if the settings can't work.
func (s Settings) Check() error {
	for _, check := range []func() error{s.Common.Check, s.Internal.Check, s.Timing.Check, s.Reporting.Check} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.DataDirectory == "" {
		return errcode.New(errcode.InvalidSetting, "--data: a server needs a data directory")
	}
	if s.DefaultPrefillPercent < 0 || s.DefaultPrefillPercent > maxPercent {
		return errcode.New(errcode.InvalidSetting,
			"--default-prefill-percent: %d is not between 0 and %d", s.DefaultPrefillPercent, maxPercent)
	}
	if s.CompactionMiB < 1 || s.CompactionMiB > maxCompactionMiB {
		return errcode.New(errcode.InvalidSetting,
			"--compaction-mib: %d is not between 1 and %d", s.CompactionMiB, maxCompactionMiB)
	}
	return nil
}
