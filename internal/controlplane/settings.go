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

// Settings holds the settings of a server. New returns the error of Check for invalid settings.
type Settings struct {
	settings.Common
	settings.Internal
	settings.Timing
	DataDirectory         string `long:"data" description:"data directory"`
	ReplaceMember         string `long:"replaces" description:"name of the member whose slot this server takes if it has none; default: its own name"`
	ForceReplace          bool   `long:"override" description:"take the slot even if its member still responds"`
	JoinExisting          bool   `long:"joining" description:"use the seeds for discovery only: the address of a seed does not entitle a server to a slot"`
	FirstStart            bool   `long:"first" description:"the whole fleet starts for the first time, on empty disks: there is no state to recover"`
	NonMember             bool   `long:"non-member" description:"never take a slot, only forward requests to members"`
	Standby               bool   `long:"standby" description:"without a slot, take any slot that is vacant or whose member has not responded for a while, unless a zone would then have too many slots"`
	DefaultPrefillPercent int    `long:"default-prefill-percent" description:"percentage of prefill in the work of engines that a directory lists, while the reports of routers are insufficient; 0 keeps the listed roles until they suffice"`
	CompactionMiB         int    `long:"compaction-mib" description:"size in MiB at which the log is compacted" default:"16"`
	settings.Reporting
}

// Check returns an error with code InvalidSetting if a setting is missing or out of range.
func (s Settings) Check() error {
	for _, check := range []func() error{s.Common.Check, s.Internal.Check, s.Timing.Check, s.Reporting.Check} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.DataDirectory == "" {
		return errcode.New(errcode.InvalidSetting, "--data: no data directory is given")
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
