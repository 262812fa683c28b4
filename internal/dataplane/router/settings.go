package router

import (
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

// gateModeOpen is the value of GateMode with which a router serves without a fresh quorum read.
const gateModeOpen = "open"

// Limits of the settings, in milliseconds.
const (
	minMaxStalenessMillis = 600
	maxMaxStalenessMillis = 1900
	minStreamIdleMillis   = 100
	maxStreamIdleMillis   = 60_000
	maxDrainTimeoutMillis = 600_000
)

// Settings are the settings of a router. The tags define the command-line flags and the keys in
// settings files.
type Settings struct {
	settings.Common
	settings.Internal
	DrainTimeoutMillis int `long:"grace-ms" description:"milliseconds for which running streams may go on after SIGTERM" default:"9000"`
	StreamIdleMillis   int `long:"stream-idle-ms" description:"milliseconds without data after which a stream is cancelled" default:"1000"`
	//lint:ignore SA5008 go-flags reads a repeated choice tag as a list
	GateMode           string `long:"gate" description:"strict: without a fresh quorum read no new work is taken; open: the active configuration stays in use, and the first one is what any control-plane daemon has committed" choice:"strict" choice:"open" default:"strict"` //nolint:staticcheck // go-flags reads a repeated choice tag as a list.
	MaxStalenessMillis int    `long:"max-staleness-ms" description:"age in milliseconds of the last quorum read above which new requests are rejected" default:"1600"`
	settings.Reporting
}

// Check returns an error if a setting is invalid.
func (s Settings) Check() error {
	if err := s.Common.Check(); err != nil {
		return err
	}
	if err := checkRange("--max-staleness-ms", s.MaxStalenessMillis, minMaxStalenessMillis, maxMaxStalenessMillis); err != nil {
		return err
	}
	if err := checkRange("--stream-idle-ms", s.StreamIdleMillis, minStreamIdleMillis, maxStreamIdleMillis); err != nil {
		return err
	}
	if err := checkRange("--grace-ms", s.DrainTimeoutMillis, 0, maxDrainTimeoutMillis); err != nil {
		return err
	}
	if err := s.Reporting.Check(); err != nil {
		return err
	}
	return s.Internal.Check()
}

// checkRange returns an error if the value of a flag is outside its range.
func checkRange(flag string, value, minimum, maximum int) error {
	if value < minimum || value > maximum {
		return errcode.New(errcode.InvalidSetting, "%s: %d is not between %d and %d", flag, value, minimum, maximum)
	}
	return nil
}
