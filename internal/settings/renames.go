package settings

import "slices"

// Rename is a name of the previous release that has been replaced. The old name is accepted for
// one release, with a warning.
type Rename struct {
	// Command is the command that has the option, with its parent command before it, separated by
	// a space. It is also the section of a settings file. It is empty if a command is renamed.
	Command string
	// Old and New are the long names of an option without dashes, or the names of a command.
	Old, New string
}

// Renames returns all names of the previous release that are still accepted. Remove an entry one
// release after the one that introduced it.
func Renames() []Rename {
	return slices.Concat(commandRenames(), daemonRenames(), operatorRenames(), testToolRenames())
}

// names are the old and the new name of an option.
type names struct{ old, new string }

// Options that several commands have.
var (
	zoneNames             = names{"hall", "zone"}
	internalNames         = names{"inner", "internal"}
	shardsNames           = names{"parts", "shards"}
	replicasNames         = names{"slots", "replicas"}
	duplicatePercentNames = names{"doubled", "duplicate-percent"}
)

func renameOptions(command string, renamed ...names) []Rename {
	var renames []Rename
	for _, option := range renamed {
		renames = append(renames, Rename{Command: command, Old: option.old, New: option.new})
	}
	return renames
}

func commandRenames() []Rename {
	return []Rename{
		{Old: "turn-back", New: "rollback"},
		{Old: "leave", New: "drain-engine"},
		{Old: "explore", New: "model-check"},
	}
}

// daemonRenames are those of control plane servers, routers and emulated engines.
func daemonRenames() []Rename {
	return slices.Concat(
		renameOptions("core", zoneNames, internalNames, shardsNames, replicasNames,
			names{"seatless", "non-member"},
			names{"reserve", "standby"},
			names{"usual-reading-percent", "default-prefill-percent"},
			names{"rewrite-mib", "compaction-mib"},
		),
		renameOptions("router", zoneNames, internalNames, shardsNames, replicasNames,
			names{"silence-ms", "stream-idle-ms"},
			names{"fresh-ms", "max-staleness-ms"},
		),
		renameOptions("platform router",
			names{"across-us-per-kib", "cross-zone-us-per-kib"},
		),
		renameOptions("engine", zoneNames,
			names{"slots", "max-runs"},
			names{"read-us", "prefill-us"},
			names{"write-us", "decode-us"},
			names{"handover-us", "transfer-us"},
			names{"keep-ms", "kv-retention-ms"},
			names{"book", "run-log"},
		),
	)
}

// operatorRenames are those of the commands for operators.
func operatorRenames() []Rename {
	return slices.Concat(
		renameOptions("evacuate",
			names{"back", "undo"},
		),
		renameOptions("drain-region",
			names{"over", "window"},
			names{"back", "cancel"},
		),
	)
}

// testToolRenames are those of local fleets, benchmarks and fault tests.
func testToolRenames() []Rename {
	return slices.Concat(
		renameOptions("fleet", zoneNames),
		renameOptions("scale",
			names{"halls", "zones"},
			names{"lives", "engine-restarts"},
		),
		renameOptions("load", duplicatePercentNames,
			names{"again", "resend-percent"},
		),
		renameOptions("processes", duplicatePercentNames),
		renameOptions("model-check",
			names{"scene", "scenario"},
			names{"heed-older", "accept-older-membership"},
			names{"walking", "walk-bounds"},
		),
	)
}

// optionRenames maps old to new names of a command's options.
func optionRenames(command string) map[string]string {
	newByOld := map[string]string{}
	for _, rename := range Renames() {
		if rename.Command == command && command != "" {
			newByOld[rename.Old] = rename.New
		}
	}
	return newByOld
}
